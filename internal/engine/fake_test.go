package engine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlview"

	"time"
)

const group = topo.GroupID("ledger")

// run is one statement that an upstream ran.
type run struct {
	id, text string
	conn     int
	values   map[string]string
	inTx     bool
	upstream topo.UpstreamID
	point    topo.Point
}

// world is a database group in memory: one primary and replicas that apply
// its log when told to.
type world struct {
	mu       sync.Mutex
	primary  topo.UpstreamID
	term     topo.Term
	leased   bool
	stranded bool
	position topo.Position
	applied  map[topo.UpstreamID]topo.Position
	conns    int
	runs     []run
	// committed counts the commits of each statement text.
	committed map[string]int
	// fail is asked before each statement what is to go wrong with it.
	fail func(upstream topo.UpstreamID, st Statement) failure
	// changed is closed when the lease changes.
	changed chan struct{}
}

type failure int

const (
	none failure = iota
	busy
	lostBefore // the connection breaks and the statement has not run
	lostAfter  // it has run and the answer is lost
	failing
)

var errBroken = errors.New("fake: connection broken")

func newWorld() *world {
	return &world{
		primary: "a", term: 3, leased: true, position: 10,
		applied:   map[topo.UpstreamID]topo.Position{"a": 10, "b": 10, "c": 10},
		committed: map[string]int{}, changed: make(chan struct{}),
	}
}

func (w *world) point(id topo.UpstreamID) topo.Point {
	return topo.Point{Term: w.term, Position: w.applied[id]}
}

// catchUp lets a replica apply all that the primary has.
func (w *world) catchUp(id topo.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applied[id] = w.position
}

func (w *world) setLease(held bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leased = held
	close(w.changed)
	w.changed = make(chan struct{})
}

// fakeConn is a connection to one upstream of a world.
type fakeConn struct {
	w        *world
	upstream topo.UpstreamID
	number   int
	closed   bool
	values   map[string]string
	prepared map[string]Definition
	state    TxState
	readOnly bool
	pending  []string
}

func (w *world) open(a topo.Announcement) connpool.OpenFunc[*fakeConn] {
	return func(context.Context, topo.Term) (*fakeConn, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conns++
		return &fakeConn{w: w, upstream: a.ID, number: w.conns, state: TxNone, values: map[string]string{}, prepared: map[string]Definition{}}, nil
	}
}

func (c *fakeConn) Alive() bool { return !c.closed }
func (c *fakeConn) Clean() bool { return !c.closed }
func (c *fakeConn) Close()      { c.closed = true }
func (c *fakeConn) Abort()      { c.closed = true }

// Run implements Conn.
func (c *fakeConn) Run(_ context.Context, statements ...Statement) ([]Result, error) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	var results []Result
	for _, st := range statements {
		what := none
		if c.w.fail != nil {
			what = c.w.fail(c.upstream, st)
		}
		if what == lostBefore {
			c.closed = true
			return results, errBroken
		}
		r := c.run(st, what)
		if what == lostAfter {
			c.closed = true
			return results, errBroken
		}
		r.State, r.Point = c.state, c.w.point(c.upstream)
		results = append(results, r)
	}
	return results, nil
}

func (c *fakeConn) run(st Statement, what failure) Result {
	switch {
	case what == busy && st.Verb != Rollback:
		return c.refuse(CodeBusy)
	case !st.After.IsZero() && !topo.Covers(c.w.point(c.upstream), st.After):
		return c.refuse(CodeLagging)
	}
	switch st.Verb {
	case Reset:
		clear(c.values)
		clear(c.prepared)
	case Set:
		c.values[st.Name] = st.Value
	case Prepare:
		c.prepared[st.Name] = st.Definition
	case Begin:
		if !st.ReadOnly && c.upstream != c.w.primary {
			return c.refuse(CodeReadOnly)
		}
		c.state, c.readOnly, c.pending = TxOpen, st.ReadOnly, nil
	case Rollback:
		c.state, c.pending = TxNone, nil
	case Commit:
		c.commit(c.pending)
		c.state, c.pending = TxNone, nil
		return Result{Signature: "sig"}
	default:
		return c.work(st, what)
	}
	return Result{Signature: "-"}
}

func (c *fakeConn) refuse(code Code) Result {
	if c.state == TxOpen {
		c.state = TxFailed
	}
	return Result{Code: code}
}

