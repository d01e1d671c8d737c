package model

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// Allocation names a method to divide an upstream's slots among entry instances.
type Allocation string

// Methods of allocation.
const (
	// Grants divides the slots by demand with core/grant.
	Grants Allocation = "grants"
	// Static gives each instance the same number of slots and connections,
	// one slot at least.
	Static Allocation = "static"
	// Borrowing requests a slot from the owner for each statement.
	Borrowing Allocation = "borrowing"
)

// Workload describes the requests of one service.
type Workload struct {
	Service contract.Service
	// Statements is the number of statements of a request. They form one
	// transaction.
	Statements int
	// Time is the mean time of a statement in a database. The times are spread
	// evenly from half to one and a half times the mean.
	Time time.Duration
}

// requestTime returns the mean time that a request takes in its database.
func (w Workload) requestTime() time.Duration { return time.Duration(w.Statements) * w.Time }

// Stream is a Poisson process of requests of one service.
type Stream struct {
	// Workload is an index of Settings.Workloads.
	Workload int
	// Rate is the number of requests per second of all callers together.
	Rate float64
	// From and To are the start and the end of the stream, counted from the
	// start of the run. A zero To means the end of the run.
	From, To time.Duration
	// Callers is the number of callers that share the rate.
	Callers int
	// Weight returns, for a time since the start of the run, the share of the
	// stream that reaches each entry instance; nil means equal shares.
	Weight func(at time.Duration) []float64
	// IgnoreHints makes refused callers ignore the retry hint and retry after
	// retryDelay.
	IgnoreHints bool
	Retries     int
}

// Settings describes one run.
type Settings struct {
	Seed        uint64
	Length      time.Duration
	Warmup      time.Duration
	Policy      admission.Policy
	Allocation  Allocation
	Instances   int
	Zones       int
	Databases   int
	Slots       int
	Connections int
	// Pipeline is the number of slots that are granted beyond those of the
	// database, to keep it busy while statements and answers travel.
	Pipeline int
	// ZoneDelay and CallerDelay are one-way delays.
	ZoneDelay    time.Duration
	CallerDelay  time.Duration
	ConnectDelay time.Duration
	// CallerTimeout is the time after which a caller abandons a request that
	// has not started.
	CallerTimeout time.Duration
	// Lease is the time after which a lost instance is removed and a lost
	// primary is replaced.
	Lease     time.Duration
	Workloads []Workload
	Streams   []Stream
	// PrimaryReads sends all reads to the primary.
	PrimaryReads bool
	// LoseInstance is the time at which an entry instance is lost, LosePrimary
	// that at which the primary is lost; zero means never.
	LoseInstance time.Duration
	LosePrimary  time.Duration
}

// RequestTime returns the mean slot time of a request of workload i.
func (s *Settings) RequestTime(i int) time.Duration { return s.Workloads[i].requestTime() }
