package admission

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// expired reports whether a ticket can no longer end within its target.
func (s *Scheduler) expired(now time.Time, t *Ticket) bool {
	if s.options.Disabled.Expiry || t.Request.InTransaction {
		return false
	}
	return now.After(t.Deadline())
}

// checkAdmission decides whether an arriving request may wait. It returns true
// with the outcome if the request is refused.
func (s *Scheduler) checkAdmission(now time.Time, t *Ticket) (outcome.Outcome, bool) {
	c := t.service
	if t.Request.InTransaction && !s.options.Disabled.Transactions {
		return outcome.Outcome{}, false
	}
	if s.expired(now, t) {
		return s.overloaded(now, c, reasonExpired), true
	}
	budget := t.Deadline().Sub(now)
	if !s.full(now, c, budget) {
		return outcome.Outcome{}, false
	}
	if !s.displace(now, t, budget) {
		return s.overloaded(now, c, s.fullReason(c)), true
	}
	return outcome.Outcome{}, false
}

// full reports whether the service's queue is too long for another request that
// must start within budget.
func (s *Scheduler) full(now time.Time, c *serviceState, budget time.Duration) bool {
	if c.queue.size >= s.options.MaxQueue {
		return true
	}
	if s.options.Disabled.Targets {
		return false
	}
	return s.expectedWait(now, c, c.queue.size) > budget
}

// displace refuses the newest request of the caller with the longest queue, if
// that queue is longer than the queue of the arriving request's caller would be.
func (s *Scheduler) displace(now time.Time, t *Ticket, budget time.Duration) bool {
	c := t.service
	own := c.queue.queuedBy(s.callerOf(t))
	victim, longest := c.queue.newestOfLongest()
	if longest <= own+1 {
		return false
	}
	ahead := min(c.queue.size, len(c.queue.callers)*(own+1))
	if !s.options.Disabled.Targets && s.expectedWait(now, c, ahead) > budget {
		return false
	}
	s.remove(victim)
	s.refuse(victim, s.overloaded(now, c, reasonLongerQueue))
	return true
}

func (s *Scheduler) fullReason(c *serviceState) string {
	if c.queue.size >= s.options.MaxQueue {
		return reasonQueueFull
	}
	return reasonExpectedWait
}

// overloaded returns the outcome for a refused request of the service.
func (s *Scheduler) overloaded(now time.Time, c *serviceState, reason string) outcome.Outcome {
	wait := s.expectedWait(now, c, c.queue.size)
	return outcome.RefusedWithRetry(outcome.CodeOverloaded, reason, s.retryAfter(now, c, wait))
}
