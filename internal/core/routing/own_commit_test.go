package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Guards against a session's commit that is forgotten, or taken for covered, because the
// upstream reported no point with it.
func TestOwnCommitWithoutPoint(t *testing.T) {
	bounded := Requirement{Point: point(1, 4), Age: time.Second}
	g := topo.Group{Term: 1}
	raise := func(c OwnCommit, samples *Tracker, ms int) (Requirement, bool) {
		c = c.Covered(func(maxAge time.Duration) (Requirement, bool) { return samples.RequirementWithin(maxAge, at(ms)) }, at(ms))
		return c.Raise(bounded, g, at(ms))
	}
	samples := NewTracker()
	samples.ObservePrimary(point(1, 6), at(90))

	var c OwnCommit
	r, known := raise(c, samples, 200)
	require.True(t, known)
	require.Equal(t, bounded, r, "nothing is committed")

	c = c.Followed(topo.Reported(point(1, 5)), at(50)).Followed(topo.ReportedPoint{}, at(100))
	_, known = raise(c, samples, 200)
	require.False(t, known, "neither the earlier commit nor the earlier sample covers the commit")

	samples.ObservePrimary(point(1, 9), at(150))
	r, known = raise(c, samples, 200)
	require.True(t, known)
	require.Equal(t, Requirement{Point: point(1, 9), Age: 50 * time.Millisecond}, r)

	r, known = raise(c.Followed(topo.Reported(point(1, 12)), at(190)), samples, 200)
	require.True(t, known)
	require.Equal(t, Requirement{Point: point(1, 12), Age: 10 * time.Millisecond}, r, "a later point covers it")
}

func TestOwnCommitFollowsTheGroup(t *testing.T) {
	c := OwnCommit{}.Followed(topo.Reported(point(1, 12)), at(10)).Followed(topo.Reported(point(1, 12)), at(40))
	g := topo.Group{Term: 2, Starts: []topo.TermStart{{Term: 2, Start: 8}}}
	r, known := c.Raise(Requirement{}, g, at(50))
	require.True(t, known)
	require.Equal(t, Requirement{Point: point(1, 8), Age: 40 * time.Millisecond}, r, "a failover has lost the rest")
	r, _ = c.Raise(Requirement{Point: point(2, 9)}, g, at(50))
	require.Equal(t, point(2, 9), r.Point)
}
