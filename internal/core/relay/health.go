package relay

import "time"

const (
	// silenceLimit is how long a holder may leave requests unanswered, without any answer
	// to others, before new ones go to the next holder. Statements take far less time, and
	// a holder refuses at once what would wait for too long.
	silenceLimit = 250 * time.Millisecond
	// failureBackoff is how long a holder that could not be reached gets no requests.
	failureBackoff = 500 * time.Millisecond
	// leavingBackoff is the same for a holder that drains. It covers the rest of its drain.
	leavingBackoff = 3 * time.Second
)

// Health tracks whether a holder answers. The zero value is a holder that is assumed to.
type Health struct {
	pending int
	// waitingSince is when the holder last answered, or when the first pending request
	// was sent if that is later.
	waitingSince time.Time
	avoidUntil   time.Time
}

// Sent records a request. Answered, Lost or Unreachable must follow.
func (h *Health) Sent(now time.Time) {
	if h.pending == 0 {
		h.waitingSince = now
	}
	h.pending++
}

// Answered records an answer.
func (h *Health) Answered(now time.Time) {
	h.pending--
	h.waitingSince = now
	h.avoidUntil = time.Time{}
}

// Lost records that a request was given up without an answer.
func (h *Health) Lost(now time.Time) {
	h.pending--
	if now.Sub(h.waitingSince) >= silenceLimit {
		h.avoidUntil = now.Add(failureBackoff)
	}
}

// Unreachable records that a request could not be sent, or that the connection broke.
func (h *Health) Unreachable(now time.Time) {
	h.pending--
	h.avoidUntil = now.Add(failureBackoff)
}

// Leaving records that the holder refused a request since it drains.
func (h *Health) Leaving(now time.Time) {
	h.pending--
	h.avoidUntil = now.Add(leavingBackoff)
}

// Usable reports whether the holder may get another request now.
func (h *Health) Usable(now time.Time) bool {
	if now.Before(h.avoidUntil) {
		return false
	}
	return h.pending == 0 || now.Sub(h.waitingSince) < silenceLimit
}
