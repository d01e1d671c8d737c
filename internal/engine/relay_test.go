package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// relayFleet are three entry instances before a group with too few connections for
// them: two hold connections to each upstream.
type relayFleet struct {
	db        *fakeGroup
	instances []*relayInstance
}

type relayInstance struct {
	*Engine[*fakeConn]
	server *peer.Server
	client *peer.Client
	// opened counts the connections that the instance has opened.
	opened atomic.Int64
}

// fewConnections is less than one usable connection for each instance, and leaves none
// beside those of the holders.
const fewConnections = 2

func startRelayFleet(t require.TestingT, cleanup func(func())) *relayFleet {
	f := &relayFleet{db: newFakeGroup()}
	var members []ctlstate.Member
	for n := range 3 {
		i := &relayInstance{server: peer.NewServer(peer.Options{}), client: peer.NewClient(peer.Options{})}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = i.server.Serve(ln) }()
		cleanup(func() { i.client.Close(); _ = i.server.Close() })
		members = append(members, ctlstate.Member{
			ID: topo.InstanceID(fmt.Sprint("entry-", n)), Zone: "zone-b", PeerAddr: ln.Addr().String(),
		})
		f.instances = append(f.instances, i)
	}
	for n, i := range f.instances {
		i.Engine = newEngine(f.db)
		c := *i.opts.Catalog()
		c.Groups = map[topo.GroupID]catalog.Group{group: {ID: group, Connections: fewConnections, Durability: 1}}
		c.IdleTransaction = 50 * time.Millisecond
		i.opts.Catalog = func() *catalog.Catalog { return &c }
		i.opts.Self = members[n].ID
		i.relayName = string(i.opts.Self)
		i.opts.Peers = Peers{Client: i.client, Server: i.server, Members: func() []ctlstate.Member { return members }}
		i.opts.Open = func(a topo.Announcement) connpool.OpenFunc[*fakeConn] {
			dial := f.db.open(a)
			return func(ctx context.Context, k connpool.Key) (*fakeConn, error) {
				i.opened.Add(1)
				return dial(ctx, k)
			}
		}
		i.pools = connpool.NewSet(i.openPooledConn, i.connectionShare)
		i.handlePeers()
		i.updateRelayPlan()
	}
	return f
}

func newRelayFleet(t *testing.T) *relayFleet { return startRelayFleet(t, t.Cleanup) }

// sender returns the instance that holds no connections to the primary.
func (f *relayFleet) sender() *relayInstance {
	for _, i := range f.instances {
		if set, relayed := i.holdersOf(f.db.primary); relayed && !set.holdsSelf {
			return i
		}
	}
	return nil
}

// holder returns the n-th instance to which the sender relays statements for the primary.
func (f *relayFleet) holder(n int) *relayInstance {
	for _, i := range f.instances {
		if i.opts.Self == f.sender().relayCandidates(f.db.primary, "")[n].ID {
			return i
		}
	}
	return nil
}

// Guards against statements that lose the session's state, their transaction or their
// answer on the way through a holder, and against connections of an instance that is no
// holder.
func TestStatementsRunOnTheConnectionsOfHolders(t *testing.T) {
	f := newRelayFleet(t)
	c := open(t, f.sender().Engine, "strict")
	c.do(Statement{Verb: Set, Name: "tz", Value: "UTC"})
	r := c.read("x")
	require.Equal(t, outcome.Done, r.Outcome.Kind, r.Outcome.Reason)
	require.Equal(t, []string{"row of READ x"}, r.Rows)
	require.Equal(t, "sig", r.Signature)
	require.Equal(t, map[string]string{"tz": "UTC"}, f.db.lastRun("READ x").values)
	c.do(Statement{Verb: Prepare, Name: "s1", Definition: Definition{Shape: "q1", Writes: true}})
	c.begin(false)
	require.Equal(t, outcome.Done, c.do(Statement{Verb: Execute, Name: "s1", Text: "y"}).Outcome.Kind)
	require.Equal(t, outcome.Done, c.write("z").Outcome.Kind)
	require.Equal(t, f.db.lastRun("q1 y").conn, f.db.lastRun("WRITE z").conn)
	require.True(t, f.db.lastRun("WRITE z").inTx)
	require.Equal(t, outcome.Done, c.commit().Outcome.Kind)
	require.Equal(t, 1, f.db.committed["WRITE z"])
	require.Zero(t, f.sender().opened.Load())
	require.Zero(t, f.holder(0).Relayed())
}

