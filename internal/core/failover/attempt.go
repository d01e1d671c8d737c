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

// Attempt decides the steps of one group's failover, as the failover chart
// says. All that must survive a change of the leader is in the replicated
// GroupRecord: another Attempt that starts with Resume finishes the work.
type Attempt struct {
	group   topo.GroupID
	machine *Machine
	// elected is when this leader was elected.
	elected time.Time

	record ctlstate.GroupRecord
	// next is the lowest term that no attempt has used.
	next   topo.Term
	target topo.UpstreamID
	// begun is a time from which on no renewal has extended the leases on the
	// replaced term: this leader had applied the attempt by then.
	begun time.Time
	// floor is the lowest term that the next attempt may take.
	floor     topo.Term
	fenced    map[topo.UpstreamID]topo.Point
	impatient bool
	choice    Fenced
	began     topo.TermStart
	// single says that a write may be acknowledged once the primary holds it.
	// Then no quorum can save it, and an impatient attempt takes the best of
	// the databases that answer.
	single bool
}

// NewAttempt returns the decisions for one failover of a group at a leader
// that was elected at elected. single says that writes of the group are
// acknowledged by the primary alone.
func NewAttempt(chart *statechart.Chart, g topo.GroupID, elected time.Time, single bool) *Attempt {
	return &Attempt{
		single:  single,
		group:   g,
		machine: NewMachine(chart),
		elected: elected,
		fenced:  map[topo.UpstreamID]topo.Point{},
	}
}

// State returns the chart's present state.
func (a *Attempt) State() string { return a.machine.State() }

// Done reports whether the attempt has ended.
func (a *Attempt) Done() bool { return a.machine.State() == Steady }

// Chosen returns the database that is to be promoted, empty before the choice.
func (a *Attempt) Chosen() topo.UpstreamID { return a.choice.ID }

// Term returns the term of the attempt, zero before it has begun.
func (a *Attempt) Term() topo.Term {
	if a.record.Attempt == nil {
		return 0
	}
	return a.record.Attempt.Term
}

// Handle takes an event and returns what to do. record is the group's present
// replicated state. name is the chart's event, empty when the event changed
// nothing.
func (a *Attempt) Handle(e Event, record ctlstate.GroupRecord, now time.Time) (name string, commands []Command) {
	if term, answers := attemptOf(e); answers && term != a.Term() {
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
	a.load(record)
	a.after(name, now)
	if r, ok := e.(Resume); ok && r.Inherited {
		a.begun = a.elected
	}
	for _, action := range actions {
		commands = append(commands, a.command(action))
	}
	return name, commands
}

// attemptOf returns the term of the attempt that an event answers.
func attemptOf(e Event) (t topo.Term, answers bool) {
	switch e := e.(type) {
	case Committed:
		return e.Attempt, true
	case FenceConfirmed:
		return e.Attempt, true
	case FenceOutpaced:
		return e.Attempt, true
	case PatienceOver:
		return e.Attempt, true
	case LeasesDrained:
		return e.Attempt, true
	case PromoteAnswer:
		return e.Attempt, true
	}
	return 0, false
}

// chartEvent translates an event into one of the chart. It returns "" when
// more events are needed.
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
		a.fenced[e.Database] = e.Point
		return a.fencedEvent()
	case PatienceOver:
		a.impatient = true
		return a.fencedEvent()
	case FenceOutpaced:
		a.floor = max(a.floor, e.Fenced+1)
		return EventOutpaced
	case LeasesDrained:
		return EventDrained
	case PromoteAnswer:
		if e.OK {
			a.began = e.Began
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

// fencedEvent says whether enough databases are fenced. A planned switchover
// waits for its target as long as its patience lasts.
func (a *Attempt) fencedEvent() string {
	_, targetFenced := a.fenced[a.target]
	if a.target != "" && !targetFenced && !a.impatient {
		return ""
	}
	var list []Fenced
	for _, id := range slices.Sorted(maps.Keys(a.fenced)) {
		list = append(list, Fenced{id, a.fenced[id]})
	}
	quorum := a.record.FenceQuorum()
	if a.single && a.impatient {
		quorum = 1
	}
	choice, enough := Choose(list, quorum, a.target)
	if !enough {
		return ""
	}
	a.choice = choice
	return EventFenced
}

// load takes over the group's replicated state.
func (a *Attempt) load(record ctlstate.GroupRecord) {
	a.record = record
	a.next = record.NextTerm()
	if record.Attempt == nil {
		return
	}
	a.target = record.Attempt.Target
	if record.Attempt.Chosen != "" {
		a.choice = Fenced{ID: record.Attempt.Chosen}
	}
}

// after keeps the times and forgets what belonged to an earlier attempt.
func (a *Attempt) after(name string, now time.Time) {
	switch name {
	case EventResumeBegun, EventResumeChosen:
		a.begun = now
	case EventBegun:
		if a.begun.IsZero() {
			a.begun = now
		}
		clear(a.fenced)
		a.impatient = false
	case EventPromoteFailed:
		a.target = ""
	}
}

func (a *Attempt) command(action string) Command {
	switch action {
	case ActionProposeBegin:
		return a.propose(StepBegin, ctlstate.Command{Begin: &ctlstate.BeginFailover{
			Group: a.group, Term: max(a.next, a.floor), Target: a.target,
		}})
	case ActionProposeChoice:
		return a.propose(StepChoose, ctlstate.Command{Choose: &ctlstate.ChoosePrimary{
			Group: a.group, Term: a.Term(), Primary: a.choice.ID, Start: a.choice.Point.Position,
		}})
	case ActionProposeComplete:
		return a.propose(StepComplete, ctlstate.Command{Complete: &ctlstate.CompleteFailover{
			Group: a.group, Term: a.Term(), Began: a.began,
		}})
	case ActionAskGiveBack:
		return AskGiveBack{a.record.Term}
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
