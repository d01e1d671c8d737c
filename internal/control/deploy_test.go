package control_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
	"github.com/cicadacove/cicadacove/internal/faultnet"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/standin"
)

const (
	// awaitTimeout bounds the wait for an expected state.
	awaitTimeout = 20 * time.Second
	// pollInterval is the interval at which await checks its condition.
	pollInterval = 5 * time.Millisecond

	group = topo.GroupID("ledger-1")
)

// deployment runs control voters, entry instances with their agents, and one group
// of three databases, all over faultnet.
type deployment struct {
	t   testing.TB
	ctx context.Context
	net *faultnet.Network
	// machine and controller are set if the deployment has a MemoryLog.
	machine    *ctlstate.Machine
	controller *control.Controller
	entries    []*entryNode
	databases  map[topo.UpstreamID]*standin.Database
	voters     []*voterNode
	addrs      []string

	mu        sync.Mutex
	observers []func(*voterNode, control.Event)

	writers     []*writer
	writing     sync.WaitGroup
	writeCtx    context.Context
	stopWriting context.CancelFunc
}

func (e *entryNode) addr() string { return e.peerLn.Addr().String() }

// observe calls the observers with a failover event.
func (d *deployment) observe(v *voterNode, e control.Event) {
	d.mu.Lock()
	observers := d.observers
	d.mu.Unlock()
	for _, f := range observers {
		f(v, e)
	}
}

// onEvent registers f to be called at each failover event, before the event's
// commands start.
func (d *deployment) onEvent(f func(*voterNode, control.Event)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observers = append(d.observers, f)
}

type entryNode struct {
	id     topo.InstanceID
	zone   topo.Zone
	mu     sync.Mutex // guards agent against its replacement
	agent  *agent.Agent
	server *peer.Server
	client *peer.Client
	peerLn net.Listener
	url    string
	cancel context.CancelFunc
	// bytes counts the control traffic that the instance sends and receives.
	bytes atomic.Int64
}

type deployOptions struct {
	entries int
	// voters is the number of voters; zero uses a MemoryLog.
	voters int
	timing agent.Timing
	// disableRelease makes agents keep leases until they expire.
	disableRelease bool
}

func zoneOf(i int) topo.Zone { return topo.Zone(fmt.Sprintf("z%d", i%3+1)) }

func deploy(t testing.TB, opts deployOptions) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := &deployment{
		t: t, ctx: ctx, net: faultnet.New(1),
		machine:   ctlstate.NewMachine(nil),
		databases: map[topo.UpstreamID]*standin.Database{},
	}
	d.writeCtx, d.stopWriting = context.WithCancel(ctx)
	for i := range opts.entries {
		d.entries = append(d.entries, d.listenEntry(i))
	}
	if opts.voters == 0 {
		d.startMemoryLog(opts.timing)
	}
	for range opts.voters {
		d.addrs = append(d.addrs, d.entries[len(d.addrs)].addr())
	}
	d.startVoters(opts.voters, opts.timing)
	for _, e := range d.entries {
		d.startEntry(e, 1, opts)
	}
	for i, name := range []string{"a", "b", "c"} {
		d.startDatabase(name, i)
	}
	d.await("the group is complete and every instance has authority", func() bool {
		return d.haveAuthority(d.entries...) && d.haveView() && d.haveDatabases()
	})
	return d
}

func (d *deployment) startMemoryLog(timing control.Timing) {
	d.addrs = []string{d.entries[0].addr()}
	d.controller = control.New(control.Options{
		Log: control.NewMemoryLog(d.machine), State: d.machine,
		Client: d.entries[0].client, Server: d.entries[0].server,
		Databases: dbcontrol.New(dbcontrol.Options{Dial: d.net.Dialer(d.entries[0].zone, string(d.entries[0].id))}), Timing: timing,
		Observe: func(e control.Event) { d.observe(nil, e) },
	})
	go d.controller.Run(d.ctx)
}

func (d *deployment) haveDatabases() bool {
	for _, e := range d.entries {
		if len(e.agent.Upstreams(group)) != 3 {
			return false
		}
	}
	return true
}

