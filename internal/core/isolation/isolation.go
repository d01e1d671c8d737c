// Package isolation determines whether an entry instance that cannot renew its
// lease is isolated from the other instances, or whether the control service is
// unavailable to all of them.
//
// An isolated instance should redirect its callers to another instance. While
// the control service is unavailable to all, no other instance would serve them
// better.
//
// The package does no I/O and reads no clock; callers pass in the time.
package isolation

import (
	"slices"
	"time"
)

const (
	// GracePeriod is how long renewals must fail before an instance requests reports
	// from the others.
	GracePeriod = 600 * time.Millisecond
	// minRenewalLead is the minimum time by which another instance's latest
	// renewal must follow this instance's own, as evidence that the control service
	// still serves others.
	minRenewalLead = 300 * time.Millisecond
)

// Report is the result of querying another instance for the state of its lease.
type Report struct {
	// Reached reports that the instance replied.
	Reached bool
	// Renewed reports that the instance holds a lease, which it renewed RenewedAgo
	// ago.
	Renewed    bool
	RenewedAgo time.Duration
}

// Isolated reports whether this instance, whose latest renewal was renewedAgo
// ago, is isolated: at least one other instance has renewed its lease since, or
// cannot be reached and so may have renewed it. Several instances may be
// isolated together, so replies from instances that have not renewed either
// prove nothing. Without other instances there are no reports, and the
// result is false.
func Isolated(renewedAgo time.Duration, reports []Report) bool {
	if renewedAgo < GracePeriod {
		return false
	}
	unreached := func(r Report) bool { return !r.Reached }
	return Overtaken(renewedAgo, reports) || slices.ContainsFunc(reports, unreached)
}

// Overtaken reports whether another instance, which can be reached, has renewed its lease
// since this one did.
func Overtaken(renewedAgo time.Duration, reports []Report) bool {
	return slices.ContainsFunc(reports, func(r Report) bool {
		return r.Reached && r.Renewed && r.RenewedAgo+minRenewalLead < renewedAgo
	})
}
