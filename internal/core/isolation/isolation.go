// Package isolation decides whether an entry instance that cannot renew its
// lease is cut off from the rest, or whether control is down for all.
//
// An instance that is cut off should send its callers elsewhere. While control
// is down for all, no other instance serves them better.
//
// The package is pure: time is an argument.
package isolation

import "time"

const (
	// Patience is how long renewals may fail before the question is asked.
	Patience = 600 * time.Millisecond
	// lead is by how much another instance's renewal must be later than the
	// own one to show that control serves others.
	lead = 300 * time.Millisecond
)

// Report is what came of asking another instance.
type Report struct {
	// Reached says that it answered.
	Reached bool
	// Renewed says that it holds a lease, which it renewed RenewedAgo ago.
	Renewed    bool
	RenewedAgo time.Duration
}

// CutOff reports whether this instance, whose latest renewal lies renewedAgo
// back, is cut off: another one has renewed its lease since, or cannot be
// reached and so may have. Several instances may be cut off together; those
// that answer then tell nothing. An instance that knows no other one is not
// cut off.
func CutOff(renewedAgo time.Duration, reports []Report) bool {
	if renewedAgo < Patience {
		return false
	}
	for _, r := range reports {
		if !r.Reached || r.Renewed && r.RenewedAgo+lead < renewedAgo {
			return true
		}
	}
	return false
}
