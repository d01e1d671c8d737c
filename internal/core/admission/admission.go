// Package admission implements admission control for the slots of one upstream:
// it decides which request starts, which one waits in the queue, and which one
// is refused before it has run.
//
// The Ranked policy serves urgent work first, guarantees the floor of each
// service, refuses a request as soon as its expected end exceeds its target,
// and shares a service's slots fairly among its callers. The other policies are
// baselines for comparison.
//
// The package is pure and deterministic: no I/O, no clock, no goroutines. Time
// is an argument and must not go backwards between calls.
package admission

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// Policy selects how requests are ordered and refused.
type Policy string

// Policies. The zero value means Ranked.
const (
	// Ranked serves by rank, with floors, targets and fairness among callers.
	Ranked Policy = "ranked"
	// FIFO serves in order of arrival and refuses only when the queue is full.
	FIFO Policy = "fifo"
	// StrictPriority serves by rank, without floors or targets.
	StrictPriority Policy = "strict"
	// StaticShares gives each service a fixed number of slots.
	StaticShares Policy = "static"
)

// Policies returns every policy, the default first.
func Policies() []Policy { return []Policy{Ranked, FIFO, StrictPriority, StaticShares} }

// Limits and defaults of a scheduler.
const (
	// DefaultMaxQueue bounds the waiting requests of one service.
	DefaultMaxQueue = 1024
	// DefaultTarget applies to a service without a target.
	DefaultTarget = time.Second
	// DefaultIdleLimit bounds how long an idle transaction keeps its slot.
	DefaultIdleLimit = 50 * time.Millisecond
	// InitialServiceTime is the service time estimate before the first
	// measurement.
	InitialServiceTime = 5 * time.Millisecond
	// MinFloorPercent is the smallest floor of a service. It prevents
	// starvation of services whose contract sets no floor.
	MinFloorPercent = 1.0
)

// Options configure a Scheduler.
type Options struct {
	Policy Policy
	// Slots is how many requests may run at once.
	Slots int
	// Connections bounds the requests between start and End; zero means no
	// bound.
	Connections int
	// MaxQueue bounds the waiting requests of one service; zero means
	// DefaultMaxQueue.
	MaxQueue int
	// IdleLimit bounds how long an idle transaction keeps its slot; zero means
	// DefaultIdleLimit.
	IdleLimit time.Duration
	// Disabled turns off mechanisms of the Ranked policy. Tests and experiments
	// use it to show what each mechanism contributes.
	Disabled Mechanisms
}

// Mechanisms selects mechanisms of the Ranked policy: in Options.Disabled, a true
// field turns the mechanism off.
type Mechanisms struct {
	// Floors reserves a share of the slots for every service.
	Floors bool
	// Targets refuses an arriving request that is expected to miss its target.
	Targets bool
	// Expiry refuses a waiting request that can no longer meet its target.
	Expiry bool
	// Fairness serves the callers of a service round-robin.
	Fairness bool
	// Transactions serves started transactions before new requests.
	Transactions bool
}

// Request asks for one slot.
type Request struct {
	Service contract.Service
	// Caller identifies the caller; callers of one service are served
	// round-robin.
	Caller string
	// Arrived is when the request reached the entry instance. The target is
	// relative to it.
	Arrived time.Time
	// InTransaction marks a request of a started transaction. It is served
	// before new requests and never refused because of its expected wait.
	InTransaction bool
}

// State is the state of a ticket.
type State uint8

// States of a ticket.
const (
	Waiting State = iota
	Running
	// Idle means that a transaction holds the slot but runs no statement.
	Idle
	Ended
)

// Ticket tracks one request in the scheduler.
type Ticket struct {
	Request Request
	// Owner is an opaque value for the driver.
	Owner any

	state      State
	service    *serviceState
	caller     *callerQueue
	arrivalSeq uint64
	started    time.Time
	idleSince  time.Time
	// charged is the floor credit that was deducted at the start.
	charged time.Duration
	// connected is true while the request counts towards Connections.
	connected bool

	prev, next *Ticket
}

// State returns the state of the ticket.
func (t *Ticket) State() State { return t.state }

// Deadline returns the time after which a waiting ticket can no longer meet its
// target, according to the current estimate. The driver then calls Expire.
func (t *Ticket) Deadline() time.Time {
	return t.Request.Arrived.Add(t.service.target - t.service.serviceBound())
}

// Decision is the scheduler's decision about one ticket.
type Decision struct {
	Ticket *Ticket
	// Start means that the ticket now holds a slot. Otherwise the request was
	// refused with Outcome and has not run.
	Start   bool
	Outcome outcome.Outcome
}

// Load summarises the load for routing and metrics. Arrays are indexed by rank;
// index 0 is unused.
type Load struct {
	Slots  int
	InUse  int
	Queued [contract.Ranks + 1]int
	// Wait is the expected wait of a new request from a caller without queued
	// requests.
	Wait [contract.Ranks + 1]time.Duration
	// Demand is the arriving work, in slots.
	Demand [contract.Ranks + 1]float64
	// Floors is the share of the slots that is reserved for each rank, 0 to 1.
	Floors [contract.Ranks + 1]float64
}
