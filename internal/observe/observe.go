// Package observe records the events of an engine as metrics and log lines.
package observe

import (
	"context"
	"time"

	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/logbudget"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/pace"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/engine"
	"github.com/cicadacove/cicadacove/internal/eventlog"
	"github.com/cicadacove/cicadacove/internal/groupstate"
	"github.com/cicadacove/cicadacove/internal/quota"
	"github.com/cicadacove/cicadacove/internal/telemetry"
)

// Observer records the events of an engine. It implements engine.Events. Log
// and Instruments may be nil.
type Observer struct {
	Log         *eventlog.Log
	Instruments *telemetry.Instruments
}

// StatementEnded implements engine.Events.
func (o *Observer) StatementEnded(e engine.StatementEnd) {
	o.recordMetrics(e)
	if o.Log != nil && e.Undelivered != "" {
		o.Log.Event(logbudget.Failure, "engine: answer not delivered", "request", e.ID, "outcome", string(e.Outcome.Kind), "undelivered", e.Undelivered,
			"upstream", string(e.Upstream), "took_ms", milliseconds(e.Took))
	}
	if o.Log == nil || isLocal(e) {
		return
	}
	class, message := logbudget.Failure, "engine: request "+string(e.Outcome.Kind)
	if e.Outcome.Kind == outcome.Done {
		class = logbudget.Success
	}
	o.Log.Event(class, message, logFields(e)...)
}

// SessionRefused implements engine.Events.
func (o *Observer) SessionRefused(r engine.SessionRefusal) {
	if o.Log != nil {
		o.Log.Event(logbudget.Failure, "engine: session refused", "database", r.Database, "code", r.Outcome.Code, "reason", r.Outcome.Reason,
			"config", r.Config, "config_age_ms", configAge(r.Basis), "leased", r.Basis.Leased)
	}
}

// configAge returns the age of the configuration in milliseconds, -1 if it was never
// confirmed.
func configAge(b engine.Basis) int64 {
	if !b.ConfigKnown {
		return -1
	}
	return b.ConfigAge.Milliseconds()
}

// isLocal reports whether the engine answered the request successfully
// without an upstream. Such a request involves no decision to log.
func isLocal(e engine.StatementEnd) bool { return e.Outcome.Kind == outcome.Done && e.Upstream == "" }

// logFields returns the fields that explain the decisions about a request.
// docs/operations/log.md describes the fields.
func logFields(e engine.StatementEnd) []any {
	fields := []any{
		"request", e.ID, "database", e.Database, "organisation", e.Organisation, "verb", e.Verb.String(), "rank", e.Route.Service.Rank,
		"outcome", string(e.Outcome.Kind), "code", e.Outcome.Code, "reason", e.Outcome.Reason,
		"retry_after_ms", e.Outcome.RetryAfter.Milliseconds(),
		"group", string(e.Route.Group), "upstream", string(e.Upstream), "via", string(e.Via), "term", uint64(e.Term),
		"required", e.Required.String(), "required_age_ms", e.RequiredAge.Milliseconds(),
		"config", e.Config, "attempts", e.Attempts, "held_ms", milliseconds(e.Held),
		"upstream_wait_ms", milliseconds(e.UpstreamWait), "waited_ms", milliseconds(e.Waited), "took_ms", milliseconds(e.Took),
	}
	if e.Outcome.Kind == outcome.NotRun {
		fields = append(fields, "config_age_ms", configAge(e.Basis), "leased", e.Basis.Leased)
	}
	return fields
}

// milliseconds returns d in milliseconds, rounded to one decimal.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

