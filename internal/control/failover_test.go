package control_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/control"
)

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4})
	require.NoError(t, d.database("a").Close())
	d.awaitTerm(2, d.entries...)
	a, _ := d.entries[0].agent.Authority(group)
	require.NotEqual(t, d.database("a").ID(), a.Primary)
}

func TestIsolatedPrimaryIsReplacedAndThenFollows(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4})
	d.net.Isolate(string(d.database("a").ID()))
	d.awaitTerm(2, d.entries...)
	d.net.HealAll()
	d.await("the old primary follows", func() bool {
		s := d.database("a").Status()
		return s.Role == "replica" && s.FencedTerm == 2
	})
}

func TestZoneWithPrimaryAndEntryInstanceLost(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4})
	// The controller runs in zone z1, so the primary is moved to z2 first.
	require.NoError(t, d.controller.Switchover(t.Context(), group, d.database("b").ID()))
	d.awaitTerm(2, d.entries...)
	d.net.Partition("z2", "z1")
	d.net.Partition("z2", "z3")
	isolated := d.entries[1]
	d.awaitTerm(3, d.entries[0], d.entries[2], d.entries[3])
	require.False(t, isolated.agent.Holds(group, 2))
	_, ok := isolated.agent.View()
	require.False(t, ok)
	d.net.HealAll()
	d.awaitTerm(3, d.entries...)
}

func TestSwitchoverMovesThePrimary(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 4})
	require.NoError(t, d.controller.Switchover(t.Context(), group, d.database("c").ID()))
	d.awaitTerm(2, d.entries...)
	a, _ := d.entries[0].agent.Authority(group)
	require.Equal(t, d.database("c").ID(), a.Primary)
}

// Stops the leader of the control log right after each event of a failover: the
// next leader must finish the attempt.
func TestLeaderLostAtEachStep(t *testing.T) {
	for _, name := range []string{"suspected", "begun", "fenced", "chosen", "drained", "promoted", "completed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, deployOptions{entries: 4, voters: 3})
			d.startWriters()
			var once sync.Once
			d.onEvent(func(v *voterNode, e control.Event) {
				if e.Name == name {
					once.Do(v.stop)
				}
			})
			require.NoError(t, d.database("a").Close())
			d.awaitTerm(2, d.entries...)
			acks := d.stopWriters()
			d.checkWrites(acks)
		})
	}
}
