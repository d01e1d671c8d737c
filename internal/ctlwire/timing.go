// Package ctlwire holds what agents and controllers say to each other: the
// messages and the times that both sides must agree on.
package ctlwire

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/lease"
)

// Timing holds all times of leases, detection and failover. The zero value of
// a field means its default.
type Timing struct {
	// Lease is how long a lease lasts.
	Lease time.Duration
	// Margin ends the use of a lease before its time.
	Margin time.Duration
	// DriftPPM bounds the difference in speed of two clocks.
	DriftPPM int64
	// Renew is the interval between renewals of a lease.
	Renew time.Duration
	// Call bounds one request to another instance.
	Call time.Duration
	// Probe is the interval at which an instance checks a primary.
	Probe time.Duration
	// ProbeTimeout bounds one check of a primary.
	ProbeTimeout time.Duration
	// Probers is how many instances check each primary.
	Probers int
	// Silence is how long nobody may have reached a primary before it is
	// suspected.
	Silence time.Duration
	// Minority is how long most instances may be unable to reach a primary
	// that others still reach.
	Minority time.Duration
	// Announced is how long an announcement of an upstream is good for.
	Announced time.Duration
	// Fresh is how long ago an upstream may have announced itself to be
	// preferred as the next primary.
	Fresh time.Duration
	// Tick is the interval at which the leader looks for work.
	Tick time.Duration
	// Promote is how long the leader tries to promote the chosen database.
	Promote time.Duration
	// CatchUp is how long a planned switchover waits for its target.
	CatchUp time.Duration
	// FencePatience is how long a failover waits for the databases that have
	// not confirmed the fence, where the primary alone acknowledges writes.
	FencePatience time.Duration
	// Remove is how long a member without a lease stays registered.
	Remove time.Duration
}

// Defaults of the fields of Timing.
const (
	DefaultLease         = 1500 * time.Millisecond
	DefaultMargin        = 50 * time.Millisecond
	DefaultDriftPPM      = 1000
	DefaultRenew         = 400 * time.Millisecond
	DefaultCall          = 350 * time.Millisecond
	DefaultProbe         = 150 * time.Millisecond
	DefaultProbeTimeout  = 300 * time.Millisecond
	DefaultProbers       = 4
	DefaultSilence       = 600 * time.Millisecond
	DefaultMinority      = 5 * time.Second
	DefaultAnnounced     = 2 * time.Second
	DefaultFresh         = time.Second
	DefaultTick          = 25 * time.Millisecond
	DefaultPromote       = 600 * time.Millisecond
	DefaultCatchUp       = 500 * time.Millisecond
	DefaultFencePatience = 300 * time.Millisecond
	DefaultRemove        = 10 * time.Second
)

// WithDefaults returns the timing with its zero fields set.
func (t Timing) WithDefaults() Timing {
	for field, value := range map[*time.Duration]time.Duration{
		&t.Lease: DefaultLease, &t.Margin: DefaultMargin, &t.Renew: DefaultRenew, &t.Call: DefaultCall,
		&t.Probe: DefaultProbe, &t.ProbeTimeout: DefaultProbeTimeout, &t.Silence: DefaultSilence,
		&t.Minority: DefaultMinority, &t.Announced: DefaultAnnounced, &t.Tick: DefaultTick, &t.Fresh: DefaultFresh, &t.Promote: DefaultPromote,
		&t.CatchUp: DefaultCatchUp, &t.Remove: DefaultRemove, &t.FencePatience: DefaultFencePatience,
	} {
		if *field == 0 {
			*field = value
		}
	}
	if t.DriftPPM == 0 {
		t.DriftPPM = DefaultDriftPPM
	}
	if t.Probers == 0 {
		t.Probers = DefaultProbers
	}
	return t
}

// Terms returns the terms of a lease.
func (t Timing) Terms() lease.Terms {
	return lease.Terms{Duration: t.Lease, Margin: t.Margin, DriftPPM: t.DriftPPM}
}
