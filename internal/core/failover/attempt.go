package failover

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

// Attempt determines the steps of one group's failover according to the
// failover chart. All state that must survive a leader change is in the
// replicated GroupRecord: another Attempt that starts with Resume completes the
// failover.
type Attempt struct {
	group   topo.GroupID
	machine *Machine
	// electedAt is when this leader was elected.
	electedAt time.Time

	record ctlstate.GroupRecord
	// nextTerm is the lowest term that no attempt has used.
	nextTerm topo.Term
	target   topo.UpstreamID
	// begun is a time by which this leader had applied the attempt, so that no
	// later renewal has extended the leases on the replaced term.
	begun time.Time
	// minTerm is the lowest term that the next attempt may use.
	minTerm       topo.Term
	fenced        map[topo.UpstreamID]topo.Point
	leaving       map[topo.UpstreamID]bool
	fenceTimedOut bool
	choice        Fenced
	termStart     topo.TermStart
	// primaryOnly is set if a write may be acknowledged once only the primary has
	// stored it. No quorum can preserve such a write, so after the fence timeout
	// the attempt promotes the best of the databases that have replied.
	primaryOnly bool
}

// NewAttempt returns an Attempt for one failover of a group. elected is when
// this leader was elected. primaryOnly is set if the primary alone acknowledges
// writes of the group.
func NewAttempt(chart *statechart.Chart, g topo.GroupID, elected time.Time, primaryOnly bool) *Attempt {
	return &Attempt{
		primaryOnly: primaryOnly,
		group:       g,
		machine:     NewMachine(chart),
		electedAt:   elected,
		fenced:      map[topo.UpstreamID]topo.Point{},
		leaving:     map[topo.UpstreamID]bool{},
	}
}

// State returns the current state of the chart.
func (a *Attempt) State() string { return a.machine.State() }

// Done reports whether the attempt has ended.
func (a *Attempt) Done() bool { return a.machine.State() == Steady }

// Chosen returns the database to promote, or empty before the choice.
func (a *Attempt) Chosen() topo.UpstreamID { return a.choice.ID }

// Term returns the term of the attempt, or zero before it has begun.
func (a *Attempt) Term() topo.Term {
	if a.record.Attempt == nil {
		return 0
	}
	return a.record.Attempt.Term
}

// Handle processes an event and returns the commands to execute. record is the
// group's current replicated state. name is the chart's event, or empty if the
// event has no effect.
func (a *Attempt) Handle(e Event, record ctlstate.GroupRecord, now time.Time) (name string, commands []Command) {
	if term, isReply := attemptTerm(e); isReply && term != a.Term() {
		return "", nil
	}
	name = a.chartEvent(e, record)
	if name == "" {
		return "", nil
	}
	actions, ok := a.machine.Step(name)
	if !ok {
		return "", nil
	}
	a.loadRecord(record)
	a.afterTransition(name, now)
	if r, ok := e.(Resume); ok && r.Inherited {
		a.begun = a.electedAt
	}
	for _, action := range actions {
		commands = append(commands, a.command(action))
	}
	return name, commands
}

// attemptTerm returns the term of the attempt whose command the event replies
// to. isReply is false for an event that starts or resumes an attempt.
func attemptTerm(e Event) (t topo.Term, isReply bool) {
	switch e := e.(type) {
	case Committed:
		return e.Attempt, true
	case FenceConfirmed:
		return e.Attempt, true
	case FenceHigherTerm:
		return e.Attempt, true
	case FenceTimedOut:
		return e.Attempt, true
	case LeasesDrained:
		return e.Attempt, true
	case PromoteReply:
		return e.Attempt, true
	}
	return 0, false
}

// chartEvent translates an event into a chart event. It returns "" while
// further events are needed.
func (a *Attempt) chartEvent(e Event, record ctlstate.GroupRecord) string {
	switch e := e.(type) {
	case Suspect:
		return EventSuspected
	case SwitchTo:
		a.target = e.Target
		return EventSwitchover
	case Resume:
		return resumeEvent(record)
	case Committed:
		return committedEvent(e)
	case FenceConfirmed:
		a.fenced[e.Database], a.leaving[e.Database] = e.Point, e.Leaving
		return a.fencedEvent(record)
	case FenceTimedOut:
		a.fenceTimedOut = true
		return a.fencedEvent(record)
	case FenceHigherTerm:
		a.minTerm = max(a.minTerm, e.Fenced+1)
		return EventHigherTerm
	case LeasesDrained:
		return EventDrained
	case PromoteReply:
		if e.OK {
			a.termStart = e.Began
			return EventPromoted
		}
		return EventPromoteFailed
	}
	panic(fmt.Sprintf("failover: event %T", e))
}

