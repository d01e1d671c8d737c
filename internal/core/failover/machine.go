package failover

import (
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

// Events of the failover chart.
const (
	EventSuspected     = "suspected"
	EventSwitchover    = "switchover"
	EventResumeBegun   = "resume_begun"
	EventResumeChosen  = "resume_chosen"
	EventBegun         = "begun"
	EventRefused       = "refused"
	EventFenced        = "fenced"
	EventHigherTerm    = "outpaced"
	EventChosen        = "chosen"
	EventDrained       = "drained"
	EventPromoted      = "promoted"
	EventPromoteFailed = "promote_failed"
	EventCompleted     = "completed"
)

// Actions of the failover chart.
const (
	ActionProposeBegin    = "propose_begin"
	ActionRequestRelease  = "ask_give_back"
	ActionFence           = "fence"
	ActionProposeChoice   = "propose_choice"
	ActionAwaitDrain      = "await_drain"
	ActionPromote         = "promote"
	ActionProposeComplete = "propose_complete"
	ActionPublish         = "publish"
	ActionStop            = "stop"
)

// Steady is the chart state in which no failover is in progress.
const Steady = "steady"

// LoadChart loads the failover chart and validates it against the events and
// actions of this package.
func LoadChart(data []byte) *statechart.Chart {
	return statechart.MustLoad(data, statechart.Vocabulary{
		Events: []string{
			EventSuspected, EventSwitchover, EventResumeBegun, EventResumeChosen, EventBegun,
			EventRefused, EventFenced, EventHigherTerm, EventChosen, EventDrained, EventPromoted,
			EventPromoteFailed, EventCompleted,
		},
		Actions: []string{
			ActionProposeBegin, ActionRequestRelease, ActionFence, ActionProposeChoice, ActionAwaitDrain,
			ActionPromote, ActionProposeComplete, ActionPublish, ActionStop,
		},
	})
}

// Machine is the state machine of one group's failover.
type Machine struct {
	chart *statechart.Chart
	state string
}

// NewMachine returns a machine in the chart's initial state.
func NewMachine(chart *statechart.Chart) *Machine {
	return &Machine{chart: chart, state: chart.Initial}
}

// State returns the current state.
func (m *Machine) State() string { return m.state }

// Step applies an event and returns the actions to execute. ok is false if the
// current state does not handle the event, for example because it is the late
// result of an abandoned step.
func (m *Machine) Step(event string) (actions []string, ok bool) {
	to, actions, ok := m.chart.Next(m.state, event)
	m.state = to
	return actions, ok
}

// Fenced is a database that has confirmed the fence at an attempt's term.
type Fenced struct {
	ID    topo.UpstreamID
	Point topo.Point
}

// Choose returns the database to promote: the one with the highest point. Among
// equal points it selects the preferred database, or else the lowest ID. ok is
// false if too few databases are fenced.
func Choose(fenced []Fenced, quorum int, preferred topo.UpstreamID) (best Fenced, ok bool) {
	if len(fenced) < quorum || len(fenced) == 0 {
		return Fenced{}, false
	}
	best = fenced[0]
	for _, f := range fenced[1:] {
		if isBetter(f, best, preferred) {
			best = f
		}
	}
	return best, true
}

func isBetter(a, b Fenced, preferred topo.UpstreamID) bool {
	if c := a.Point.Compare(b.Point); c != 0 {
		return c > 0
	}
	if a.ID == preferred || b.ID == preferred {
		return a.ID == preferred
	}
	return a.ID < b.ID
}
