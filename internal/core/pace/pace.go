// Package pace decides how much of its usual work an instance sends to a database
// that has just started or recovered. The pace is derived from how the database
// responds. Each instance limits itself to a fraction of its own usual share, so
// that the sum over all instances is bounded without messages between them.
//
// The package does no I/O and reads no clock.
package pace

import (
	"math"
	"time"
)

const (
	// startValue is the pace after a restart: a database that is 8 times as slow
	// as usual and was half used is then at 0.4 of its capacity.
	startValue = 0.1
	// minValue is the lowest pace. Some work must remain to observe the database.
	minValue = 0.05
	// doublingTime is the time in which the pace doubles while answers arrive at
	// their usual latency.
	doublingTime = time.Second
	// blindDoublingTime replaces doublingTime while there is no answer to judge by,
	// for instances that send little. With 4 s instead of 10 s, 690 instances sent
	// enough to slow a database that was 8 times slow further: callers got less.
	blindDoublingTime = 10 * time.Second
	// maxHintedValue bounds growth without answers while the database says that it
	// is still slow.
	maxHintedValue = 0.25
	// evidenceAge is how long an answer counts as evidence.
	evidenceAge = time.Second

	// MaxHoldShare is the fraction of its target for which work of the least urgent
	// rank waits for the pace alone. It is then sent, since the pace alone is no
	// reason to refuse it.
	MaxHoldShare = 0.3

	// slowFactor is the multiple of the usual latency above which the pace drops.
	slowFactor = 1.6
	// dropFactor is applied to the pace at a drop; dropInterval is the time between
	// two drops, so that one burst of failures counts once.
	dropFactor   = 0.6
	dropInterval = 100 * time.Millisecond

	// failingShare is the recent share of failures above which the pace drops. With a
	// drop for each failure, a database that fails 3 % of 100 statements a second never
	// regained its full pace, since the pace only doubles each second.
	failingShare = 0.2

	// recentWeight is the weight of one answer in the recent latency and of one outcome in
	// the recent share of failures. Service times
	// vary by a factor of 2, so a single answer must not count as slow.
	recentWeight = 0.15
	// usualTimeConstant is the time constant of the usual latency: a database that
	// never regains its former speed counts as usual after a few of them.
	usualTimeConstant = 8 * time.Second
	// maxRatio bounds what one answer adds to a mean.
	maxRatio = 20.0
	// maxHint bounds the time for which the database's own hint is believed.
	maxHint = 30 * time.Second
)

// Reason is why an upstream's pace was restarted.
type Reason string

// Reasons.
const (
	Started   Reason = "started"   // a new upstream or a new incarnation
	Promoted  Reason = "promoted"  // it has become the primary
	Recovered Reason = "recovered" // it can be reached again
	Failed    Reason = "failed"    // it failed most statements
)

// Change is a change of the state of an upstream's pace.
type Change struct {
	// Limited means that the pace is below 1 from now on.
	Limited bool
	Reason  Reason
	// Since is the time of the restart.
	Since time.Time
	Value float64
}

// Pace is the pace of one upstream at one instance. The zero value is an upstream
// at its usual speed.
type Pace struct {
	limited bool
	value   float64
	reason  Reason
	since   time.Time
	// grownAt is the time up to which growth is included in value.
	grownAt   time.Time
	droppedAt time.Time
	// hintedUntil is the time until which the database says that it is slow.
	hintedUntil time.Time

	// recent and usual are means of the ratio of a statement's time to its time
	// without queueing.
	recent, usual float64
	observedAt    time.Time
	// failures is the recent share of statements that were refused or failed.
	failures float64

	// releaseAt is when the next held statement may be sent.
	releaseAt time.Time
	changed   bool
}

// Restart sets the pace to its start. hint is the time for which the database says
// that it remains slow, zero if it says nothing.
func (p *Pace) Restart(r Reason, hint time.Duration, now time.Time) {
	if !p.limited {
		p.since, p.changed = now, true
	}
	p.limited, p.reason = true, r
	p.value, p.grownAt = startValue, now
	p.failures = failingShare // until an answer shows otherwise, one failure is enough for a drop
	p.recent, p.hintedUntil = 0, now.Add(min(max(hint, 0), maxHint))
}

