package contract

import "time"

// day is 24 hours, since the time until the end of a contract is elapsed time.
const day = 24 * time.Hour

// Times before the end of a contract at which a warning is sent to its team.
const (
	WarnFirst  = 30 * day
	WarnSecond = 7 * day
	WarnLast   = 1 * day
)

// Phase is the phase of a contract relative to its end.
type Phase string

// Phases of a contract. New work starts in every phase except PhaseEnded. Work
// that is running when the contract ends is allowed to complete.
const (
	PhaseRunning  Phase = "running"
	PhaseEnding30 Phase = "ends within 30 days"
	PhaseEnding7  Phase = "ends within 7 days"
	PhaseEnding1  Phase = "ends within 1 day"
	PhaseEnded    Phase = "ended"
)

// Warns reports whether the team must be warned in this phase.
func (p Phase) Warns() bool { return p != PhaseRunning }

// PhaseAt returns the phase of the contract at time now.
func (c *Contract) PhaseAt(now time.Time) Phase {
	left := c.EndsAt.Sub(now)
	switch {
	case left <= 0:
		return PhaseEnded
	case left <= WarnLast:
		return PhaseEnding1
	case left <= WarnSecond:
		return PhaseEnding7
	case left <= WarnFirst:
		return PhaseEnding30
	}
	return PhaseRunning
}

// NextPhaseAt returns the time of the next change of the phase. ok is false if
// the contract has ended.
func (c *Contract) NextPhaseAt(now time.Time) (at time.Time, ok bool) {
	for _, before := range []time.Duration{WarnFirst, WarnSecond, WarnLast, 0} {
		at = c.EndsAt.Add(-before)
		if at.After(now) {
			return at, true
		}
	}
	return time.Time{}, false
}
