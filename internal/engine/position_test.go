package engine

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// answersWithout makes the upstreams answer statements of these verbs without a position.
func (db *fakeGroup) answersWithout(verbs ...Verb) {
	db.bare = func(st Statement) bool { return slices.Contains(verbs, st.Verb) }
}

// omitPositions makes the upstreams answer a share of all statements, in thirds, without a
// position.
func (db *fakeGroup) omitPositions(share int) {
	answers := 0
	db.bare = func(Statement) bool {
		answers++
		return answers%3 < share
	}
}

// fallBehind makes the replicas lack the last entries of the primary's log.
func (db *fakeGroup) fallBehind() {
	db.applied["b"], db.applied["c"] = 5, 5
}

// requireServed reads until the upstream serves the read.
func requireServed(t *testing.T, c *client, db *fakeGroup, id topo.UpstreamID) {
	t.Helper()
	require.Eventually(t, func() bool {
		return c.read("late").Outcome.Kind == outcome.Done && db.lastRun("late").upstream == id
	}, 5*time.Second, time.Millisecond)
}

// Guards against reads of bounded staleness that run on lagging replicas without a
// condition: an answer without a position is no proof that the primary's log is empty.
func TestAnswerWithoutPositionIsNoSample(t *testing.T) {
	everything := []Verb{Begin, Commit, Rollback, Read, Write, Set, Prepare, Execute, Reset, Status}
	cases := []struct {
		name string
		bare []Verb
		// late means that a replica serves reads once it has caught up.
		late bool
	}{
		{"reset", []Verb{Reset, Set, Prepare}, true},
		{"all but reads and writes", []Verb{Reset, Status, Set, Prepare, Begin, Commit, Rollback}, true},
		{"all", everything, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			db := newFakeGroup()
			db.fallBehind()
			db.answersWithout(tc.bare...)
			reader := open(t, newEngine(db), "old")
			for _, inTx := range []bool{false, true, false} {
				if inTx {
					reader.begin(true)
				}
				require.Equal(t, outcome.Done, reader.read("x").Outcome.Kind)
				require.Equal(t, db.position, db.lastRun("x").point.Position)
				if inTx {
					require.Equal(t, outcome.Done, reader.commit().Outcome.Kind)
				}
			}
			db.catchUp("b")
			if tc.late {
				requireServed(t, reader, db, "b")
				return
			}
			require.Equal(t, outcome.Done, reader.read("late").Outcome.Kind)
			require.Equal(t, db.primary, db.lastRun("late").upstream, "nothing shows that a replica is recent enough")
		})
	}
}

// Guards against a read that misses the session's own commit, which the primary has
// acknowledged without a position.
func TestReadSeesACommitThatWasAcknowledgedWithoutPosition(t *testing.T) {
	for _, inTx := range []bool{false, true} {
		db := newFakeGroup()
		e := newEngine(db)
		c := open(t, e, "own")
		require.Equal(t, outcome.Done, c.read("first").Outcome.Kind, "the position before the commit is known")
		db.answersWithout(Write, Commit)
		if inTx {
			c.begin(false)
		}
		require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
		if inTx {
			require.Equal(t, outcome.Done, c.commit().Outcome.Kind)
		}
		_, committed := db.commits("WRITE w")
		for range 5 {
			require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
			require.GreaterOrEqual(t, db.lastRun("x").point.Position, committed)
		}
		db.catchUp("b")
		requireServed(t, c, db, "b")
	}
}

// Guards against holders that pass an absent position on as the start of the log.
func TestRelayedAnswerWithoutPosition(t *testing.T) {
	f := newRelayFleet(t)
	f.db.answersWithout(Reset, Write)
	sender := f.sender()
	c := open(t, sender.Engine, "own")
	require.Equal(t, outcome.Done, c.read("first").Outcome.Kind)
	require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
	_, committed := f.db.commits("WRITE w")
	for range 5 {
		require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
		require.GreaterOrEqual(t, f.db.lastRun("x").point.Position, committed)
	}
	other := open(t, f.holder(0).Engine, "old")
	f.db.fallBehind()
	require.Equal(t, outcome.Done, other.read("y").Outcome.Kind)
	require.Equal(t, f.db.position, f.db.lastRun("y").point.Position)
}