// Guards against a write that is reported as not run, or is sent again, although its
// answer was lost between two instances.
func TestAnswerLostBetweenInstancesIsUnknown(t *testing.T) {
	for _, inTx := range []bool{false, true} {
		f := newRelayFleet(t)
		sender := f.sender()
		c := open(t, sender.Engine, "strict")
		f.db.fail = func(_ topo.UpstreamID, st Statement) failure {
			if st.Text == "WRITE lost" {
				sender.client.Close()
			}
			return none
		}
		if inTx {
			c.begin(false)
		}
		r := c.write("lost")
		if inTx {
			require.Equal(t, outcome.CodeRolledBack, r.Outcome.Code, "COMMIT was not sent")
			require.Equal(t, outcome.CodeRolledBack, c.commit().Outcome.Code)
			require.Eventually(t, func() bool { return f.holder(0).Relayed() == 0 }, time.Second, time.Millisecond, "the holder rolls back")
			require.Zero(t, f.db.committed["WRITE lost"])
			continue
		}
		require.Equal(t, outcome.Unknown, r.Outcome.Kind)
		require.Equal(t, 1, f.db.committed["WRITE lost"])
	}
}

// Guards against requests that a draining holder cuts off, and against new work that it
// accepts.
func TestDrainingHolderFinishesItsTransactions(t *testing.T) {
	f := newRelayFleet(t)
	c, late := open(t, f.sender().Engine, "strict"), open(t, f.sender().Engine, "strict")
	first, second := f.holder(0), f.holder(1)
	c.begin(false)
	require.Equal(t, outcome.Done, c.write("one").Outcome.Kind)
	first.DrainRelays()
	require.Equal(t, 1, first.Relayed())
	require.Equal(t, outcome.Done, late.write("other").Outcome.Kind)
	require.Positive(t, second.opened.Load(), "new work goes to the next holder")
	require.Equal(t, outcome.Done, c.write("two").Outcome.Kind)
	first.EndRelays()
	require.Eventually(t, func() bool { return first.Relayed() == 0 }, time.Second, time.Millisecond)
	require.Equal(t, outcome.CodeRolledBack, c.commit().Outcome.Code)
	require.Zero(t, f.db.committed["WRITE one"]+f.db.committed["WRITE two"])
}

// Guards against connections that stay taken by transactions of an instance that is gone.
func TestTransactionsOfALostInstanceAreRolledBack(t *testing.T) {
	f := newRelayFleet(t)
	holder := f.holder(0)
	c := open(t, f.sender().Engine, "strict")
	c.begin(false)
	require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
	f.sender().client.Close()
	require.Eventually(t, func() bool { return holder.Relayed() == 0 }, 5*time.Second, 5*time.Millisecond)
	require.Zero(t, f.db.committed["WRITE w"])
}

// Guards against an instance that can't serve its callers since no holder is reachable.
func TestInstanceConnectsItselfWithoutHolders(t *testing.T) {
	f := newRelayFleet(t)
	sender := f.sender()
	c := open(t, sender.Engine, "strict")
	for _, i := range f.instances {
		if i != sender {
			require.NoError(t, i.server.Close())
		}
	}
	require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
	require.Equal(t, 1, f.db.committed["WRITE w"])
	require.EqualValues(t, 1, sender.opened.Load())
}

