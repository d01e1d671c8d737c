package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestVoterSchedule(t *testing.T) {
	s := NewVoterSchedule(6*time.Second, 800*time.Millisecond)
	require.Equal(t, VoterSchedule{
		Transfer: time.Second, Notice: 1200 * time.Millisecond, Requests: 4 * time.Second, Peers: 5 * time.Second,
		Answer: 250 * time.Millisecond,
	}, s)
}

// Guards against a part that has no time left since an earlier one used it up, and
// against a stop that outlasts the grace period.
func TestPartsOfAVotersStopFitIntoTheGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(time.Hour)).Draw(t, "grace"))
		heartbeat := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "heartbeat"))
		s := NewVoterSchedule(grace, heartbeat)
		require.Positive(t, s.Transfer)
		require.Positive(t, s.Notice)
		require.Positive(t, s.Answer)
		require.GreaterOrEqual(t, s.Requests-max(s.Transfer, s.Notice), grace/3)
		require.GreaterOrEqual(t, s.Peers-(s.Requests+s.Answer), grace/9)
		require.LessOrEqual(t, s.Peers+s.Answer, grace*7/8)
	})
}
