// Package retry limits the load caused by failures with a retry budget,
// exponential backoff and a circuit breaker for each upstream.
//
// The package does no I/O and reads no clock; callers pass in the time.
package retry

import (
	"time"
)

const (
	// budgetRatio is the number of retries that each first attempt adds to the
	// budget.
	budgetRatio = 0.1
	// budgetBurst is the maximum number of retries in the budget.
	budgetBurst = 20
)

// Budget limits retries to a fraction of the load, so that retries cannot
// multiply it.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: budgetBurst} }

// Attempt records a first attempt.
func (b *Budget) Attempt() { b.tokens = min(b.tokens+budgetRatio, budgetBurst) }

// Take reports whether a retry is allowed now, and deducts it from the budget
// if so.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before attempt n, counted from 1. The delay is
// base, doubled for each further attempt up to limit and reduced by up to half
// by jitter, a number in [0, 1).
func Backoff(n int, base, limit time.Duration, jitter float64) time.Duration {
	d := base
	for i := 1; i < n && d < limit; i++ {
		d *= 2
	}
	d = min(d, limit)
	return d - time.Duration(float64(d)/2*jitter)
}

const (
	// circuitThreshold is the number of consecutive failures that open a circuit.
	circuitThreshold = 3
	// circuitOpenBase and circuitOpenMax are the base and the limit of the backoff
	// that determines how long a circuit stays open.
	circuitOpenBase = 50 * time.Millisecond
	circuitOpenMax  = time.Second
)

// CircuitBreaker blocks requests to a failing upstream.
// After the backoff, it lets one request through as a probe.
type CircuitBreaker struct {
	failures int
	openedAt time.Time
	openFor  time.Duration
	probing  bool
}

// Allow reports whether a request may be sent to the upstream now. If it
// returns true, the caller must call Success or Failure afterwards.
func (c *CircuitBreaker) Allow(now time.Time) bool {
	if c.failures < circuitThreshold {
		return true
	}
	if c.probing || now.Sub(c.openedAt) < c.openFor {
		return false
	}
	c.probing = true
	return true
}

// Open reports whether Allow would reject a request now.
func (c *CircuitBreaker) Open(now time.Time) bool {
	return c.failures >= circuitThreshold && (c.probing || now.Sub(c.openedAt) < c.openFor)
}

// Success records that the upstream replied.
func (c *CircuitBreaker) Success() { *c = CircuitBreaker{} }

// Failure records that the upstream did not reply.
func (c *CircuitBreaker) Failure(now time.Time, jitter float64) {
	c.failures++
	c.probing = false
	if c.failures >= circuitThreshold {
		c.openedAt = now
		c.openFor = Backoff(c.failures-circuitThreshold+1, circuitOpenBase, circuitOpenMax, jitter)
	}
}
