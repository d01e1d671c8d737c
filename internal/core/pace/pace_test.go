package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	unqueued = 20 * time.Millisecond
	step     = 50 * time.Millisecond
)

// answers observes an answer each step for a time and returns the time after it.
func answers(p *Pace, took, length time.Duration, now time.Time) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(step) {
		p.Observe(took, unqueued, now)
	}
	return now
}

// Guards against a cost for an upstream that was never restarted, however slow.
func TestAnUpstreamWithoutARestartKeepsItsFullPace(t *testing.T) {
	var p Pace
	now := answers(&p, 9*unqueued, time.Minute, time.Unix(100, 0))
	p.Refused(now)
	require.Equal(t, 1.0, p.Value(now))
	require.False(t, p.HoldBack(time.Hour, now))
	_, changed := p.TakeChange(now)
	require.False(t, changed)
}

// Guards against a pace that grows while answers are slow, or that stays low after
// they are fast again.
func TestThePaceFollowsTheAnswers(t *testing.T) {
	var p Pace
	now := answers(&p, unqueued, 10*time.Second, time.Unix(100, 0))
	p.Restart(Started, 0, now)
	change, changed := p.TakeChange(now)
	require.True(t, changed)
	require.Equal(t, Change{Limited: true, Reason: Started, Since: now, Value: startValue}, change)
	now = answers(&p, 8*unqueued, 3*time.Second, now)
	require.Equal(t, minValue, p.Value(now))
	now = answers(&p, unqueued, 10*time.Second, now)
	require.Equal(t, 1.0, p.Value(now))
	change, changed = p.TakeChange(now)
	require.True(t, changed)
	require.False(t, change.Limited)
}

// Guards against an upstream that is limited for ever because it never regains its
// former speed.
func TestASlowerSpeedBecomesTheUsualOne(t *testing.T) {
	var p Pace
	now := answers(&p, unqueued, 10*time.Second, time.Unix(100, 0))
	p.Restart(Started, 0, now)
	now = answers(&p, 4*unqueued, 30*time.Second, now)
	require.Equal(t, 1.0, p.Value(now))
}

// Guards against instances that send little and together flood a database that says
// that it is slow, and against a hint that limits a database for ever.
func TestWithoutAnswersTheHintBoundsThePace(t *testing.T) {
	var p Pace
	now := time.Unix(100, 0)
	p.Restart(Started, time.Hour, now)
	require.LessOrEqual(t, p.Value(now.Add(10*time.Second)), maxHintedValue)
	p.Hint(5*time.Second, now.Add(10*time.Second))
	require.LessOrEqual(t, p.Value(now.Add(14*time.Second)), maxHintedValue)
	require.Equal(t, 1.0, p.Value(now.Add(time.Minute)))
}

// Guards against one burst of refusals that counts many times.
func TestABurstOfRefusalsDropsThePaceOnce(t *testing.T) {
	var p Pace
	now := time.Unix(100, 0)
	p.Restart(Recovered, 0, now)
	for range 20 {
		p.Refused(now)
	}
	require.Equal(t, startValue*dropFactor, p.Value(now))
}

// Guards against held work that is released faster than the pace allows.
func TestHeldWorkIsReleasedAtThePace(t *testing.T) {
	var p Pace
	now := time.Unix(100, 0)
	p.Restart(Promoted, 0, now)
	require.False(t, p.HoldBack(unqueued, now))
	require.True(t, p.HoldBack(unqueued, now.Add(9*unqueued)))
	require.False(t, p.HoldBack(unqueued, now.Add(10*unqueued)))
}

// Guards against a database that is limited for as long as it fails a few statements,
// though it serves the others at its usual speed.
func TestAFewFailuresDoNotLimitForEver(t *testing.T) {
	var p Pace
	now := time.Unix(100, 0)
	p.Restart(Recovered, 0, now)
	highest := 0.0
	for i := range 12_000 { // 100 statements a second for two minutes, of which 3 % fail
		now = now.Add(10 * time.Millisecond)
		if i%33 == 0 {
			p.Refused(now)
		} else {
			p.Observe(unqueued, unqueued, now)
		}
		highest = max(highest, p.Value(now))
	}
	require.Equal(t, 1.0, highest)
}
