package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestStepsOfAGracePeriod(t *testing.T) {
	s := NewSchedule(6 * time.Second)
	for _, c := range []struct {
		elapsed time.Duration
		moved   bool
		want    Step
	}{
		{0, false, Serve},
		{0, true, Leave},
		{2999 * time.Millisecond, false, Serve},
		{3 * time.Second, false, EndTransactions},
		{3 * time.Second, true, EndTransactions},
		{4999 * time.Millisecond, true, EndTransactions},
		{5 * time.Second, true, Abandon},
		{5500 * time.Millisecond, true, Close},
	} {
		require.Equal(t, c.want, s.StepAt(c.elapsed, c.moved), "%s after the signal", c.elapsed)
	}
}

func TestStepsFollowEachOtherWithinAnyGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(24*time.Hour)).Draw(t, "grace"))
		s := NewSchedule(grace)
		require.LessOrEqual(t, s.EndTransactions, grace/2)
		require.GreaterOrEqual(t, s.Abandon, grace*5/6, "a database may work until the last sixth")
		require.Less(t, s.Close, grace)
		latest := Serve
		for elapsed := time.Duration(0); elapsed <= grace; elapsed += max(grace/37, 1) {
			step := s.StepAt(elapsed, rapid.Bool().Draw(t, "moved") || latest >= Leave)
			require.GreaterOrEqual(t, step, latest)
			latest = step
		}
		require.Equal(t, Close, s.StepAt(grace, false))
	})
}
