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
}

type noEvents struct{}

func (noEvents) Ended(Ended)                         {}
func (noEvents) UpstreamLost(topo.UpstreamID, error) {}
func (noEvents) UpstreamBack(topo.UpstreamID)        {}
