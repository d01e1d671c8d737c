// Package logbudget limits the rate of log lines. Under overload it gives
// priority to lines that explain failures or changes of the process's view of
// the system.
//
// The package does no I/O; time is an argument.
package logbudget

import "time"

// Class is the importance of a line when lines must be dropped.
type Class int

// Classes, the most important first.
const (
	// Change: the process's view of the system has changed, or a part of the
	// process starts or stops.
	Change Class = iota
	// Failure: a request was refused, failed, or its effect is unknown.
	Failure
	// Success: a request was served.
	Success
	classes
)

// String returns the name of the class, for counters.
func (c Class) String() string { return [...]string{"change", "failure", "success"}[c] }

// limit is the rate of a class in lines per second and its burst in lines.
type limit struct{ perSecond, burst float64 }

var limits = [classes]limit{
	Change:  {perSecond: 200, burst: 1000},
	Failure: {perSecond: 50, burst: 200},
	Success: {perSecond: 2, burst: 4},
}

// Budget is a token bucket for each class. It is not safe for concurrent use.
type Budget struct {
	tokens  [classes]float64
	at      time.Time
	dropped [classes]uint64
}

// New returns a full budget.
func New(now time.Time) *Budget {
	b := &Budget{at: now}
	for c, l := range limits {
		b.tokens[c] = l.burst
	}
	return b
}

// Take reports whether a line of the class may be written, and takes a token or
// counts the line as dropped.
func (b *Budget) Take(c Class, now time.Time) bool {
	b.refill(now)
	if b.tokens[c] < 1 {
		b.dropped[c]++
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

// CountDropped counts a line as dropped that was admitted but could not be written.
func (b *Budget) CountDropped(c Class) { b.dropped[c]++ }

// TakeDropped returns the number of dropped lines of each class and resets the
// counts.
func (b *Budget) TakeDropped() (counts map[Class]uint64) {
	counts = map[Class]uint64{}
	for c, n := range b.dropped {
		if n > 0 {
			counts[Class(c)] = n
		}
	}
	b.dropped = [classes]uint64{}
	return counts
}