func (d *deployment) listenEntry(i int) *entryNode {
	e := &entryNode{id: topo.InstanceID(fmt.Sprintf("e%d", i+1)), zone: zoneOf(i)}
	ln, err := d.net.Listen(e.zone, string(e.id))("127.0.0.1:0")
	require.NoError(d.t, err)
	e.peerLn = ln
	options := peer.Options{Secret: []byte("secret"), Dial: d.counted(e)}
	e.server = peer.NewServer(options)
	e.client = peer.NewClient(options)
	d.t.Cleanup(func() { e.server.Close(); e.client.Close() })
	return e
}

func (d *deployment) startEntry(e *entryNode, incarnation uint64, opts deployOptions) {
	d.startAgent(e, incarnation, opts)
	go e.server.Serve(e.peerLn)
	ln, err := d.net.Listen(e.zone, string(e.id))("127.0.0.1:0")
	require.NoError(d.t, err)
	e.url = "http://" + ln.Addr().String()
	server := &http.Server{Handler: announceHandler(e)}
	go server.Serve(ln)
	d.t.Cleanup(func() { server.Close() })
}

// startAgent starts a new incarnation of the instance's agent, which takes over
// the peer server from the previous one.
func (d *deployment) startAgent(e *entryNode, incarnation uint64, opts deployOptions) {
	if e.cancel != nil {
		e.cancel()
	}
	a, err := agent.New(agent.Options{
		Self:   ctlstate.Member{ID: e.id, Incarnation: incarnation, Zone: e.zone, PeerAddr: e.addr()},
		Voters: d.addrs,
		Client: e.client, Server: e.server, Timing: opts.timing,
		Databases: dbcontrol.New(dbcontrol.Options{Dial: d.counted(e)}), DisableEarlyRelease: opts.disableRelease,
	})
	require.NoError(d.t, err)
	e.mu.Lock()
	e.agent = a
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(d.ctx)
	e.cancel = cancel
	go a.Run(ctx)
}

func announceHandler(e *entryNode) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			e.mu.Lock()
			a := e.agent
			e.mu.Unlock()
			err = a.AnnounceSigned(body, r.Header.Get("Cicadacove-Signature"))
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	})
}

// startDatabase starts a database that prefers the entry instances of its own zone
// for its announcements.
func (d *deployment) startDatabase(name string, i int) { d.startDatabaseOf(group, name, i) }

func (d *deployment) startDatabaseOf(g topo.GroupID, name string, i int) {
	id := topo.UpstreamID(string(g) + "/" + name)
	o := standin.Options{
		ID: id, Group: g, Zone: zoneOf(i), Role: topo.RoleReplica, Term: 1,
		Dial: d.net.Dialer(zoneOf(i), string(id)), Listener: d.net.Listen(zoneOf(i), string(id)),
	}
	if i == 0 {
		o.Role = topo.RolePrimary
	} else {
		o.Primary = d.databases[topo.UpstreamID(string(g)+"/a")].Addr()
	}
	for _, sameZone := range []bool{true, false} {
		for _, e := range d.entries {
			if (e.zone == o.Zone) == sameZone {
				o.AnnounceTo = append(o.AnnounceTo, e.url)
			}
		}
	}
	db, err := standin.Start(d.ctx, o)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { db.Close() })
	d.databases[id] = db
}

func (d *deployment) database(name string) *standin.Database {
	return d.databases[topo.UpstreamID(string(group)+"/"+name)]
}

func (d *deployment) await(condition string, f func() bool) {
	d.t.Helper()
	require.Eventually(d.t, f, awaitTimeout, pollInterval, condition)
}

func (d *deployment) haveAuthority(entries ...*entryNode) bool {
	for _, e := range entries {
		if _, ok := e.agent.Authority(group); !ok {
			return false
		}
	}
	return true
}

func (d *deployment) haveView() bool {
	for _, e := range d.entries {
		if v, ok := e.agent.View(); !ok || len(v.Members) != len(d.entries) {
			return false
		}
	}
	return true
}

// awaitTerm waits until the entry instances have authority under the term.
func (d *deployment) awaitTerm(t topo.Term, entries ...*entryNode) {
	d.t.Helper()
	d.await(fmt.Sprintf("term %d", t), func() bool {
		for _, e := range entries {
			if a, ok := e.agent.Authority(group); !ok || a.Term != t {
				return false
			}
		}
		return true
	})
}
