package routing

import (
	"math"
	"time"
)

const (
	// failureMemory is the time constant with which outcomes are forgotten. An
	// upstream that is avoided for its failures is tried again by then.
	failureMemory = time.Second
	// failurePrior is the number of successes assumed beforehand, so that a
	// single failure does not count as a rate.
	failurePrior = 3.0
	// maxFailureRate keeps the expected cost of an upstream finite.
	maxFailureRate = 0.95
	// failingAbove and servingBelow are the rates at which an upstream begins
	// and ceases to count as failing.
	failingAbove = 0.5
	servingBelow = 0.1
	// repeatCost is what a failed attempt costs beside its answer time: the way
	// to another upstream and a new wait there.
	repeatCost = 50 * time.Millisecond
)

// FailureRate is the share of an upstream's latest statements that it did not
// serve, judged by their outcomes: what an upstream says of its health may be
// wrong either way. The zero value knows of no statement.
type FailureRate struct {
	served, failed float64
	at             time.Time
	failing        bool
}

// Add counts the outcome of one statement. changed tells that Failing has
// changed with it.
func (f *FailureRate) Add(served bool, now time.Time) (changed bool) {
	f.decay(now)
	if served {
		f.served++
	} else {
		f.failed++
	}
	before := f.failing
	switch rate := f.Rate(now); {
	case rate > failingAbove:
		f.failing = true
	case rate < servingBelow:
		f.failing = false
	}
	return f.failing != before
}

// Failing reports whether the upstream fails most statements. It is told in
// logs; decisions go by the rate.
func (f *FailureRate) Failing() bool { return f.failing }

func (f *FailureRate) decay(now time.Time) {
	if elapsed := now.Sub(f.at); elapsed > 0 {
		kept := math.Exp(-float64(elapsed) / float64(failureMemory))
		f.served *= kept
		f.failed *= kept
		f.at = now
	}
}

// Rate returns the share of failures, from 0 to below 1.
func (f *FailureRate) Rate(now time.Time) float64 {
	f.decay(now)
	return min(f.failed/(f.served+f.failed+failurePrior), maxFailureRate)
}

// withFailures is the expected cost of a statement whose attempts fail at a
// rate and are repeated.
func withFailures(cost time.Duration, rate float64) time.Duration {
	repeats := rate / (1 - rate)
	return cost + time.Duration(repeats*float64(cost+repeatCost))
}
