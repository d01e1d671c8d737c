package rotation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

type fakeSessions struct {
	open, closedAll, closedCurrent int
	// leave is how many sessions end at CloseAll.
	leave int
}

func (s *fakeSessions) CloseAll()     { s.closedAll++; s.open -= s.leave }
func (s *fakeSessions) CloseCurrent() { s.closedCurrent++ }
func (s *fakeSessions) Count() int    { return s.open }

func TestDrainWaitsForTheBalancerThenForSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSessions{open: 3, leave: 3}
		r := New(s)
		began := time.Now()
		go func() {
			time.Sleep(time.Second)
			require.Zero(t, s.closedAll, "callers would reconnect to this instance")
			r.RecordProbe(false)
			time.Sleep(300 * time.Millisecond)
			r.RecordProbe(false)
		}()
		r.Drain(6 * time.Second)
		require.Equal(t, 1, s.closedAll)
		require.InDelta(t, 1.3, time.Since(began).Seconds(), 0.1)
	})
}

func TestDrainEndsWithinTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSessions{open: 3, leave: 1}
		began := time.Now()
		New(s).Drain(6 * time.Second)
		require.InDelta(t, 4.5, time.Since(began).Seconds(), 0.1)
	})
}

func TestReadyAnswerResetsTheCount(t *testing.T) {
	r := New(&fakeSessions{})
	r.RecordProbe(false)
	r.RecordProbe(true)
	r.RecordProbe(false)
	require.False(t, r.OutOfRotation(time.Second))
	r.RecordProbe(false)
	require.True(t, r.OutOfRotation(0))
}

func TestIsolationClosesIdleSessionsOnce(t *testing.T) {
	s := &fakeSessions{open: 5}
	r := New(s)
	r.RecordProbe(false)
	r.RecordProbe(false)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	since := time.Unix(1000, 0)
	require.NoError(t, r.Run(ctx, func() (time.Time, bool) { return since, true }))
	require.Equal(t, 1, s.closedCurrent)
}
