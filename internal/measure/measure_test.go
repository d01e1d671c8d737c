package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFitLine(t *testing.T) {
	l := FitLine([]float64{1, 2, 3}, []float64{12, 14, 16})
	require.InDelta(t, 10, l.Base, 1e-9)
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 30, l.At(10), 1e-9)
	require.Equal(t, Line{Base: 5}, FitLine([]float64{7, 7}, []float64{4, 6}))
	require.Equal(t, Line{}, FitLine(nil, nil))
}

// The parts of a range cover it without gap or overlap, for every fan-out.
func TestSplitRangeCoversTheRange(t *testing.T) {
	for n := 1; n < 30; n++ {
		for size := range 60 {
			next := 0
			for _, p := range splitRange(0, size, n) {
				require.Equal(t, next, p[0])
				require.Less(t, p[0], p[1])
				next = p[1]
			}
			require.Equal(t, size, next)
		}
	}
	require.Equal(t, 1, depth(0, 690, 690))
	require.Equal(t, 2, depth(0, 690, 26))
	require.Equal(t, 10, depth(0, 10, 1))
}

// Every column is measured, with and without upstreams.
func TestControlMeasuresTraffic(t *testing.T) {
	rows, err := RunControl(t.Context(), ControlOptions{
		Instances: []int{2}, Upstreams: []int{3}, UpstreamInstances: 2, Duration: 600 * time.Millisecond,
	})
	require.NoError(t, err)
	require.Len(t, rows, 2)
	for _, r := range rows {
		require.Positive(t, r.LeaderIn)
		require.Positive(t, r.LeaderOut)
		require.Positive(t, r.VoterIn)
		require.Positive(t, r.AgentIn)
		require.Positive(t, r.AgentOut)
		require.NotZero(t, r.JoinBytes)
	}
	require.Equal(t, 3, rows[1].Upstreams)
}

func TestTreeReachesAllInstances(t *testing.T) {
	rows, err := RunTree(t.Context(), []int{7}, []int{2, 0})
	require.NoError(t, err)
	require.Len(t, rows, 2)
	require.Equal(t, 7, rows[1].FanOut)
	require.Equal(t, 1, rows[1].Depth)
	require.Greater(t, rows[1].RootOut, rows[0].RootOut)
}
