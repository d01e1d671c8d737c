package routing

import (
	"math"
	"time"
)

const (
	// failureTimeConstant is the time constant of the decay of past outcomes.
	// After it, an upstream that is avoided for its failures is tried again.
	failureTimeConstant = time.Second
	// priorSuccesses is the number of successes assumed in advance, so that a
	// single failure does not yield a high rate.
	priorSuccesses = 3.0
	// maxFailureRate keeps the expected cost of an upstream finite.
	maxFailureRate = 0.95
	// failingThreshold and servingThreshold are the failure rates above and
	// below which an upstream starts and stops counting as failing.
	failingThreshold = 0.5
	servingThreshold = 0.1
	// retryOverhead is the cost of a failed attempt beyond its response time:
	// the round trip to another upstream and the wait for a slot there.
	retryOverhead = 50 * time.Millisecond
)

// FailureRate is the share of an upstream's recent statements that it did not
// serve. It is measured by their outcomes, because the health that an upstream
// reports may be wrong either way. The zero value is ready to use.
type FailureRate struct {
	served, failed float64
	at             time.Time
	failing        bool
}

// Add records the outcome of one statement. changed reports whether Failing
// has changed.
func (f *FailureRate) Add(served bool, now time.Time) (changed bool) {
	f.decay(now)
	if served {
		f.served++
	} else {
		f.failed++
	}
	before := f.failing
	switch rate := f.Rate(now); {
	case rate > failingThreshold:
		f.failing = true
	case rate < servingThreshold:
		f.failing = false
	}
	return f.failing != before
}

// Failing reports whether the upstream fails most statements. It is for logs;
// decisions use the rate.
func (f *FailureRate) Failing() bool { return f.failing }

func (f *FailureRate) decay(now time.Time) {
	if elapsed := now.Sub(f.at); elapsed > 0 {
		kept := math.Exp(-float64(elapsed) / float64(failureTimeConstant))
		f.served *= kept
		f.failed *= kept
		f.at = now
	}
}

// Rate returns the share of failures, from 0 to below 1.
func (f *FailureRate) Rate(now time.Time) float64 {
	f.decay(now)
	return min(f.failed/(f.served+f.failed+priorSuccesses), maxFailureRate)
}

// withRetries returns the expected cost of a statement whose attempts fail at
// the given rate and are retried.
func withRetries(cost time.Duration, rate float64) time.Duration {
	retries := rate / (1 - rate)
	return cost + time.Duration(retries*float64(cost+retryOverhead))
}
