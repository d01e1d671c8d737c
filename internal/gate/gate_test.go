package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

var booking = contract.Service{Name: "booking", Rank: 1, Target: 100 * time.Millisecond, FloorPercent: 50}

func TestAcquireWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Slots: 1})
		first, end := g.Acquire(t.Context(), Request{Service: booking, Caller: "a"})
		require.NotNil(t, first)
		require.Empty(t, end.Kind)
		go func() {
			time.Sleep(10 * time.Millisecond)
			first.Release()
		}()
		start := time.Now()
		second, _ := g.Acquire(t.Context(), Request{Service: booking, Caller: "b"})
		require.NotNil(t, second)
		require.Equal(t, 10*time.Millisecond, time.Since(start))
		require.Equal(t, 1, g.Load().InUse)
		second.Release()
		second.Release()
		require.Zero(t, g.Load().InUse)
	})
}

func TestAcquireIsRefusedWithinTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Slots: 1})
		held, _ := g.Acquire(t.Context(), Request{Service: booking})
		start := time.Now()
		p, end := g.Acquire(t.Context(), Request{Service: booking})
		require.Nil(t, p)
		require.Equal(t, outcome.NotRun, end.Kind)
		require.Equal(t, outcome.CodeOverloaded, end.Code)
		require.Positive(t, end.RetryAfter)
		require.LessOrEqual(t, time.Since(start), booking.Target)
		held.Release()
	})
}

func TestAcquireEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Slots: 1})
		held, _ := g.Acquire(t.Context(), Request{Service: booking})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		p, end := g.Acquire(ctx, Request{Service: booking})
		require.Nil(t, p)
		require.Equal(t, outcome.CodeTimeout, end.Code)
		require.Zero(t, g.Load().Queued[1])
		held.Release()
	})
}

func TestSetSlotsStartsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{})
		go func() {
			time.Sleep(time.Millisecond)
			g.SetSlots(1)
		}()
		p, _ := g.Acquire(t.Context(), Request{Service: booking})
		require.NotNil(t, p)
		p.Release()
	})
}

func TestIdlePermitIsReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Slots: 1, IdleLimit: 20 * time.Millisecond})
		p, _ := g.Acquire(t.Context(), Request{Service: booking})
		p.MarkIdle()
		time.Sleep(19 * time.Millisecond)
		require.True(t, p.MarkBusy())
		p.MarkIdle()
		time.Sleep(21 * time.Millisecond)
		require.False(t, p.MarkBusy())
		require.Zero(t, g.Load().InUse)
		p.Release()
		require.Zero(t, g.Load().InUse)
	})
}