// TestRandomSessionsThroughHolders checks the guarantees of TestRandomSessions while
// upstreams fail statements and connections between instances break.
func TestRandomSessionsThroughHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cleanups []func()
		defer func() {
			for _, f := range cleanups {
				f()
			}
		}()
		f := startRelayFleet(t, func(c func()) { cleanups = append(cleanups, c) })
		m := &machine{db: f.db, reported: map[string]outcome.Kind{}}
		for _, i := range f.instances {
			m.sessions = append(m.sessions, &randomSession{client: open(t, i.Engine, "own"), values: map[string]string{}})
		}
		var mu sync.Mutex // the instances run statements at the same time
		faults := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 0))
		f.db.fail = func(topo.UpstreamID, Statement) failure {
			mu.Lock()
			defer mu.Unlock()
			if faults.IntN(10) == 0 {
				f.instances[faults.IntN(len(f.instances))].client.Close()
			}
			kinds := []failure{none, none, none, none, none, none, busy, lostBefore, lostAfter, failing}
			return kinds[faults.IntN(len(kinds))]
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step(t)
		}
		for _, s := range m.sessions {
			s.s.Close()
		}
		m.check(t)
	})
}

// Guards against metrics that miss relayed statements or report a lost one as refused, and
// against an instance that does not appear as a holder.
func TestRelayedStatementsAreCountedOnBothSides(t *testing.T) {
	f := newRelayFleet(t)
	sender, first, second := f.sender(), f.holder(0), f.holder(1)
	relayed, holds := sender.RelayState(f.db.primary)
	require.True(t, relayed)
	require.False(t, holds)
	relayed, holds = first.RelayState(f.db.primary)
	require.True(t, relayed && holds)
	relayed, _ = sender.RelayState("unknown")
	require.False(t, relayed)

	c := open(t, sender.Engine, "strict")
	require.Equal(t, outcome.Done, c.write("one").Outcome.Kind)
	require.Equal(t, RelayCounts{Done: 1}, sender.RelayStats().Sent)
	require.Equal(t, RelayCounts{Done: 1}, first.RelayStats().Served)

	first.DrainRelays()
	require.Equal(t, outcome.Done, c.write("two").Outcome.Kind)
	require.Equal(t, RelayCounts{Done: 2, Refused: 1}, sender.RelayStats().Sent)
	require.Equal(t, RelayCounts{Done: 1, Refused: 1}, first.RelayStats().Served)
	require.Equal(t, RelayCounts{Done: 1}, second.RelayStats().Served)

	f.db.fail = func(topo.UpstreamID, Statement) failure {
		sender.client.Close()
		return none
	}
	require.Equal(t, outcome.Unknown, c.write("three").Outcome.Kind)
	require.Equal(t, RelayCounts{Done: 2, Refused: 1, Lost: 1}, sender.RelayStats().Sent)
	require.Eventually(t, func() bool { return second.RelayStats().Served == RelayCounts{Done: 2} }, time.Second, time.Millisecond,
		"the holder has an answer, which did not reach the sender")
}

// Guards against a refusal by a holder without free connections whose log line doesn't say
// where the statement waited.
func TestRefusalForShortConnectionsNamesTheHolder(t *testing.T) {
	for _, inTx := range []bool{false, true} {
		f := newRelayFleet(t)
		sender, holder := f.sender(), f.holder(0).opts.Self
		first := open(t, sender.Engine, "strict") // takes the only connection of the holder
		first.begin(false)
		require.Equal(t, outcome.Done, first.write("one").Outcome.Kind)
		events := &recordedEvents{}
		sender.opts.Events = events
		c := open(t, sender.Engine, "strict")
		if inTx {
			c.begin(false)
		}
		r := c.write("two")
		require.Equal(t, outcome.CodeOverloaded, r.Outcome.Code, r.Outcome.Reason)
		require.Contains(t, r.Outcome.Reason, "no connection to an upstream is free")
		e := events.ended[len(events.ended)-1]
		require.Equal(t, holder, e.Via)
		require.Equal(t, f.db.primary, e.Upstream)
		require.Less(t, e.Waited, e.Took, "the wait at the holder is part of the time in all")
	}
}
