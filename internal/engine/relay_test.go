package engine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
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

// fewConnections is less than one usable connection for each instance.
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
		require.NoError(t, c.SetOrganisations([]catalog.OrganisationKeys{
			{Organisation: catalog.Organisation{Name: "north"}, Keys: []string{"n"}},
			{Organisation: catalog.Organisation{Name: "south"}, Keys: []string{"s"}},
		}))
		c.Routes = maps.Clone(c.Routes)
		for name, r := range c.Routes {
			r.Public = name != "least urgent"
			c.Routes[name] = r
		}
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
		sender, holder := f.sender(), f.holder(0)
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
			require.Eventually(t, func() bool { return holder.Relayed() == 0 }, time.Second, time.Millisecond, "the holder rolls back")
			n, _ := f.db.commits("WRITE lost")
			require.Zero(t, n)
			continue
		}
		require.Equal(t, outcome.Unknown, r.Outcome.Kind)
		require.Eventually(t, func() bool { n, _ := f.db.commits("WRITE lost"); return n == 1 }, time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return holder.Relayed() == 0 }, time.Second, time.Millisecond)
		n, _ := f.db.commits("WRITE lost")
		require.Equal(t, 1, n, "the write is not sent again")
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

// Guards against slots and connections that stay taken by queries for a position while no
// holder is reachable.
func TestPositionQueriesWithoutHoldersKeepNothing(t *testing.T) {
	f := newRelayFleet(t)
	sender := f.sender()
	for _, i := range f.instances {
		if i != sender {
			require.NoError(t, i.server.Close())
		}
	}
	for range 3 {
		require.NoError(t, sender.samplePrimary(t.Context(), group))
		require.EqualValues(t, 1, sender.pools.Stats(f.db.primary).Idle)
	}
	require.EqualValues(t, 1, sender.opened.Load())
}

// Guards against a refused session value that is taken for a lost answer: the statement is
// not sent, and the upstream responds.
func TestRefusedSetUpAtAHolderIsNotRun(t *testing.T) {
	f := newRelayFleet(t)
	sender := f.sender()
	c := open(t, sender.Engine, "strict")
	f.db.fail = func(_ topo.UpstreamID, st Statement) failure {
		if st.Verb == Set {
			return busy
		}
		return none
	}
	c.do(Statement{Verb: Set, Name: "tz", Value: "UTC"})
	candidates := len(sender.relayCandidates(f.db.primary, ""))
	for range 4 {
		r := c.write("w")
		require.Equal(t, outcome.NotRun, r.Outcome.Kind, r.Outcome.Reason)
	}
	c.begin(false)
	require.Equal(t, outcome.NotRun, c.write("w").Outcome.Kind)
	require.Len(t, sender.relayCandidates(f.db.primary, ""), candidates, "the holder is not avoided")
	member, _ := sender.pools.Lookup(f.db.primary)
	require.True(t, member.Available(time.Now()), "the circuit stays closed")
	n, _ := f.db.commits("WRITE w")
	require.Zero(t, n)
}

// Guards against a caller whose deadline has passed and who makes all holders count as
// unreachable.
func TestPassedDeadlineDoesNotBlameHolders(t *testing.T) {
	f := newRelayFleet(t)
	sender := f.sender()
	candidates := len(sender.relayCandidates(f.db.primary, ""))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	at := placement{upstream: f.db.announcement(f.db.primary), term: 3}
	a := sender.newAccess(at, request{arrived: time.Now()})
	defer a.close()
	_, err := a.execute(ended, connState{}, Statement{Verb: Write, Text: "WRITE late"})
	require.Error(t, err)
	require.Len(t, sender.relayCandidates(f.db.primary, ""), candidates)
	n, _ := f.db.commits("WRITE late")
	require.Zero(t, n)
}