// Hint shortens the time for which the database remains slow. It never extends it,
// since a hint may arrive late.
func (p *Pace) Hint(left time.Duration, now time.Time) {
	if until := now.Add(left); p.limited && until.Before(p.hintedUntil) {
		p.hintedUntil = until
	}
}

// Value returns the fraction of its usual share, from minValue to 1, that this
// instance may send to the upstream.
func (p *Pace) Value(now time.Time) float64 {
	if !p.limited {
		return 1
	}
	p.grow(now)
	if p.value >= 1 {
		p.limited, p.changed = false, true
		return 1
	}
	return p.value
}

// grow includes the growth up to now.
func (p *Pace) grow(now time.Time) {
	elapsed := now.Sub(p.grownAt)
	if elapsed <= 0 {
		return
	}
	p.grownAt = now
	blind := now.Sub(p.observedAt) > evidenceAge
	switch {
	case !blind && p.slow():
	case !blind:
		p.value *= math.Exp2(float64(elapsed) / float64(doublingTime))
	case now.Before(p.hintedUntil):
		p.value = max(p.value, min(p.value*math.Exp2(float64(elapsed)/float64(blindDoublingTime)), maxHintedValue))
	default:
		p.value *= math.Exp2(float64(elapsed) / float64(blindDoublingTime))
	}
}

func (p *Pace) slow() bool { return p.recent > slowFactor*max(p.usual, 1) }

// Observe records the time of an answer whose statement takes unqueued without
// queueing at an upstream of usual speed.
func (p *Pace) Observe(took, unqueued time.Duration, now time.Time) {
	if unqueued <= 0 {
		return
	}
	ratio := min(float64(took)/float64(unqueued), maxRatio)
	elapsed := now.Sub(p.observedAt)
	switch {
	case p.usual == 0 && p.limited:
		p.usual = 1 // the first answers of a cold database are not its usual ones
	case p.usual == 0:
		p.usual = ratio
	case !now.Before(p.hintedUntil):
		weight := 1 - math.Exp(-float64(min(max(elapsed, 0), evidenceAge))/float64(usualTimeConstant))
		p.usual += weight * (ratio - p.usual)
	}
	if !p.limited {
		p.observedAt = now
		return
	}
	p.grow(now)
	p.observedAt = now
	if p.recent == 0 {
		p.recent = max(p.usual, 1)
	}
	p.recent += recentWeight * (ratio - p.recent)
	p.failures -= recentWeight * p.failures
	if p.slow() {
		p.drop(now)
	}
}

// Refused records that the upstream refused or failed a statement.
func (p *Pace) Refused(now time.Time) {
	if !p.limited {
		return
	}
	p.grow(now)
	p.failures += recentWeight * (1 - p.failures)
	if p.failures > failingShare {
		p.drop(now)
	}
}

func (p *Pace) drop(now time.Time) {
	if now.Sub(p.droppedAt) < dropInterval {
		return
	}
	p.droppedAt = now
	p.value = max(p.value*dropFactor, minValue)
}

// TakeChange returns the change of state since the last call, if there is one.
func (p *Pace) TakeChange(now time.Time) (Change, bool) {
	value := p.Value(now)
	if !p.changed {
		return Change{}, false
	}
	p.changed = false
	return Change{Limited: p.limited, Reason: p.reason, Since: p.since, Value: value}, true
}

// HoldBack reports whether work of the least urgent rank must wait. interval is the time between
// two statements if the instance used its whole share of the upstream's slots.
func (p *Pace) HoldBack(interval time.Duration, now time.Time) bool {
	value := p.Value(now)
	if value >= 1 {
		return false
	}
	if now.Before(p.releaseAt) {
		return true
	}
	p.releaseAt = now.Add(time.Duration(float64(interval) / value))
	return false
}
