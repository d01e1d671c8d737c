// Package logbudget decides which log lines are written when there are more
// than the log can take. What says why something failed or what a process
// believes is kept longest.
//
// The package is pure: time is an argument.
package logbudget

import "time"

// Class is how much a line is worth when lines must be left out.
type Class int

// Classes, the most valuable first.
const (
	// Change: what the process believes has changed, or a part of it starts or
	// stops.
	Change Class = iota
	// Failure: a request was refused, failed, or its effect is unknown.
	Failure
	// Success: a request was served.
	Success
	classes
)

// String names the class for counters.
func (c Class) String() string { return [...]string{"change", "failure", "success"}[c] }

// limit is a class's lines a second and how many it may save up.
type limit struct{ perSecond, burst float64 }

var limits = [classes]limit{
	Change:  {perSecond: 200, burst: 1000},
	Failure: {perSecond: 50, burst: 200},
	Success: {perSecond: 2, burst: 4},
}

// Budget says how many lines may be written. It is not safe for concurrent
// use.
type Budget struct {
	tokens  [classes]float64
	at      time.Time
	leftOut [classes]uint64
}

// New returns a full budget.
func New(now time.Time) *Budget {
	b := &Budget{at: now}
	for c, l := range limits {
		b.tokens[c] = l.burst
	}
	return b
}

// Take reports whether a line of the class may be written, and counts it.
func (b *Budget) Take(c Class, now time.Time) bool {
	b.refill(now)
	if b.tokens[c] < 1 {
		b.leftOut[c]++
		return false
	}
	b.tokens[c]--
	return true
}

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	for c, l := range limits {
		b.tokens[c] = min(b.tokens[c]+elapsed*l.perSecond, l.burst)
	}
}

// LeaveOut counts a line that was admitted and could not be written.
func (b *Budget) LeaveOut(c Class) { b.leftOut[c]++ }

// TakeLeftOut returns and forgets how many lines of each class were left out.
func (b *Budget) TakeLeftOut() (counts map[Class]uint64) {
	counts = map[Class]uint64{}
	for c, n := range b.leftOut {
		if n > 0 {
			counts[Class(c)] = n
		}
	}
	b.leftOut = [classes]uint64{}
	return counts
}
