package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

func at(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

func point(term, position int) topo.Point {
	return topo.Point{Term: topo.Term(term), Position: topo.Position(position)}
}

func TestChoose(t *testing.T) {
	g := topo.Group{ID: "g", Term: 2, Starts: []topo.TermStart{{Term: 2, Start: 10}}}
	primary := &Candidate{ID: "p", RoundTrip: 3 * time.Millisecond}
	near := Candidate{ID: "near", Point: point(2, 20), RoundTrip: time.Millisecond, Lag: 5 * time.Millisecond}
	far := Candidate{ID: "far", Point: point(2, 30), RoundTrip: 3 * time.Millisecond, Lag: 5 * time.Millisecond}
	aged := Read{MaxAge: time.Second, MaxWait: 20 * time.Millisecond}
	with := func(token topo.Point) Read { r := aged; r.Token = token; return r }
	cases := []struct {
		name     string
		read     Read
		replicas []Candidate
		primary  *Candidate
		want     Action
		upstream topo.UpstreamID
		code     string
	}{
		{"nearest fresh replica", aged, []Candidate{far, near}, primary, UseReplica, "near", ""},
		{"token beyond the near one", with(point(2, 25)), []Candidate{far, near}, primary, UseReplica, "far", ""},
		{"token beyond all", with(point(2, 40)), []Candidate{far, near}, primary, UsePrimary, "p", ""},
		{"token beyond all, no primary", with(point(2, 40)), []Candidate{far, near}, nil, UseReplica, "near", ""},
		{"lost write", with(point(1, 11)), []Candidate{near}, primary, Refuse, "", outcome.CodeWriteLost},
		{"session without a known point", Read{MaxAge: time.Second, PointUnknown: true}, []Candidate{near}, primary, UsePrimary, "p", ""},
		{"session without a known point, no primary", Read{MaxAge: time.Second, PointUnknown: true}, []Candidate{near}, nil, Refuse, "", outcome.CodeNoUpstream},
		{"position too old although it was queried", Read{MaxAge: time.Millisecond, Queried: true}, []Candidate{near}, primary, UsePrimary, "p", ""},
		{"no age tolerated", Read{}, []Candidate{near}, primary, UsePrimary, "p", ""},
		{"primary's position too old", Read{MaxAge: time.Millisecond}, []Candidate{near}, primary, AskPrimary, "p", ""},
		{"position too old, no primary", Read{MaxAge: time.Millisecond}, []Candidate{near}, nil, Refuse, "", outcome.CodeNoUpstream},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tr := NewTracker()
			tr.ObservePrimary(point(2, 15), at(500))
			d := Choose(Replicas, at(1000), g, tr, tc.read, tc.replicas, tc.primary)
			require.Equal(t, tc.want, d.Action)
			require.Equal(t, tc.upstream, d.Upstream)
			require.Equal(t, tc.code, d.Outcome.Code)
		})
	}
}

// Choose waits for a replica while the primary is busy, and uses an idle primary
// unless the service can tolerate the delay.
func TestChooseWeighsWaitAgainstPrimary(t *testing.T) {
	tr := NewTracker()
	tr.ObservePrimary(point(1, 1), at(0))
	r := Read{MaxAge: time.Second, MaxWait: 20 * time.Millisecond, Token: point(1, 9)}
	behind := []Candidate{{ID: "r", Point: point(1, 5), RoundTrip: time.Millisecond, Lag: 8 * time.Millisecond}}
	idle := &Candidate{ID: "p", RoundTrip: 3 * time.Millisecond}
	busy := &Candidate{ID: "p", RoundTrip: 3 * time.Millisecond, QueueWait: 30 * time.Millisecond}
	g := topo.Group{Term: 1}
	require.Equal(t, UsePrimary, Choose(Replicas, at(1), g, tr, r, behind, idle).Action)
	require.Equal(t, UseReplica, Choose(Replicas, at(1), g, tr, r, behind, busy).Action)
	r.MaxExtraDelay = 6 * time.Millisecond
	require.Equal(t, UseReplica, Choose(Replicas, at(1), g, tr, r, behind, idle).Action, "the service tolerates the delay")
}

// For any sequence of observations, a replica that covers the required point has
// every commit older than the tolerated age.
func TestPointWithinBoundsTheAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker()
		var commits []time.Time
		now := at(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "commit") {
				commits = append(commits, now)
			}
			if rapid.Bool().Draw(t, "sample") {
				tr.ObservePrimary(point(1, len(commits)), now)
			}
			maxAge := time.Duration(rapid.IntRange(1, 200).Draw(t, "age")) * time.Millisecond
			required, ok := tr.PointWithin(maxAge, now)
			if !ok {
				continue
			}
			for i, c := range commits {
				if now.Sub(c) > maxAge {
					require.Greater(t, int(required.Position), i, "commit %d at %s must be covered", i+1, c)
				}
			}
		}
	})
}

func TestTrackerAcceptsAPositionThatMovesBack(t *testing.T) {
	tr := NewTracker()
	tr.ObserveReplica("r", point(1, 9), at(10))
	tr.ObserveReplica("r", point(1, 2), at(20))
	tr.ObserveReplica("r", point(1, 8), at(15))
	p, _ := tr.Point("r")
	require.Equal(t, point(1, 2), p)
}
