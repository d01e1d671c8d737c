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
	"github.com/cicadacove/cicadacove/internal/core/freshness"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlview"

	"time"
)

const group = topo.GroupID("ledger")

// configLimit is the age up to which a configuration counts as the latest.
const configLimit = 2 * time.Second

// run is one statement that an upstream ran.
type run struct {
	id, text string
	conn     int
	values   map[string]string
	inTx     bool
	upstream topo.UpstreamID
	point    topo.Point
}

// fakeGroup is an in-memory database group: a primary and replicas that apply its
// log on request.
type fakeGroup struct {
	mu       sync.Mutex
	primary  topo.UpstreamID
	term     topo.Term
	leased   bool
	isolated bool
	// configAge is the time since the configuration was last confirmed.
	configAge time.Duration
	// overtaken means that another instance has been in contact with control since.
	overtaken bool
	// ending are the upstreams that accept no new work, since they are shutting down.
	ending   map[topo.UpstreamID]bool
	position topo.Position
	applied  map[topo.UpstreamID]topo.Position
	conns    int
	runs     []run
	// committed counts the commits of each statement text.
	committed map[string]int
	// committedAt is the position at which the text was last committed.
	committedAt map[string]topo.Position
	// bare selects the statements whose answers have no position; nil selects none.
	bare func(st Statement) bool
	// fail selects the fault to inject for each statement.
	fail func(upstream topo.UpstreamID, st Statement) failure
	// changed is closed when the lease changes.
	changed chan struct{}
}

type failure int

const (
	none failure = iota
	busy
	lostBefore // the connection breaks before the statement runs
	lostAfter  // the statement runs and its answer is lost
	failing
	crashBefore // a runtime error before the statement runs
	crashAfter  // the statement runs and a runtime error follows
)

// crash causes a runtime error.
func crash() {
	var none []int
	none[len(none)]++
}

var errBroken = errors.New("fake: connection broken")

func newFakeGroup() *fakeGroup {
	return &fakeGroup{
		primary: "a", term: 3, leased: true, position: 10,
		applied:   map[topo.UpstreamID]topo.Position{"a": 10, "b": 10, "c": 10},
		committed: map[string]int{}, committedAt: map[string]topo.Position{}, changed: make(chan struct{}),
	}
}

func (db *fakeGroup) point(id topo.UpstreamID) topo.Point {
	return topo.Point{Term: db.term, Position: db.applied[id]}
}

// catchUp makes a replica apply all of the primary's log.
func (db *fakeGroup) catchUp(id topo.UpstreamID) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.applied[id] = db.position
}

func (db *fakeGroup) setLease(held bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.leased = held
	close(db.changed)
	db.changed = make(chan struct{})
}

// fakeConn is a connection to one upstream of a fakeGroup.
type fakeConn struct {
	db       *fakeGroup
	upstream topo.UpstreamID
	number   int
	closed   bool
	values   map[string]string
	prepared map[string]Definition
	state    TxState
	readOnly bool
	pending  []string
}

func (db *fakeGroup) open(a topo.Announcement) connpool.OpenFunc[*fakeConn] {
	return func(context.Context, connpool.Key) (*fakeConn, error) {
		db.mu.Lock()
		defer db.mu.Unlock()
		db.conns++
		return &fakeConn{db: db, upstream: a.ID, number: db.conns, state: TxNone, values: map[string]string{}, prepared: map[string]Definition{}}, nil
	}
}

func (c *fakeConn) Alive() bool { return !c.closed }
func (c *fakeConn) Clean() bool { return !c.closed }
func (c *fakeConn) Close()      { c.closed = true }
func (c *fakeConn) Abort()      { c.closed = true }

// Run implements Conn.
func (c *fakeConn) Run(_ context.Context, statements ...Statement) ([]Result, error) {
	c.db.mu.Lock()
	defer c.db.mu.Unlock()
	var results []Result
	for _, st := range statements {
		fault := none
		if c.db.fail != nil {
			fault = c.db.fail(c.upstream, st)
		}
		if fault == lostBefore {
			c.closed = true
			return results, errBroken
		}
		if fault == crashBefore {
			crash()
		}
		r := c.run(st, fault)
		if fault == crashAfter {
			crash()
		}
		if fault == lostAfter {
			c.closed = true
			return results, errBroken
		}
		r.State = c.state
		if c.db.bare == nil || !c.db.bare(st) {
			r.Point = topo.Reported(c.db.point(c.upstream))
		}
		results = append(results, r)
	}
	return results, nil
}

