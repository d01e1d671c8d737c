package engine

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/pace"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// StatementEnd describes the end of one statement.
type StatementEnd struct {
	ID       string
	Database string
	// Organisation is the caller's organisation, empty if there is none.
	Organisation string
	Route        catalog.Route
	Verb         Verb
	Outcome      outcome.Outcome
	Upstream     topo.UpstreamID
	// Via is the instance on whose connection the statement ran, empty for this one.
	Via topo.InstanceID
	// Term is the term of the lease that the answer depended on, zero if none.
	Term topo.Term
	// Required is the point that a read had to cover, RequiredAge the minimum
	// time since the primary had reached it.
	Required    topo.Point
	RequiredAge time.Duration
	// Config is the version of the active configuration, Basis its confirmation when the
	// statement was refused.
	Config   uint64
	Basis    Basis
	Attempts int
	// Held is how long the statement was held back in favour of more urgent
	// work, UpstreamWait the mean wait in the upstream's queue at the latest
	// such decision.
	Held, UpstreamWait time.Duration
	// Waited is the time until the statement had a slot and a connection.
	Waited time.Duration
	Took   time.Duration
	// Undelivered is why the answer could not be sent to the caller, empty if it was.
	Undelivered string
}

// Basis is what a refusal by the configuration rested on.
type Basis struct {
	// ConfigAge is the time since a leader last confirmed that the configuration was the
	// latest, ConfigKnown is false if none has.
	ConfigAge   time.Duration
	ConfigKnown bool
	// Leased reports whether the instance held a lease.
	Leased bool
}

// SessionRefusal describes a session that was refused when it was opened.
type SessionRefusal struct {
	Database string
	Outcome  outcome.Outcome
	// Config is the version of the active configuration, zero if there is none.
	Config uint64
	Basis  Basis
}

// Events receives notifications of decisions. Its methods must not block.
type Events interface {
	StatementEnded(StatementEnd)
	SessionRefused(SessionRefusal)
	// UpstreamLost reports that an upstream's circuit has opened after the
	// error, UpstreamRecovered that it has closed again.
	UpstreamLost(topo.UpstreamID, error)
	UpstreamRecovered(topo.UpstreamID)
	// UpstreamFailing reports that an upstream has started or stopped failing
	// most of the statements that it answers.
	UpstreamFailing(id topo.UpstreamID, rate float64, failing bool)
	// PositionReported reports that the primary has started or stopped to report its
	// position when it is asked for it. Without, reads wait for positions that other
	// answers carry, and go to the primary.
	PositionReported(g topo.GroupID, primary topo.UpstreamID, reported bool)
	// UpstreamPaced reports that the pace of an upstream has become limited after
	// a start or recovery, or full again.
	UpstreamPaced(topo.UpstreamID, pace.Change)
}

type noEvents struct{}

func (noEvents) StatementEnded(StatementEnd)         {}
func (noEvents) SessionRefused(SessionRefusal)       {}
func (noEvents) UpstreamLost(topo.UpstreamID, error) {}
func (noEvents) UpstreamRecovered(topo.UpstreamID)   {}

func (noEvents) UpstreamFailing(topo.UpstreamID, float64, bool) {}

func (noEvents) PositionReported(topo.GroupID, topo.UpstreamID, bool) {}

func (noEvents) UpstreamPaced(topo.UpstreamID, pace.Change) {}
