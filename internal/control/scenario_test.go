package control_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/standin"
)

// crash hangs a database and closes its listener for the duration of the outage,
// then restarts it.
func crash(db *standin.Database, outage time.Duration) {
	db.Hang(true)
	go func() {
		_ = db.Restart(outage)
		db.Hang(false)
	}()
}

func TestChosenDatabaseFailsBeforePromotion(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.startWriters()
	d.onEvent(func(v *voterNode, e control.Event) {
		if e.Name != "chosen" || e.Term != 2 {
			return
		}
		g, _ := v.machine.Group(group)
		d.databases[g.Attempt.Chosen].Hang(true)
	})
	crash(d.database("a"), time.Second)
	d.awaitTerm(3, d.entries...)
	d.checkWrites(d.stopWriters())
}

func TestPromotedDatabaseFailsImmediately(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.startWriters()
	d.onEvent(func(v *voterNode, e control.Event) {
		if e.Name != "completed" {
			return
		}
		if g, _ := v.machine.Group(group); g.Term == 2 {
			d.databases[g.Primary].Hang(true)
		}
	})
	crash(d.database("a"), 1500*time.Millisecond)
	d.awaitTerm(3, d.entries...)
	d.checkWrites(d.stopWriters())
}

func TestBothReplicasLag(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.startWriters()
	d.database("b").SetReplicationLag(150 * time.Millisecond)
	d.database("c").SetReplicationLag(250 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	require.NoError(t, d.database("a").Close())
	d.awaitTerm(2, d.entries...)
	d.checkWrites(d.stopWriters())
}

func TestOldPrimaryReturnsWithUnacknowledgedWrites(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.startWriters()
	old := d.database("a")
	d.net.Isolate(string(old.ID()))
	host, port, err := net.SplitHostPort(old.Addr())
	require.NoError(t, err)
	conn, err := pgconn.Connect(t.Context(),
		fmt.Sprintf("host=%s port=%s user=u dbname=%s sslmode=disable cicadacove.term=1", host, port, group))
	require.NoError(t, err)
	_, err = conn.Exec(t.Context(), "INSERT INTO written VALUES ('nobody')").ReadAll()
	require.NoError(t, err)
	d.awaitTerm(2, d.entries...)
	d.net.HealAll()
	d.await("the old primary has discarded its tail", func() bool {
		rows, err := old.Contents("SELECT id FROM written WHERE id = 'nobody'")
		return err == nil && len(rows) == 0 && old.Status().Role == topo.RoleReplica
	})
	d.checkWrites(d.stopWriters())
}

func TestZoneWithLeaderPrimaryAndInstancesLost(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.startWriters()
	d.net.Partition("z1", "z2")
	d.net.Partition("z1", "z3")
	remaining := d.entries[1:3]
	d.awaitTerm(2, remaining...)
	for _, e := range []*entryNode{d.entries[0], d.entries[3]} {
		require.False(t, e.agent.Holds(group, 1))
		_, known := e.agent.Group(group)
		require.True(t, known, "bounded-staleness reads continue")
		require.NotEmpty(t, e.agent.Upstreams(group))
	}
	d.net.HealAll()
	d.awaitTerm(2, d.entries...)
	d.await("one view of four", d.haveView)
	d.checkWrites(d.stopWriters())
}

func TestControlWithoutMajority(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.startWriters()
	d.voters[0].stop()
	d.voters[1].stop()
	d.await("no authority anywhere", func() bool {
		for _, e := range d.entries {
			if e.agent.Holds(group, 1) {
				return false
			}
		}
		return true
	})
	require.NoError(t, d.database("a").Close())
	d.voters[0].restart()
	d.awaitTerm(2, d.entries...)
	d.checkWrites(d.stopWriters())
}

func TestLeavingUpstreamGetsNoNewWorkAnywhere(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.database("c").Leave()
	d.await("c is offered nowhere", func() bool { return !d.offered(d.database("c").ID()) })
	d.database("a").Leave()
	d.awaitTerm(2, d.entries...)
	a, _ := d.entries[0].agent.Authority(group)
	require.Equal(t, d.database("b").ID(), a.Primary)
	require.False(t, d.offered(d.database("a").ID()))
}

func TestSilentUpstreamExpires(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.database("c").Hang(true)
	d.await("c is offered nowhere", func() bool { return !d.offered(d.database("c").ID()) })
	d.database("c").Hang(false)
	d.await("c is offered again", d.haveDatabases)
}

// offered reports whether any entry instance sends new work to the upstream.
func (d *deployment) offered(id topo.UpstreamID) bool {
	for _, e := range d.entries {
		for _, u := range e.agent.Upstreams(group) {
			if u.ID == id {
				return true
			}
		}
	}
	return false
}

func TestInstancesLeaveAndRestart(t *testing.T) {
	t.Parallel()
	opts := deployOptions{entries: 4, voters: 3}
	d := deploy(t, opts)
	gone := d.entries[3]
	require.NoError(t, gone.agent.Leave(t.Context()))
	require.False(t, gone.agent.Holds(group, 1))
	gone.cancel()
	d.await("a view of three", func() bool {
		v, ok := d.entries[0].agent.View()
		return ok && len(v.Members) == 3
	})
	d.startAgent(gone, 2, opts)
	d.await("a view of four", func() bool {
		v, ok := gone.agent.View()
		return ok && len(v.Members) == 4
	})
	d.startAgent(d.entries[2], 2, opts)
	d.await("a view with the next incarnation", func() bool {
		v, ok := d.entries[2].agent.View()
		return ok && len(v.Members) == 4 && v.Members[2].Incarnation == 2
	})
	require.NoError(t, d.database("a").Close())
	d.awaitTerm(2, d.entries...)
}

// Once a closed database has been removed, a failover must not wait for it.
func TestFailoverIgnoresRemovedDatabase(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.startWriters()
	require.NoError(t, d.database("c").Close())
	d.startDatabase("d", 2)
	d.await("d is accepted and c is not offered", func() bool {
		return d.offered(d.database("d").ID()) && !d.offered(d.database("c").ID())
	})
	leader, _ := d.leader()
	err := leader.control.RemoveDatabase(t.Context(), group, d.database("a").ID())
	require.ErrorContains(t, err, "is the primary")
	require.NoError(t, leader.control.RemoveDatabase(t.Context(), group, d.database("c").ID()))
	require.NoError(t, d.database("a").Close())
	d.awaitTerm(2, d.entries...)
	d.checkWrites(d.stopWriters())
}

// An operator may request a planned switchover from any entry instance.
func TestSwitchoverViaAnyInstance(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	d.startWriters()
	for i, e := range d.entries {
		target := d.database([]string{"b", "c", "a", "b"}[i]).ID()
		require.NoError(t, e.agent.Switchover(t.Context(), group, target))
		d.awaitTerm(topo.Term(i+2), d.entries...)
		a, _ := e.agent.Authority(group)
		require.Equal(t, target, a.Primary)
		d.awaitRecovery(d.database([]string{"a", "b", "c", "a"}[i]))
	}
	var refused *agent.RefusedError
	require.ErrorAs(t, d.entries[3].agent.Switchover(t.Context(), group, "x"), &refused)
	require.ErrorContains(t, refused, "not a database of")
	d.checkWrites(d.stopWriters())
}

// The primaries of several groups fail at the same time.
func TestSeveralGroupsFailOverAtOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3})
	ids := []topo.GroupID{group, "ledger-2", "ledger-3"}
	for _, g := range ids[1:] {
		for i, name := range []string{"a", "b", "c"} {
			d.startDatabaseOf(g, name, i)
		}
	}
	inTerm := func(term topo.Term, databases int) func() bool {
		return func() bool {
			for _, e := range d.entries {
				for _, g := range ids {
					a, ok := e.agent.Authority(g)
					if !ok || a.Term != term || len(e.agent.Upstreams(g)) < databases {
						return false
					}
				}
			}
			return true
		}
	}
	d.await("three groups", inTerm(1, 3))
	for _, g := range ids {
		require.NoError(t, d.databases[topo.UpstreamID(string(g)+"/a")].Close())
	}
	d.await("three groups in term 2", inTerm(2, 2))
}