func (o *Observer) recordMetrics(e engine.StatementEnd) {
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

func roleOf(e engine.StatementEnd) topo.Role {
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

// UpstreamRecovered implements engine.Events.
func (o *Observer) UpstreamRecovered(id topo.UpstreamID) {
	if o.Log != nil {
		o.Log.Event(logbudget.Change, "engine: upstream answers again", "upstream", string(id))
	}
}

// UpstreamFailing implements engine.Events.
func (o *Observer) UpstreamFailing(id topo.UpstreamID, rate float64, failing bool) {
	o.logChange("engine: upstream failure state changed", "upstream", string(id), "failing", failing, "rate", rate)
}

// PositionReported implements engine.Events.
func (o *Observer) PositionReported(g topo.GroupID, primary topo.UpstreamID, reported bool) {
	o.logChange("engine: report of the primary's position changed", "group", string(g), "upstream", string(primary), "reported", reported)
}

// UpstreamPaced implements engine.Events.
func (o *Observer) UpstreamPaced(id topo.UpstreamID, c pace.Change) {
	o.logChange("engine: upstream pace changed", "upstream", string(id), "limited", c.Limited,
		"reason", string(c.Reason), "since", c.Since.Format(time.RFC3339Nano), "pace", c.Value)
}

// GaugeSources provides the values of the gauges of an entry instance.
type GaugeSources struct {
	Agent    *agent.Agent
	Catalog  func() *catalog.Catalog
	Sessions func() int
	Gauges   func() []groupstate.Gauges
	// Quota returns the operations of the largest organisations and of the others.
	Quota func() []quota.Stat
	// RelayStats and RelayState are those of the engine.
	RelayStats func() engine.RelayStats
	RelayState func(topo.UpstreamID) (relayed, holder bool)
}

// gaugeInterval is the time between two recordings of the gauges.
const gaugeInterval = time.Second

// Run records the gauges, and logs changes of the lease and of the primaries,
// until ctx ends.
func (o *Observer) Run(ctx context.Context, sources GaugeSources) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	last := loggedState{terms: map[topo.GroupID]topo.Term{}}
	for {
		changed := sources.Agent.Changed()
		o.logChanges(sources, &last)
		select {
		case <-changed:
		case <-ticker.C:
			o.recordGauges(sources)
		case <-ctx.Done():
			return nil
		}
	}
}

// loggedState is the state that was last logged.
type loggedState struct {
	leased bool
	terms  map[topo.GroupID]topo.Term
}

func (o *Observer) logChanges(sources GaugeSources, last *loggedState) {
	if leased := sources.Agent.HasLease(); leased != last.leased {
		last.leased = leased
		o.logChange("agent: lease changed", "held", leased)
	}
	c := sources.Catalog()
	if c == nil {
		return
	}
	for id := range c.Groups {
		g, known := sources.Agent.Group(id)
		if !known || g.Term == last.terms[id] {
			continue
		}
		last.terms[id] = g.Term
		o.Instruments.GroupTerm(id, g.Term)
		o.logChange("agent: primary changed", "group", string(id), "upstream", string(g.Primary), "term", uint64(g.Term))
	}
}

func (o *Observer) logChange(message string, fields ...any) {
	if o.Log != nil {
		o.Log.Event(logbudget.Change, message, fields...)
	}
}

func (o *Observer) recordGauges(sources GaugeSources) {
	o.Instruments.Callers(sources.Sessions())
	o.Instruments.LeaseRemaining(sources.Agent.LeaseRemaining())
	if c := sources.Catalog(); c != nil {
		o.Instruments.ConfigRevision(c.Version)
	}
	o.recordOrganisations(sources)
	relays := telemetry.RelayState{}
	queued := map[int]int{}
	for _, g := range sources.Gauges() {
		relayed, holder := sources.RelayState(g.Upstream)
		relays.Upstreams = append(relays.Upstreams, telemetry.UpstreamRelay{Upstream: g.Upstream, Relayed: relayed, Holder: holder})
		o.Instruments.UpstreamPace(g.Upstream, g.Pace)
		o.Instruments.Pool(g.Upstream, g.Pool.Idle, g.Pool.Open-g.Pool.Idle)
		for rank := 1; rank <= contract.Ranks; rank++ {
			queued[rank] += g.Load.Queued[rank]
		}
	}
	for rank, length := range queued {
		o.Instruments.QueueLength("", rank, length)
	}
	stats := sources.RelayStats()
	relays.Sent, relays.Served = telemetry.RelayOutcomes(stats.Sent), telemetry.RelayOutcomes(stats.Served)
	o.Instruments.Relays(relays)
}

func (o *Observer) recordOrganisations(sources GaugeSources) {
	stats := sources.Quota()
	list := make([]telemetry.OrganisationOperations, 0, len(stats))
	for _, s := range stats {
		list = append(list, telemetry.OrganisationOperations{
			Organisation: s.Organisation, Taken: s.Taken, Refused: s.Refused, WithoutOwner: s.Fallback,
		})
	}
	o.Instruments.Organisations(list)
}
