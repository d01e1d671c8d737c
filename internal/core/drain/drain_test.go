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

func TestSessionsLeaveAtTheirStatementBoundaries(t *testing.T) {
	idle, open, failed := Boundary{}, Boundary{InTransaction: true}, Boundary{Failed: true}
	pending, notified := Boundary{Pending: true}, Boundary{Notified: true}
	for _, c := range []struct {
		step                                  Step
		idle, open, failed, pending, notified Action
	}{
		{Serve, Wait, Wait, Wait, Wait, Wait},
		{Leave, Notify, Wait, Wait, Wait, Wait},
		{EndTransactions, Notify, RollBack, Notify, Notify, Wait},
		{Abandon, Notify, RollBack, Notify, Notify, Wait},
		{Close, End, End, End, End, End},
	} {
		require.Equal(t, c.idle, c.step.AtBoundary(idle), "%s, idle", c.step)
		require.Equal(t, c.open, c.step.AtBoundary(open), "%s, in a transaction", c.step)
		require.Equal(t, c.failed, c.step.AtBoundary(failed), "%s, after a failed transaction", c.step)
		require.Equal(t, c.pending, c.step.AtBoundary(pending), "%s, with a statement in the buffer", c.step)
		require.Equal(t, c.notified, c.step.AtBoundary(notified), "%s, notified", c.step)
	}
}

func TestLastAnswersFitIntoWhatRemains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		remaining := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "remaining"))
		l := NewLastAnswers(remaining)
		require.LessOrEqual(t, 2*l.Wait+3*l.Answer, remaining*7/8)
		require.LessOrEqual(t, l.Wait, time.Second)
	})
}