// leavingTiming has the proportions of a deployment with a drain limit.
var leavingTiming = agent.Timing{DrainLimit: 4 * time.Second, CatchUp: 300 * time.Millisecond}

func TestLeavingPrimaryGetsNoNewWorkAfterItsDrainLimit(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3, timing: leavingTiming})
	for _, name := range []string{"b", "c"} {
		d.net.Isolate(string(d.database(name).ID()))
	}
	leavingAt := time.Now()
	d.database("a").Leave()
	d.await("no instance uses the leaving primary", func() bool { return !d.haveAuthority(d.entries[0]) })
	d.await("at none of them", func() bool {
		for _, e := range d.entries {
			if e.agent.AcceptsWork(group, d.database("a").ID()) {
				return false
			}
		}
		return true
	})
	require.Less(t, time.Since(leavingAt), leavingTiming.DrainLimit)
	d.net.HealAll()
	d.awaitTerm(2, d.entries...)
}

func TestLeavingPrimaryIsReplacedBeforeItsDrainLimitAlthoughReplicasLag(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4, voters: 3, timing: leavingTiming})
	d.startWriters()
	d.database("b").SetReplicationLag(700 * time.Millisecond)
	d.database("c").SetReplicationLag(800 * time.Millisecond)
	time.Sleep(time.Second)
	leavingAt := time.Now()
	d.database("a").Leave()
	d.await("another primary everywhere", func() bool {
		for _, e := range d.entries {
			if a, ok := e.agent.Authority(group); !ok || a.Primary == d.database("a").ID() {
				return false
			}
		}
		return true
	})
	require.Less(t, time.Since(leavingAt), leavingTiming.DrainLimit)
	d.checkWrites(d.stopWriters())
}
