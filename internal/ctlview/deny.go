package ctlview

import "github.com/cicadacove/cicadacove/internal/core/outcome"

// Deny returns the outcome of a request that the configuration doesn't allow: o, or one
// that isn't final if a later configuration may allow it.
func Deny(c Control, o outcome.Outcome) outcome.Outcome {
	if c.ConfigCurrent() {
		return o
	}
	return outcome.ConfigUnconfirmed()
}
