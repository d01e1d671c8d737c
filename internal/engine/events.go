package engine

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Ended describes the end of one statement.
type Ended struct {
	ID       string
	Database string
	Route    catalog.Route
	Verb     Verb
	Outcome  outcome.Outcome
	Upstream topo.UpstreamID
	// Term is that of the lease the answer depended on, zero without one.
	Term topo.Term
	// Required is the point that a read had to cover, RequiredAge how long ago
	// the primary had reached it at least.
	Required    topo.Point
	RequiredAge time.Duration
	// Config is the version of the configuration in force.
	Config   uint64
	Attempts int
	// Held is how long the statement was held back for more urgent work, and
	// UpstreamWait the mean wait inside the upstream that decided on it last.
	Held, UpstreamWait time.Duration
	// Waited is the time until the statement had a slot and a connection.
	Waited time.Duration
	Took   time.Duration
}

// Events is told of decisions. Its methods must not wait.
type Events interface {
	Ended(Ended)
	// UpstreamLost tells that the circuit of an upstream has opened after the
	// error, UpstreamBack that it has closed again.
	UpstreamLost(topo.UpstreamID, error)
	UpstreamBack(topo.UpstreamID)
	// UpstreamFailing tells that an upstream has begun or ceased to fail most of
	// the statements that it answers.
	UpstreamFailing(id topo.UpstreamID, rate float64, failing bool)
}

type noEvents struct{}

func (noEvents) Ended(Ended)                         {}
func (noEvents) UpstreamLost(topo.UpstreamID, error) {}
func (noEvents) UpstreamBack(topo.UpstreamID)        {}

func (noEvents) UpstreamFailing(topo.UpstreamID, float64, bool) {}
