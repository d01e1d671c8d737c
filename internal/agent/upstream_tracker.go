package agent

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

// Events and actions of the upstream chart.
const (
	eventServing = "serving"
	eventLeaving = "leaving"
	eventSilent  = "silent"

	actionOffer    = "offer"
	actionWithdraw = "withdraw"
)

type upstreamKey struct {
	group topo.GroupID
	id    topo.UpstreamID
}

// upstreamTracker runs the upstream chart for each upstream to detect changes in the
// set of usable upstreams.
type upstreamTracker struct {
	chart  *statechart.Chart
	states map[upstreamKey]string
}

func loadUpstreamChart(data []byte) *statechart.Chart {
	return statechart.MustLoad(data, statechart.Vocabulary{
		Events:  []string{eventServing, eventLeaving, eventSilent},
		Actions: []string{actionOffer, actionWithdraw},
	})
}

func newUpstreamTracker() *upstreamTracker {
	return &upstreamTracker{
		chart:  loadUpstreamChart(charts.Read("upstream.toml")),
		states: map[upstreamKey]string{},
	}
}

// update applies the current event to each upstream and reports whether any upstream
// became usable or unusable.
func (t *upstreamTracker) update(r *membership.Registry, now time.Time) bool {
	changed := false
	states := make(map[upstreamKey]string, len(t.states))
	for _, k := range r.All() {
		key := upstreamKey{k.Group, k.ID}
		state, known := t.states[key]
		if !known {
			state = t.chart.Initial
		}
		to, actions, _ := t.chart.Next(state, eventOf(k, r.Expired(k, now)))
		states[key] = to
		changed = changed || len(actions) > 0
		if known && to != state {
			klog.InfoS("agent: upstream state changed", "group", k.Group, "upstream", k.ID, "state", to, "former", state,
				"leaving_ms", k.LeavingFor(now).Milliseconds(), "age_ms", now.Sub(k.ReceivedAt).Milliseconds())
		}
	}
	t.states = states
	return changed
}

func eventOf(k membership.KnownUpstream, expired bool) string {
	switch {
	case expired:
		return eventSilent
	case k.Leaving:
		return eventLeaving
	}
	return eventServing
}