func (c *fakeConn) run(st Statement, fault failure) Result {
	switch {
	case fault == busy && st.Verb != Rollback:
		return c.refuse(CodeBusy)
	case !st.After.IsZero() && !topo.Covers(c.db.point(c.upstream), st.After):
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
		if !st.ReadOnly && c.upstream != c.db.primary {
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
		return c.readOrWrite(st, fault)
	}
	return Result{Signature: "-"}
}

func (c *fakeConn) refuse(code Code) Result {
	if c.state == TxOpen {
		c.state = TxFailed
	}
	return Result{Code: code}
}

// readOrWrite runs a read or a write.
func (c *fakeConn) readOrWrite(st Statement, fault failure) Result {
	writes, text := st.Verb == Write, st.Text
	if st.Verb == Execute {
		def, known := c.prepared[st.Name]
		if !known {
			return c.refuse(CodeNoStatement)
		}
		writes, text = def.Writes, def.Shape+" "+st.Text
	}
	if writes && c.upstream != c.db.primary {
		return c.refuse(CodeReadOnly)
	}
	if fault == failing {
		return c.refuse(CodeFailed)
	}
	c.db.runs = append(c.db.runs, run{
		id: st.ID, text: text, conn: c.number, values: maps.Clone(c.values), inTx: c.state == TxOpen,
		upstream: c.upstream, point: c.db.point(c.upstream),
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
	c.db.position++
	c.db.applied[c.db.primary] = c.db.position
	for _, text := range texts {
		c.db.committed[text]++
		c.db.committedAt[text] = c.db.position
	}
}

// Methods of ctlview.Control.

func (db *fakeGroup) Authority(topo.GroupID) (ctlview.Authority, bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	return ctlview.Authority{Term: db.term, Primary: db.announcement(db.primary)}, db.leased
}

func (db *fakeGroup) announcement(id topo.UpstreamID) topo.Announcement {
	role := topo.RoleReplica
	if id == db.primary {
		role = topo.RolePrimary
	}
	return topo.Announcement{Group: group, ID: id, Addr: "addr-" + string(id), Zone: topo.Zone("zone-" + string(id)), Role: role, Slots: 4}
}

func (db *fakeGroup) AcceptsWork(_ topo.GroupID, id topo.UpstreamID) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	return !db.ending[id]
}

func (db *fakeGroup) Holds(_ topo.GroupID, t topo.Term) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.leased && t == db.term
}

func (db *fakeGroup) Hold(g topo.GroupID, t topo.Term) (func(), bool) {
	return func() {}, db.Holds(g, t)
}

func (db *fakeGroup) Group(topo.GroupID) (topo.Group, bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	return topo.Group{ID: group, Term: db.term, Primary: db.primary, Starts: []topo.TermStart{{Term: db.term}}}, true
}

func (db *fakeGroup) Upstreams(topo.GroupID) []ctlview.Upstream {
	db.mu.Lock()
	defer db.mu.Unlock()
	var list []ctlview.Upstream
	for _, id := range []topo.UpstreamID{"a", "b", "c"} {
		list = append(list, ctlview.Upstream{Announcement: db.announcement(id)})
	}
	return list
}

func (db *fakeGroup) HasLease() bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.leased
}

func (db *fakeGroup) ConfigAge() (time.Duration, bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.configAge, true
}

func (db *fakeGroup) ConfigTrust() freshness.Trust {
	db.mu.Lock()
	defer db.mu.Unlock()
	return freshness.State{Age: db.configAge, Confirmed: true, Overtaken: db.overtaken}.Trust(configLimit)
}

func (db *fakeGroup) IsolatedWithoutLease() bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.isolated
}

func (db *fakeGroup) Config() *contract.Config                    { return &contract.Config{} }
func (db *fakeGroup) View() (ctlview.View, bool)                  { return ctlview.View{}, false }
func (db *fakeGroup) PeerAddr(topo.InstanceID) (string, bool)     { return "", false }
func (db *fakeGroup) ReportPrimary(topo.GroupID, topo.Term, bool) {}
func (db *fakeGroup) RequestProbe(topo.GroupID)                   {}

func (db *fakeGroup) Changed() <-chan struct{} {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.changed
}

// newEngine returns an engine of an instance in zone-b, with one route for
// each consistency.
func newEngine(db *fakeGroup) *Engine[*fakeConn] {
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
	return newEngineWith(db, routes...)
}

// newEngineWith returns an engine of an instance in zone-b with the given routes.
func newEngineWith(db *fakeGroup, routes ...catalog.Route) *Engine[*fakeConn] {
	c, err := catalog.Build(1, routes, []catalog.Group{{ID: group, Connections: 40, Durability: 1}}, time.Second)
	if err != nil {
		panic(err)
	}
	return New(Options[*fakeConn]{
		Zone: "zone-b", Control: db, Catalog: func() *catalog.Catalog { return c },
		Open: db.open, Share: func() float64 { return 1 },
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

// commits returns how often the text was committed, and the position of the latest time.
func (db *fakeGroup) commits(text string) (n int, at topo.Position) {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.committed[text], db.committedAt[text]
}

// runCount returns the number of statements that have run.
func (db *fakeGroup) runCount() int {
	db.mu.Lock()
	defer db.mu.Unlock()
	return len(db.runs)
}

// lastRun returns the latest run whose text contains the part.
func (db *fakeGroup) lastRun(part string) run {
	db.mu.Lock()
	defer db.mu.Unlock()
	for i := len(db.runs) - 1; i >= 0; i-- {
		if strings.Contains(db.runs[i].text, part) {
			return db.runs[i]
		}
	}
	return run{}
}
