package groupstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/pace"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Guards against a pace that is restarted without a start, promotion or recovery, such
// as by the first announcements that a new instance sees, and against one that isn't.
func TestWhatRestartsThePace(t *testing.T) {
	known := topo.Announcement{Group: "g", ID: "a", Role: topo.RoleReplica, Incarnation: 1, Seq: 7}
	changed := func(f func(*topo.Announcement)) topo.Announcement {
		a := known
		f(&a)
		return a
	}
	cases := []struct {
		name string
		next topo.Announcement
		act  func(g *Group, now time.Time)
		want pace.Reason
	}{
		{name: "the next announcement", next: changed(func(a *topo.Announcement) { a.Seq++ })},
		{name: "an announcement made up from a lease", next: topo.Announcement{Group: "g", ID: "a", Role: topo.RolePrimary}},
		{name: "a new incarnation", next: changed(func(a *topo.Announcement) { a.Incarnation, a.Seq = 2, 1 }), want: pace.Started},
		{name: "a new upstream", next: changed(func(a *topo.Announcement) { a.ID = "b" }), want: pace.Started},
		{name: "a promotion", next: changed(func(a *topo.Announcement) { a.Role, a.Seq = topo.RolePrimary, 8 }), want: pace.Promoted},
		{name: "a recovery", next: known, act: func(g *Group, _ time.Time) { g.ObserveUnavailable("a") }, want: pace.Recovered},
		{name: "failures", next: known, act: func(g *Group, now time.Time) {
			for range 10 {
				g.ObserveOutcome("a", false, now)
			}
		}, want: pace.Failed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, now := New(admission.Ranked, allSlots{}).Get("g"), time.Unix(1000, 0)
			value, _, limited := g.Pace(known, now)
			require.Equal(t, 1.0, value)
			require.False(t, limited)
			now = now.Add(2 * newcomerAfter)
			if c.act != nil {
				c.act(g, now)
			}
			value, change, limited := g.Pace(c.next, now)
			require.Equal(t, c.want != "", limited)
			require.Equal(t, c.want, change.Reason)
			require.Equal(t, limited, value < 1)
		})
	}
}

// Guards against a second restart where work that was held back during a start or a
// promotion still has the announcement from before it.
func TestAnOlderAnnouncementDoesNotRestartThePace(t *testing.T) {
	old := topo.Announcement{Group: "g", ID: "a", Role: topo.RoleReplica, Incarnation: 1, Seq: 7}
	started, promoted := old, old
	started.Incarnation, started.Seq = 2, 1
	promoted.Role, promoted.Seq = topo.RolePrimary, 8
	for _, next := range []topo.Announcement{started, promoted} {
		g, now := New(admission.Ranked, allSlots{}).Get("g"), time.Unix(1000, 0)
		g.Pace(old, now)
		restarted, _, _ := g.Pace(next, now)
		now = now.Add(10 * time.Second)
		g.Pace(old, now)
		later, _, _ := g.Pace(next, now)
		require.Greater(t, later, restarted)
	}
}

// Guards against urgent work, or work that has waited long, that is held for the pace.
func TestOnlyTheLeastUrgentWorkWaitsForThePace(t *testing.T) {
	g, now := New(admission.Ranked, allSlots{}).Get("g"), time.Unix(1000, 0)
	g.Pace(topo.Announcement{Group: "g", ID: "a", Role: topo.RolePrimary, Incarnation: 1, ColdLeft: time.Second}, now)
	held := func(rank int, waited time.Duration) bool {
		h := admission.Hold{Rank: rank, UrgentTarget: time.Second, ServiceTime: time.Second, Slots: 1}
		g.HoldForPace("a", h, 0, time.Second, now)
		return g.HoldForPace("a", h, waited, time.Second, now)
	}
	require.True(t, held(contract.Ranks, 0))
	require.False(t, held(contract.Ranks-1, 0))
	require.False(t, held(contract.Ranks, 400*time.Millisecond))
}
