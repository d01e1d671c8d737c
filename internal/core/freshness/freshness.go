// Package freshness decides what an entry instance may do by the configuration that it
// holds, which a later one may have replaced.
//
// An instance learns from control alone that its configuration is the latest. While
// control can't be reached, a later configuration may come into force, so that a refusal
// by the one that it holds may be wrong. A caller must not get a final refusal then, but
// one that lets it go to another instance.
//
// The package does no I/O and reads no clock; callers pass in the time.
package freshness

import "time"

// State is what an instance knows about its configuration.
type State struct {
	// Age is the time since the request was sent whose answer last showed that the
	// configuration was the latest. Confirmed is false if none has.
	Age       time.Duration
	Confirmed bool
	// Overtaken reports that another instance, which can be reached, has been in contact
	// with control since.
	Overtaken bool
}

// Current reports whether no later configuration has been in force for the limit, so that
// the instance may refuse what the configuration doesn't allow.
func (s State) Current(limit time.Duration) bool { return s.Confirmed && s.Age < limit }

// Usable reports whether the instance may serve what the configuration allows. An
// instance that is cut off together with its availability zone goes on serving; one that
// another instance has overtaken doesn't, since callers are served by the latest
// configuration there.
func (s State) Usable(limit time.Duration) bool {
	return s.Confirmed && (s.Age < limit || !s.Overtaken)
}

// marginDivisor determines the part of the time within which a configuration must be in
// force that is left for the answer to the caller and for the drift of clocks.
const marginDivisor = 8

// Limit returns the age up to which a configuration counts as the latest if one must be
// in force within applyTime of its acknowledgement.
func Limit(applyTime time.Duration) time.Duration { return applyTime - applyTime/marginDivisor }
