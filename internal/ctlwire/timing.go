// Package ctlwire defines the protocol between agents and controllers: the messages
// and the timing that both sides must agree on.
package ctlwire

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/lease"
)

// Timing holds the intervals and timeouts of leases, detection and failover. Fields
// that are zero take their defaults.
type Timing struct {
	// Lease is the duration of a lease.
	Lease time.Duration
	// Margin is how long before its expiry an instance stops using a lease.
	Margin time.Duration
	// DriftPPM bounds the drift between two clocks, in parts per million.
	DriftPPM int64
	// Renew is the interval between renewals of a lease.
	Renew time.Duration
	// Call bounds one request to another instance.
	Call time.Duration
	// Probe is the interval between probes of a primary by one instance.
	Probe time.Duration
	// ProbeTimeout bounds one probe of a primary.
	ProbeTimeout time.Duration
	// Probers is the number of instances that probe each primary.
	Probers int
	// Silence is how long a primary may be unreachable for all instances before
	// the leader suspects it.
	Silence time.Duration
	// Minority is how long a primary may be reachable for only a minority of the
	// instances before the leader suspects it.
	Minority time.Duration
	// AnnouncementTTL is how long an announcement of an upstream is valid.
	AnnouncementTTL time.Duration
	// Refresh is how long a voter may wait before it forwards an announcement
	// without a change to the members; zero means that it hardly waits. It must be
	// well below AnnouncementTTL.
	Refresh time.Duration
	// CandidateMaxAge is the greatest age of its announcement at which an upstream is
	// preferred as the next primary.
	CandidateMaxAge time.Duration
	// AddressSilence is how long an upstream must be silent before another one may
	// take over its address.
	AddressSilence time.Duration
	// Tick is the interval at which the leader reconciles the groups.
	Tick time.Duration
	// Promote is how long the leader tries to promote the chosen database.
	Promote time.Duration
	// CatchUp is how long a planned switchover waits for its target to catch up
	// with the primary.
	CatchUp time.Duration
	// FenceTimeout is how long a failover waits for databases that have not
	// confirmed the fence, in groups where the primary alone acknowledges writes.
	FenceTimeout time.Duration
	// DrainLimit is how long after it announced that it leaves a database may still
	// receive new work; zero means until it has been replaced.
	DrainLimit time.Duration
	// ConfigLimit is the age of its latest confirmation up to which an instance takes its
	// configuration for the latest.
	ConfigLimit time.Duration
	// Remove is how long a member without a lease stays registered.
	Remove time.Duration
}

// Defaults of the fields of Timing.
const (
	DefaultLease           = 1500 * time.Millisecond
	DefaultMargin          = 50 * time.Millisecond
	DefaultDriftPPM        = 1000
	DefaultRenew           = 400 * time.Millisecond
	DefaultCall            = 350 * time.Millisecond
	DefaultProbe           = 150 * time.Millisecond
	DefaultProbeTimeout    = 300 * time.Millisecond
	DefaultProbers         = 4
	DefaultSilence         = 600 * time.Millisecond
	DefaultMinority        = 5 * time.Second
	DefaultAnnouncementTTL = 2 * time.Second
	DefaultCandidateMaxAge = time.Second
	DefaultAddressSilence  = 700 * time.Millisecond
	DefaultTick            = 25 * time.Millisecond
	DefaultPromote         = 600 * time.Millisecond
	DefaultCatchUp         = 500 * time.Millisecond
	DefaultFenceTimeout    = 300 * time.Millisecond
	DefaultConfigLimit     = DefaultLease
	DefaultRemove          = 10 * time.Second
)

// WithDefaults returns the timing with zero fields set to their defaults.
func (t Timing) WithDefaults() Timing {
	for field, value := range map[*time.Duration]time.Duration{
		&t.Lease: DefaultLease, &t.Margin: DefaultMargin, &t.Renew: DefaultRenew, &t.Call: DefaultCall,
		&t.Probe: DefaultProbe, &t.ProbeTimeout: DefaultProbeTimeout, &t.Silence: DefaultSilence,
		&t.Minority: DefaultMinority, &t.AnnouncementTTL: DefaultAnnouncementTTL, &t.Tick: DefaultTick, &t.CandidateMaxAge: DefaultCandidateMaxAge, &t.Promote: DefaultPromote,
		&t.CatchUp: DefaultCatchUp, &t.Remove: DefaultRemove, &t.FenceTimeout: DefaultFenceTimeout,
		&t.AddressSilence: DefaultAddressSilence, &t.ConfigLimit: DefaultConfigLimit,
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

// drainReserve is how long before the end of DrainLimit instances stop sending new
// work. It covers the delay of the announcement and of the request itself.
const drainReserve = 500 * time.Millisecond

// AcceptsWork reports whether a database that has been leaving for the duration
// may still receive new work.
func (t Timing) AcceptsWork(leavingFor time.Duration) bool {
	return t.DrainLimit == 0 || leavingFor < t.DrainLimit-drainReserve
}

// HandoverTime returns how long the leader waits for a replica that has
// everything a leaving primary has, before it replaces the primary with the best
// replica there is; zero means without limit.
func (t Timing) HandoverTime() time.Duration { return t.DrainLimit / 2 }

// LeaseTiming returns the time limits of a lease.
func (t Timing) LeaseTiming() lease.Timing {
	return lease.Timing{Duration: t.Lease, Margin: t.Margin, DriftPPM: t.DriftPPM}
}
