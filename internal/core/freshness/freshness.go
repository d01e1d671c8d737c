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

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

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

// Trust is what an instance may do by its configuration.
type Trust struct {
	// MayDeny means that no later configuration has been in force for long, so that the
	// instance may refuse for good what the configuration doesn't allow.
	MayDeny bool
	// MayServe means that the instance may serve what the configuration allows.
	MayServe bool
}

// Trust returns what the instance may do if a configuration counts as the latest up to the
// age of limit. An instance that is cut off together with its availability zone goes on
// serving; one that another instance has overtaken doesn't, since callers are served by
// the latest configuration there.
func (s State) Trust(limit time.Duration) Trust {
	current := s.Confirmed && s.Age < limit
	return Trust{MayDeny: current, MayServe: s.Confirmed && (current || !s.Overtaken)}
}

// Deny returns the outcome of a request that the configuration doesn't allow: o, or one
// that isn't final if a later configuration may allow it.
func (t Trust) Deny(o outcome.Outcome) outcome.Outcome {
	if t.MayDeny {
		return o
	}
	return outcome.ConfigUnconfirmed()
}

// marginDivisor determines the part of the time within which a configuration must be in
// force that is left for the answer to the caller and for the drift of clocks.
const marginDivisor = 8

// Limit returns the age up to which a configuration counts as the latest if one must be
// in force within applyTime of its acknowledgement.
func Limit(applyTime time.Duration) time.Duration { return applyTime - applyTime/marginDivisor }