func resumeEvent(record ctlstate.GroupRecord) string {
	switch {
	case record.Attempt == nil:
		return ""
	case record.Attempt.Chosen != "":
		return EventResumeChosen
	}
	return EventResumeBegun
}

func committedEvent(e Committed) string {
	if e.Refused {
		return EventRefused
	}
	return [...]string{StepBegin: EventBegun, StepChoose: EventChosen, StepComplete: EventCompleted}[e.Step]
}

// fencedEvent returns EventFenced if enough databases are fenced. A planned
// switchover waits for its target until the fence timeout.
func (a *Attempt) fencedEvent(record ctlstate.GroupRecord) string {
	_, targetFenced := a.fenced[a.target]
	if a.target != "" && !targetFenced && !a.fenceTimedOut {
		return ""
	}
	quorum := max(a.record.FenceQuorum(), record.FenceQuorum())
	if a.primaryOnly && a.fenceTimedOut {
		quorum = 1
	}
	choice, enough := a.choose(quorum)
	if !enough {
		return ""
	}
	a.choice = choice
	return EventFenced
}

// choose returns the database to promote. It returns a leaving one only where the
// others might lack an acknowledged write.
func (a *Attempt) choose(quorum int) (choice Fenced, ok bool) {
	var all, staying []Fenced
	for _, id := range slices.Sorted(maps.Keys(a.fenced)) {
		f := Fenced{id, a.fenced[id]}
		all = append(all, f)
		if !a.leaving[id] {
			staying = append(staying, f)
		}
	}
	best, enough := Choose(all, quorum, a.target)
	if enough && !a.leaving[best.ID] {
		return best, true
	}
	alternative, found := Choose(staying, 1, a.target)
	switch {
	case found && enough && alternative.Point.Compare(best.Point) >= 0, found && len(staying) >= quorum:
		return alternative, true
	case a.fenceTimedOut && !a.primaryOnly:
		return best, enough
	}
	return Fenced{}, false
}

// loadRecord copies the group's replicated state into the attempt.
func (a *Attempt) loadRecord(record ctlstate.GroupRecord) {
	a.record = record
	a.nextTerm = record.NextTerm()
	if record.Attempt == nil {
		return
	}
	a.target = record.Attempt.Target
	if record.Attempt.Chosen != "" {
		a.choice = Fenced{ID: record.Attempt.Chosen}
	}
}

// afterTransition records times and clears the state of an earlier attempt.
func (a *Attempt) afterTransition(name string, now time.Time) {
	switch name {
	case EventResumeBegun, EventResumeChosen:
		a.begun = now
	case EventBegun:
		if a.begun.IsZero() {
			a.begun = now
		}
		clear(a.fenced)
		clear(a.leaving)
		a.fenceTimedOut = false
	case EventPromoteFailed:
		a.target = ""
	}
}

func (a *Attempt) command(action string) Command {
	switch action {
	case ActionProposeBegin:
		return a.propose(StepBegin, ctlstate.Command{Begin: &ctlstate.BeginFailover{
			Group: a.group, Term: max(a.nextTerm, a.minTerm), Target: a.target,
		}})
	case ActionProposeChoice:
		return a.propose(StepChoose, ctlstate.Command{Choose: &ctlstate.ChoosePrimary{
			Group: a.group, Term: a.Term(), Primary: a.choice.ID, Start: a.choice.Point.Position,
		}})
	case ActionProposeComplete:
		return a.propose(StepComplete, ctlstate.Command{Complete: &ctlstate.CompleteFailover{
			Group: a.group, Term: a.Term(), Began: a.termStart,
		}})
	case ActionRequestRelease:
		return RequestRelease{a.record.Term}
	case ActionFence:
		return Fence{a.Term(), a.target}
	case ActionAwaitDrain:
		return AwaitDrain{a.record.Term, a.begun}
	case ActionPromote:
		db, _ := a.record.Database(a.choice.ID)
		return Promote{db, a.Term()}
	case ActionPublish:
		return Publish{}
	case ActionStop:
		return Stop{}
	}
	panic(fmt.Sprintf("failover: action %q", action))
}

func (a *Attempt) propose(s CommitStep, c ctlstate.Command) Command { return Propose{s, c} }
