// Package lease determines when an entry instance may acknowledge writes, and
// when the controller can rely on the instance no longer doing so.
//
// An instance holds one lease for all database groups. The holder counts the
// lease from the time it sent the renewal; the granter counts it from the
// arrival of that renewal, which is later. Therefore the granter only has to
// allow for the drift between the two clocks.
//
// The package does no I/O and reads no clock; callers pass in the time.
package lease

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Timing sets the time limits of a lease.
type Timing struct {
	// Duration is how long a lease lasts on the holder's clock.
	Duration time.Duration
	// Margin is how long before its expiry the holder stops using a lease. It
	// bounds the pause between checking the lease and sending an acknowledgement.
	Margin time.Duration
	// DriftPPM bounds the difference in rate between two clocks, in parts per
	// million.
	DriftPPM int64
}

// GranterDuration returns how long the granter waits for a lease to expire.
func (t Timing) GranterDuration() time.Duration {
	const million = 1_000_000
	return t.Duration + time.Duration(int64(t.Duration)/million*t.DriftPPM) + time.Nanosecond
}

// Holder is the lease of one entry instance. It is not safe for concurrent use.
type Holder struct {
	timing Timing
	until  time.Time
	closed bool
	// released holds the highest released term of each group. The lease never
	// covers a released term again.
	released map[topo.GroupID]topo.Term
}

// NewHolder returns a holder without a lease.
func NewHolder(timing Timing) *Holder {
	return &Holder{timing: timing, released: map[topo.GroupID]topo.Term{}}
}

// Renew extends the lease after the granter granted a renewal that was sent at
// sentAt. A reply to an older renewal has no effect.
func (h *Holder) Renew(sentAt time.Time) {
	until := sentAt.Add(h.timing.Duration - h.timing.Margin)
	if h.closed || !until.After(h.until) {
		return
	}
	h.until = until
}

// Valid reports whether the lease is open and has not expired.
func (h *Holder) Valid(now time.Time) bool {
	return !h.closed && now.Before(h.until)
}

// Until returns when the lease expires.
func (h *Holder) Until() time.Time { return h.until }

// Release releases the lease on all terms of the group up to t.
func (h *Holder) Release(g topo.GroupID, t topo.Term) {
	h.released[g] = max(h.released[g], t)
}

// Close ends the lease permanently.
func (h *Holder) Close() { h.closed = true }

// Covers reports whether the lease is valid and term t of the group has not
// been released.
func (h *Holder) Covers(g topo.GroupID, t topo.Term, now time.Time) bool {
	return h.Valid(now) && t > h.released[g]
}