// Guards against a former holder that keeps the slots of a holder once statements are not
// relayed any more.
func TestSlotsAreRestoredWhenRelayingEnds(t *testing.T) {
	f := newRelayFleet(t)
	holder := f.holder(0)
	a := f.db.announcement(f.db.primary)
	gt := holder.groups.Get(group).Gate(a)
	holder.pools.Get(a)
	holder.relays.plan.holders[a.ID] = holderSet{holdsSelf: true, members: holder.opts.Peers.Members(), connections: 1, slots: 1}
	holder.maintain(t.Context())
	require.Equal(t, 1, gt.Load().Slots)
	holder.relays.plan.holders = nil
	holder.maintain(t.Context())
	require.Equal(t, a.Slots, gt.Load().Slots)
}

// Guards against sessions of different instances that share a turn at a holder.
func TestCallersOfDifferentInstancesDiffer(t *testing.T) {
	session, other := request{caller: "1"}, request{caller: "north", organisation: "north"}
	require.NotEqual(t, callerAt("entry-1", session), callerAt("entry-2", session))
	require.Equal(t, callerAt("entry-1", other), callerAt("entry-2", other))
}

// Guards against statements that a holder runs although the connection to their sender has
// closed, for example after the holder was suspended: the sender has given them up.
func TestHolderDropsStatementsOfALostSender(t *testing.T) {
	f := newRelayFleet(t)
	sender, holder := f.sender(), f.holder(0)
	at := placement{upstream: f.db.announcement(f.db.primary), term: 3}
	a := sender.newAccess(at, request{arrived: time.Now()}).(*relayAccess[*fakeConn])
	defer a.close()
	a.request = request{service: sender.opts.Catalog().Routes["strict"].Service, arrived: time.Now()}
	req := a.newRequest(t.Context(), connState{}, Statement{Verb: Write, Text: "WRITE late"})
	lost, cancel := context.WithCancel(t.Context())
	cancel()
	reply, err := holder.held.handle(lost, req)
	require.NoError(t, err)
	require.NotNil(t, reply.Refusal)
	n, _ := f.db.commits("WRITE late")
	require.Zero(t, n)
	require.Zero(t, holder.Relayed())
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
		f.db.omitPositions(rapid.IntRange(0, 3).Draw(t, "answers of 3 without position"))
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

// Guards against a holder that runs out of memory by large statements that many instances
// relay at once.
func TestHolderLimitsTheMemoryOfRelayedStatements(t *testing.T) {
	f := newRelayFleet(t)
	large := strings.Repeat("x", 64<<10)
	for _, i := range f.instances {
		i.opts.MemoryBytes = 10 * 32 << 10
	}
	c := open(t, f.sender().Engine, "strict")
	r := c.write(large)
	require.Equal(t, outcome.CodeOverloaded, r.Outcome.Code)
	n, _ := f.db.commits("WRITE " + large)
	require.Zero(t, n, "it has not run")
	require.Equal(t, outcome.Done, c.write("small").Outcome.Kind)
	require.Zero(t, f.holder(0).held.bytes.Load())
}

// Guards against an organisation whose statements open connections at several holders, or
// run on a connection of another organisation.
func TestOrganisationsUseTheirConnectionsAtOneHolder(t *testing.T) {
	f := newRelayFleet(t)
	conns := map[string]map[int]bool{"n": {}, "s": {}}
	for _, i := range f.instances {
		for key, used := range conns {
			c := openWith(t, i.Engine, "least urgent", key)
			require.Equal(t, outcome.Done, c.write(key+string(i.opts.Self)).Outcome.Kind)
			used[f.db.lastRun(key+string(i.opts.Self)).conn] = true
		}
	}
	for conn := range conns["n"] {
		require.NotContains(t, conns["s"], conn, "organisations share no connection")
	}
	if f.firstHolder("north") != f.firstHolder("south") {
		require.Len(t, conns["n"], 1, "all instances use one connection")
	}
}

// firstHolder returns the holder of the primary that an organisation uses first.
func (f *relayFleet) firstHolder(organisation string) topo.InstanceID {
	return f.sender().relayCandidates(f.db.primary, organisation)[0].ID
}
