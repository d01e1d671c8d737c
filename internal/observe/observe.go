// Package observe turns what an engine tells into metrics and log lines.
package observe

import (
	"context"
	"time"

	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/logbudget"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/engine"
	"github.com/cicadacove/cicadacove/internal/eventlog"
	"github.com/cicadacove/cicadacove/internal/groupstate"
	"github.com/cicadacove/cicadacove/internal/telemetry"
)

// Observer records what an engine tells. It implements engine.Events. Log and
// Instruments may be nil.
type Observer struct {
	Log         *eventlog.Log
	Instruments *telemetry.Instruments
}

// Ended implements engine.Events.
func (o *Observer) Ended(e engine.Ended) {
	o.measure(e)
	if o.Log == nil || isLocal(e) {
		return
	}
	class, message := logbudget.Failure, "engine: request "+string(e.Outcome.Kind)
	if e.Outcome.Kind == outcome.Done {
		class = logbudget.Success
	}
	o.Log.Event(class, message, fields(e)...)
}

// isLocal reports whether the engine has answered by itself with success:
// nothing was decided.
func isLocal(e engine.Ended) bool { return e.Outcome.Kind == outcome.Done && e.Upstream == "" }

// fields lists what decided about a statement. The names are explained in
// docs/operations/log.md.
func fields(e engine.Ended) []any {
	return []any{
		"request", e.ID, "database", e.Database, "verb", e.Verb.String(), "rank", e.Route.Service.Rank,
		"outcome", string(e.Outcome.Kind), "code", e.Outcome.Code, "reason", e.Outcome.Reason,
		"retry_after_ms", e.Outcome.RetryAfter.Milliseconds(),
		"group", string(e.Route.Group), "upstream", string(e.Upstream), "term", uint64(e.Term),
		"required", e.Required.String(), "required_age_ms", e.RequiredAge.Milliseconds(),
		"config", e.Config, "attempts", e.Attempts, "held_ms", milliseconds(e.Held),
		"upstream_wait_ms", milliseconds(e.UpstreamWait), "waited_ms", milliseconds(e.Waited), "took_ms", milliseconds(e.Took),
	}
}

// milliseconds keeps one decimal.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

func (o *Observer) measure(e engine.Ended) {
	o.Instruments.Request(telemetry.Request{
		Service: e.Route.Service.Name, Rank: e.Route.Service.Rank, Outcome: e.Outcome.Kind,
		Code: e.Outcome.Code, Duration: e.Took, Target: e.Route.Service.Target,
	})
	if isLocal(e) {
		return
	}
	o.Instruments.QueueWait(e.Route.Service.Name, e.Route.Service.Rank, e.Waited)
	if e.Attempts > 1 {
		o.Instruments.Retry(e.Route.Service.Name, "another upstream")
	}
	if e.Verb == engine.Read && e.Outcome.Kind == outcome.Done {
		o.Instruments.Read(e.Route.Service.Name, e.Route.Group, roleOf(e))
	}
}

func roleOf(e engine.Ended) topo.Role {
	if e.Term != 0 {
		return topo.RolePrimary
	}
	return topo.RoleReplica
}

// UpstreamLost implements engine.Events.
func (o *Observer) UpstreamLost(id topo.UpstreamID, err error) {
	if o.Log != nil {
		o.Log.Event(logbudget.Change, "engine: upstream does not answer", "upstream", string(id), "reason", err.Error())
	}
}

// UpstreamBack implements engine.Events.
func (o *Observer) UpstreamBack(id topo.UpstreamID) {
	if o.Log != nil {
		o.Log.Event(logbudget.Change, "engine: upstream answers again", "upstream", string(id))
	}
}

// UpstreamFailing implements engine.Events.
func (o *Observer) UpstreamFailing(id topo.UpstreamID, rate float64, failing bool) {
	o.event("engine: failures of an upstream", "upstream", string(id), "failing", failing, "rate", rate)
}

// Entry is what the gauges of an entry instance are read from.
type Entry struct {
	Agent    *agent.Agent
	Catalog  func() *catalog.Catalog
	Sessions func() int
	Gauges   func() []groupstate.Gauges
}

// gaugeInterval is how often the gauges are read.
const gaugeInterval = time.Second

// Run reads the gauges and logs changes of the lease and of the primaries
// until ctx ends.
func (o *Observer) Run(ctx context.Context, e Entry) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	w := watch{terms: map[topo.GroupID]topo.Term{}}
	for {
		changed := e.Agent.Changed()
		o.changes(e, &w)
		select {
		case <-changed:
		case <-ticker.C:
			o.gauges(e)
		case <-ctx.Done():
			return nil
		}
	}
}

// watch remembers what has been logged.
type watch struct {
	leased bool
	terms  map[topo.GroupID]topo.Term
}

func (o *Observer) changes(e Entry, w *watch) {
	if leased := e.Agent.HasLease(); leased != w.leased {
		w.leased = leased
		o.event("agent: lease changed", "held", leased)
	}
	c := e.Catalog()
	if c == nil {
		return
	}
	for id := range c.Groups {
		g, known := e.Agent.Group(id)
		if !known || g.Term == w.terms[id] {
			continue
		}
		w.terms[id] = g.Term
		o.Instruments.GroupTerm(id, g.Term)
		o.event("agent: primary known", "group", string(id), "upstream", string(g.Primary), "term", uint64(g.Term))
	}
}

func (o *Observer) event(message string, fields ...any) {
	if o.Log != nil {
		o.Log.Event(logbudget.Change, message, fields...)
	}
}

func (o *Observer) gauges(e Entry) {
	o.Instruments.Callers(e.Sessions())
	o.Instruments.LeaseRemaining(e.Agent.LeaseRemaining())
	if c := e.Catalog(); c != nil {
		o.Instruments.ConfigRevision(c.Version)
	}
	queued := map[int]int{}
	for _, g := range e.Gauges() {
		o.Instruments.Pool(g.Upstream, g.Pool.Idle, g.Pool.Open-g.Pool.Idle)
		for rank := 1; rank <= contract.Ranks; rank++ {
			queued[rank] += g.Load.Queued[rank]
		}
	}
	for rank, length := range queued {
		o.Instruments.QueueLength("", rank, length)
	}
}
