package logbudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A flood of failures does not affect lines about changes, and the dropped lines
// are counted.
func TestFloodOfFailuresKeepsChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(now)
	written := 0
	for range 10_000 {
		now = now.Add(100 * time.Microsecond)
		if b.Take(Failure, now) {
			written++
		}
	}
	require.InDelta(t, limits[Failure].burst+limits[Failure].perSecond, written, 2)
	require.True(t, b.Take(Change, now))
	require.Equal(t, map[Class]uint64{Failure: uint64(10_000 - written)}, b.TakeDropped())
	require.Empty(t, b.TakeDropped())
	require.True(t, b.Take(Failure, now.Add(time.Second)), "the budget refills")
}

func TestBackwardClockAddsNoTokens(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(now)
	for b.Take(Success, now) {
	}
	require.False(t, b.Take(Success, now.Add(-time.Hour)))
}
