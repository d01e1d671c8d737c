package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

func TestBudgetStaysAFractionOfTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		attempts, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "attempt") {
				attempts++
				b.Attempt()
			} else if b.Take() {
				retries++
			}
			require.LessOrEqual(t, float64(retries), budgetBurst+budgetRatio*float64(attempts)+1e-6)
		}
	})
}

func TestBackoffGrowsToItsLimit(t *testing.T) {
	require.Equal(t, 10*time.Millisecond, Backoff(1, 10*time.Millisecond, time.Second, 0))
	require.Equal(t, 40*time.Millisecond, Backoff(3, 10*time.Millisecond, time.Second, 0))
	require.Equal(t, time.Second, Backoff(99, 10*time.Millisecond, time.Second, 0))
	require.Equal(t, 500*time.Millisecond, Backoff(99, 10*time.Millisecond, time.Second, 1))
}

func TestCircuitLetsOneProbeThrough(t *testing.T) {
	now := time.Unix(0, 0)
	var c CircuitBreaker
	for range circuitThreshold {
		require.True(t, c.Allow(now))
		c.Failure(now, 0)
	}
	require.False(t, c.Allow(now))
	require.True(t, c.Open(now))
	now = now.Add(circuitOpenBase)
	require.True(t, c.Allow(now))
	require.False(t, c.Allow(now), "only one probe at a time")
	c.Success()
	require.True(t, c.Allow(now))
}
