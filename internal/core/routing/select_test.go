package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

func TestSelectWeighsWaitLagAndZonePenalty(t *testing.T) {
	const ms = time.Millisecond
	required := Requirement{Point: topo.Point{Term: 3, Position: 100}, Age: 10 * time.Millisecond}
	behind, ahead := topo.Point{Term: 3, Position: 90}, topo.Point{Term: 3, Position: 101}
	cases := []struct {
		name   string
		offers []Offer
		want   topo.UpstreamID
	}{
		{"the same zone is preferred", []Offer{
			{ID: "far", Point: ahead, ResponseTime: 20 * ms, ZonePenalty: 5 * ms}, {ID: "near", Point: ahead, ResponseTime: 20 * ms},
		}, "near"},
		{"a long queue outweighs the zone penalty", []Offer{
			{ID: "far", Point: ahead, ResponseTime: 20 * ms, ZonePenalty: 5 * ms}, {ID: "near", Point: ahead, ResponseTime: 20 * ms, QueueWait: 30 * ms},
		}, "far"},
		{"a replica that usually lags less than the requirement is old counts as caught up", []Offer{
			{ID: "primary", Point: ahead, ResponseTime: 20 * ms, ZonePenalty: 5 * ms}, {ID: "near", Point: behind, Lag: 8 * ms, ResponseTime: 20 * ms},
		}, "near"},
		{"a replica that has to catch up costs its lag", []Offer{
			{ID: "late", Point: behind, Lag: 50 * ms, ResponseTime: 20 * ms}, {ID: "primary", Point: ahead, ResponseTime: 40 * ms},
		}, "primary"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			best, ok := Select(required, c.offers)
			require.True(t, ok)
			require.Equal(t, c.want, best.ID)
		})
	}
	_, ok := Select(Requirement{}, nil)
	require.False(t, ok)
}

func TestSelectAvoidsFailuresUntilTheyDecay(t *testing.T) {
	now := time.Unix(0, 0)
	var f FailureRate
	require.Zero(t, f.Rate(now))
	f.Add(false, now)
	require.Less(t, f.Rate(now), 0.3, "a single failure does not yield a high rate")
	for range 20 {
		f.Add(false, now)
	}
	offers := func(at time.Time) []Offer {
		return []Offer{
			{ID: "failing", ResponseTime: 20 * time.Millisecond, FailureRate: f.Rate(at)},
			{ID: "far", ResponseTime: 20 * time.Millisecond, ZonePenalty: 12 * time.Millisecond},
		}
	}
	best, _ := Select(Requirement{}, offers(now))
	require.Equal(t, topo.UpstreamID("far"), best.ID)
	best, _ = Select(Requirement{}, offers(now.Add(10*time.Second)))
	require.Equal(t, topo.UpstreamID("failing"), best.ID)
}

// The failure rate follows the outcomes of statements, so that an upstream that
// fails some of them is used less even if its answers are the fastest.
func TestFailureRateFollowsOutcomes(t *testing.T) {
	now := time.Unix(0, 0)
	var f FailureRate
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		f.Add(i%5 >= 2, now)
	}
	require.InDelta(t, 0.4, f.Rate(now), 0.05)
	require.False(t, f.Failing())
	for range 100 {
		f.Add(false, now)
	}
	require.True(t, f.Failing())
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		f.Add(true, now)
	}
	require.Less(t, f.Rate(now), 0.05)
	require.False(t, f.Failing())
}

// Guards against reads that go to a recovering upstream beyond its pace, and against
// reads that can go nowhere else.
func TestPacedDivertsReadsInProportion(t *testing.T) {
	chosen := func(others ...Offer) (n int) {
		for i := range 1000 {
			offers := append([]Offer{{ID: "cold", ResponseTime: 20 * time.Millisecond, Pace: 0.25}}, others...)
			if best, _ := Select(Requirement{}, Paced(offers, float64(i)/1000)); best.ID == "cold" {
				n++
			}
		}
		return n
	}
	require.Equal(t, 250, chosen(Offer{ID: "far", ResponseTime: 30 * time.Millisecond}))
	require.Equal(t, 1000, chosen(), "the only upstream")
	require.Equal(t, 1000, chosen(Offer{ID: "far", ResponseTime: 30 * time.Millisecond, Pace: 0.5}), "the other one has just started too")
	require.Equal(t, 1000, chosen(Offer{ID: "busy", QueueWait: time.Second}), "the other one is worse off")
}