// work runs a read or a write.
func (c *fakeConn) work(st Statement, what failure) Result {
	writes, text := st.Verb == Write, st.Text
	if st.Verb == Execute {
		def, known := c.prepared[st.Name]
		if !known {
			return c.refuse(CodeNoStatement)
		}
		writes, text = def.Writes, def.Shape+" "+st.Text
	}
	if writes && c.upstream != c.w.primary {
		return c.refuse(CodeReadOnly)
	}
	if what == failing {
		return c.refuse(CodeFailed)
	}
	c.w.runs = append(c.w.runs, run{
		id: st.ID, text: text, conn: c.number, values: maps.Clone(c.values), inTx: c.state == TxOpen,
		upstream: c.upstream, point: c.w.point(c.upstream),
	})
	switch {
	case writes && c.state == TxOpen:
		c.pending = append(c.pending, text)
	case writes:
		c.commit([]string{text})
	}
	return Result{Signature: "sig", Rows: []string{"row of " + text}}
}

func (c *fakeConn) commit(texts []string) {
	if len(texts) == 0 {
		return
	}
	c.w.position++
	c.w.applied[c.w.primary] = c.w.position
	for _, text := range texts {
		c.w.committed[text]++
	}
}

// Methods of ctlview.Control.

func (w *world) Authority(topo.GroupID) (ctlview.Authority, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ctlview.Authority{Term: w.term, Primary: w.announcement(w.primary)}, w.leased
}

func (w *world) announcement(id topo.UpstreamID) topo.Announcement {
	role := topo.RoleReplica
	if id == w.primary {
		role = topo.RolePrimary
	}
	return topo.Announcement{Group: group, ID: id, Addr: "addr-" + string(id), Zone: topo.Zone("zone-" + string(id)), Role: role, Slots: 4}
}

func (w *world) Holds(_ topo.GroupID, t topo.Term) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leased && t == w.term
}

func (w *world) Hold(g topo.GroupID, t topo.Term) (func(), bool) { return func() {}, w.Holds(g, t) }

func (w *world) Group(topo.GroupID) (topo.Group, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return topo.Group{ID: group, Term: w.term, Primary: w.primary, Starts: []topo.TermStart{{Term: w.term}}}, true
}

func (w *world) Upstreams(topo.GroupID) []ctlview.Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []ctlview.Upstream
	for _, id := range []topo.UpstreamID{"a", "b", "c"} {
		list = append(list, ctlview.Upstream{Announcement: w.announcement(id)})
	}
	return list
}

func (w *world) Stranded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stranded
}

func (w *world) Config() *contract.Config                    { return &contract.Config{} }
func (w *world) View() (ctlview.View, bool)                  { return ctlview.View{}, false }
func (w *world) PeerAddr(topo.InstanceID) (string, bool)     { return "", false }
func (w *world) ReportPrimary(topo.GroupID, topo.Term, bool) {}
func (w *world) DoubtPrimary(topo.GroupID)                   {}

func (w *world) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// newEngine returns an engine of an instance in zone-b, with one route for
// each consistency.
func newEngine(w *world) *Engine[*fakeConn] {
	route := func(name string, consistency catalog.Consistency) catalog.Route {
		return catalog.Route{
			Database: name, Group: group, Consistency: consistency, StatementTimeout: time.Second,
			Service: contract.Service{Name: name, Rank: 1, Target: time.Second, MaxAge: time.Minute},
		}
	}
	least := route("least urgent", catalog.Primary)
	least.Service.Rank = contract.Ranks
	routes := []catalog.Route{
		route("strict", catalog.Primary), route("own", catalog.OwnWrites), route("old", catalog.Bounded), least,
	}
	c, err := catalog.Build(1, routes, []catalog.Group{{ID: group, Connections: 40, Durability: 1}}, time.Second)
	if err != nil {
		panic(err)
	}
	return New(Options[*fakeConn]{
		Zone: "zone-b", Control: w, Catalog: func() *catalog.Catalog { return c },
		Open: w.open, Share: func() float64 { return 1 },
	})
}

// client drives one session.
type client struct {
	s *Session[*fakeConn]
	n int
}

func (c *client) do(st Statement) Reply {
	c.n++
	if st.ID == "" {
		st.ID = fmt.Sprint("id", c.n)
	}
	var got Reply
	_ = c.s.Handle(context.Background(), st, func(r Reply) error {
		got = r
		return nil
	})
	return got
}

func (c *client) read(item string) Reply  { return c.do(Statement{Verb: Read, Text: "READ " + item}) }
func (c *client) write(item string) Reply { return c.do(Statement{Verb: Write, Text: "WRITE " + item}) }
func (c *client) begin(readOnly bool) Reply {
	return c.do(Statement{Verb: Begin, ReadOnly: readOnly})
}
func (c *client) commit() Reply   { return c.do(Statement{Verb: Commit, Text: "COMMIT"}) }
func (c *client) rollback() Reply { return c.do(Statement{Verb: Rollback}) }

// lastRun returns the latest run whose text contains the part.
func (w *world) lastRun(part string) run {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.runs) - 1; i >= 0; i-- {
		if strings.Contains(w.runs[i].text, part) {
			return w.runs[i]
		}
	}
	return run{}
}