// Guards against a read that goes to the primary although another instance knows the
// primary's position, which the primary itself does not report.
func TestPositionOfAnotherInstanceReplacesAnAbsentOne(t *testing.T) {
	db := newFakeGroup()
	db.bare = func(Statement) bool { return true }
	server, client := peer.NewServer(peer.Options{}), peer.NewClient(peer.Options{})
	t.Cleanup(func() { client.Close(); _ = server.Close() })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(ln) }()
	other, e := newEngine(db), newEngine(db)
	other.opts.Peers.Server = server
	other.handlePeers()
	other.groups.Get(group).ObservePrimary(db.point(db.primary), clock.Now())
	e.opts.Peers = Peers{Client: client, Others: func() []string { return []string{ln.Addr().String()} }}
	c := open(t, e, "old")
	require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
	require.Equal(t, topo.UpstreamID("b"), db.lastRun("x").upstream)
	require.Eventually(t, func() bool { return e.groups.Get(group).StartFirstSample(time.Nanosecond, clock.Now()) }, time.Second, time.Millisecond,
		"the query has ended")
}

// Guards against a primary that counts as unreachable because it answers without a position.
func TestPrimaryWithoutPositionIsReachable(t *testing.T) {
	db := newFakeGroup()
	db.answersWithout(Reset, Status)
	e := newEngine(db)
	events := &positionEvents{}
	e.opts.Events = events
	for range 2 {
		require.ErrorIs(t, e.samplePrimary(t.Context(), group), errNoPosition)
	}
	_, _, known := e.groups.Get(group).LatestSample()
	require.False(t, known)
	member, _ := e.pools.Lookup(db.primary)
	require.True(t, member.Available(time.Now()))
	require.EqualValues(t, 1, e.pools.Stats(db.primary).Idle, "the connection is kept")
	db.answersWithout(Reset)
	require.NoError(t, e.samplePrimary(t.Context(), group))
	require.Equal(t, []bool{false, true}, events.reported, "changes are reported once")
}

// positionEvents records reports of the primary's position.
type positionEvents struct {
	noEvents
	reported []bool
}

func (p *positionEvents) PositionReported(_ topo.GroupID, _ topo.UpstreamID, reported bool) {
	p.reported = append(p.reported, reported)
}

// sentPoint and sentPosition are what another instance sends of a position. One that doesn't
// know that a position may be absent sends no flag.
type sentPoint struct {
	Term     topo.Term     `msgpack:"t"`
	Position topo.Position `msgpack:"p"`
	Known    bool          `msgpack:"k,omitempty"`
}

type sentPosition struct {
	ID    topo.GroupID  `msgpack:"i"`
	Known bool          `msgpack:"k"`
	Point sentPoint     `msgpack:"p"`
	Age   time.Duration `msgpack:"a"`
}

type sentPositions struct {
	Positions []sentPosition `msgpack:"p"`
}

// Guards against positions of other instances that are taken for the start of the log, since
// their sender doesn't tell none from zero, or for newer than they are.
func TestPositionsOfOtherInstancesAreChecked(t *testing.T) {
	cases := []struct {
		name  string
		point sentPoint
		age   time.Duration
		known bool
	}{
		{"none", sentPoint{}, 0, false},
		{"from the future", sentPoint{3, 9, true}, -time.Minute, false},
		{"in order", sentPoint{3, 9, true}, time.Second, true},
		{"the start of the log", sentPoint{0, 0, true}, time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server, client := peer.NewServer(peer.Options{}), peer.NewClient(peer.Options{})
			t.Cleanup(func() { client.Close(); _ = server.Close() })
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = server.Serve(ln) }()
			p := sentPosition{group, true, tc.point, tc.age}
			peer.Handle(server, kindPosition, func(context.Context, positionRequest) (sentPosition, error) { return p, nil })
			peer.Handle(server, kindPositions, func(context.Context, positionsRequest) (sentPositions, error) {
				return sentPositions{[]sentPosition{p}}, nil
			})
			query := map[string]func(e *Engine[*fakeConn]){
				"one":  func(e *Engine[*fakeConn]) { e.queryPeers(t.Context(), group) },
				"list": func(e *Engine[*fakeConn]) { require.NoError(t, e.queryPositions(t.Context(), ln.Addr().String(), nil)) },
			}
			for name, ask := range query {
				e := newEngine(newFakeGroup())
				e.opts.Peers = Peers{Client: client, Others: func() []string { return []string{ln.Addr().String()} }}
				ask(e)
				got, _, known := e.groups.Get(group).LatestSample()
				require.Equal(t, tc.known, known, name)
				if known {
					require.Equal(t, topo.Point{Term: tc.point.Term, Position: tc.point.Position}, got, name)
				}
			}
		})
	}
}
