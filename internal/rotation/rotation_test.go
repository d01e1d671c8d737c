package rotation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/drain"
)

type fakeSessions struct {
	open, closedCurrent int
	// leave is how many sessions end at each step.
	leave map[drain.Step]int
	steps []drain.Step
}

func (s *fakeSessions) Advance(step drain.Step) {
	s.steps = append(s.steps, step)
	s.open -= s.leave[step]
}
func (s *fakeSessions) CloseCurrent() { s.closedCurrent++ }
func (s *fakeSessions) Count() int    { return s.open }

func TestDrainWaitsForTheBalancerThenForSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSessions{open: 3, leave: map[drain.Step]int{drain.Leave: 3}}
		r := New(s)
		began := time.Now()
		go func() {
			time.Sleep(time.Second)
			require.Empty(t, s.steps, "callers would reconnect to this instance")
			r.RecordProbe(false)
			time.Sleep(300 * time.Millisecond)
			r.RecordProbe(false)
		}()
		r.Drain(drain.NewSchedule(6 * time.Second))
		require.Equal(t, []drain.Step{drain.Leave}, s.steps)
		require.InDelta(t, 1.3, time.Since(began).Seconds(), 0.1)
	})
}

func TestDrainEndsWithinTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSessions{open: 3, leave: map[drain.Step]int{drain.Leave: 1}}
		began := time.Now()
		New(s).Drain(drain.NewSchedule(6 * time.Second))
		require.Equal(t, []drain.Step{drain.Leave, drain.EndTransactions, drain.Abandon, drain.Close}, s.steps)
		require.InDelta(t, 5.5, time.Since(began).Seconds(), 0.1)
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
