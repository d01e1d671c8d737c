// Package attempt implements the state machine of one write request. It decides
// when the request is sent, retried, looked up, acknowledged, refused or
// reported as unknown.
//
// The transitions come from the state chart write.toml. The driver performs one
// action at a time and reports the event that results from it:
//
//	m := attempt.New(attempt.AtMostOnce)
//	for action := m.Start(); action != attempt.None; {
//		event := perform(action)
//		action = m.Step(event, attempt.Limits{MayRetry: budget.Take})
//	}
//
// The package does no I/O, reads no clock and starts no goroutines.
package attempt

import (
	"fmt"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

// Event is the result of an action.
type Event string

// Events of the state chart.
const (
	// Authority: a primary may be used under the lease.
	Authority Event = "authority"
	// TimedOut: the wait has timed out.
	TimedOut Event = "time_over"
	// Opened: the driver has obtained a slot and a connection.
	Opened Event = "opened"
	// Refused: admission refused the request.
	Refused Event = "refused"
	// Unopened: the upstream is unavailable; nothing was sent.
	Unopened Event = "unopened"
	// Ran: the statements ran in a transaction that is still open.
	Ran Event = "ran"
	// Committed: the database committed the request.
	Committed Event = "committed"
	// Answered: the database returned an error that the caller has to see.
	Answered Event = "answered"
	// AlreadyRan: the request id is already stored.
	AlreadyRan Event = "already_ran"
	// NoEffect: the attempt had no effect and cannot have one later.
	NoEffect Event = "no_effect"
	// Lost: the attempt may have had an effect.
	Lost Event = "lost"
	// Confirmed: the write is durable and registered as its service requires.
	Confirmed Event = "confirmed"
	// Delivered: the acknowledgement was sent under the lease.
	Delivered Event = "delivered"
	// FoundDone and FoundCancelled: the stored state of the request id.
	FoundDone      Event = "found_done"
	FoundCancelled Event = "found_cancelled"
	// Unresolved: the request id could not be looked up.
	Unresolved Event = "unsettled"
)

// Events that Step derives from reported ones. The driver does not report them.
const (
	noEffectFinal    Event = "no_effect_last"
	lostUnresolvable Event = "lost_for_good"
)

// Action is what the driver must do next.
type Action string

// Actions of the state chart.
const (
	// None: the request has ended.
	None Action = ""
	// Await waits for a primary: Authority or TimedOut.
	Await Action = "await"
	// Open obtains a slot and a connection: Opened, Refused or Unopened.
	Open Action = "open"
	// Run sends the statements: Ran, Committed, Answered, AlreadyRan, NoEffect,
	// and Lost for a repeatable request, which cannot be rolled back.
	Run Action = "run"
	// Commit sends COMMIT: Committed, Answered, AlreadyRan, NoEffect, Lost.
	Commit Action = "commit"
	// LookUp reads the stored request id: FoundDone, Answered, NoEffect, Lost.
	LookUp Action = "look_up"
	// Confirm waits for durability and registers the session: Confirmed, Lost.
	Confirm Action = "confirm"
	// Deliver sends the acknowledgement under the lease: Delivered, Lost.
	Deliver Action = "deliver"
	// Resolve looks up or cancels the request id: FoundDone, FoundCancelled,
	// Answered, Unresolved or TimedOut.
	Resolve Action = "resolve"
	// Report returns the outcome of the last action to the caller.
	Report Action = "report"
	// Refuse reports to the caller that the request did not run.
	Refuse Action = "refuse"
	// Unknown reports to the caller that the outcome is unknown.
	Unknown Action = "unknown"
)

// Mode is the kind of request.
type Mode int

// Modes of a request.
const (
	// AtMostOnce runs at most once; its transaction stores the request id.
	AtMostOnce Mode = iota
	// Repeatable may run more than once without harm; no id is stored.
	Repeatable
	// CommitStored is the COMMIT of a transaction that stores its request
	// id. It cannot be retried, only looked up.
	CommitStored
	// Begin opens a transaction. It commits nothing.
	Begin
	// CommitPlain is the COMMIT of a transaction that stores no request id.
	CommitPlain
)

// Limits holds the driver's remaining time and retry budget.
type Limits struct {
	// TargetPassed: the request's target latency has passed.
	TargetPassed bool
	// MayRetry takes one retry from the budget. It is called only if a retry
	// would be made.
	MayRetry func() bool
}

var chart = statechart.MustLoad(charts.Read("write.toml"), statechart.Vocabulary{
	Events: []string{
		string(Authority), string(TimedOut), string(Opened), string(Refused), string(Unopened), string(Ran),
		string(Committed), string(Answered), string(AlreadyRan), string(NoEffect), string(noEffectFinal), string(Lost),
		string(lostUnresolvable), string(Confirmed), string(Delivered), string(FoundDone), string(FoundCancelled), string(Unresolved),
	},
	Actions: []string{
		string(Await), string(Open), string(Run), string(Commit), string(LookUp), string(Confirm),
		string(Deliver), string(Resolve), string(Report), string(Refuse), string(Unknown),
	},
})

// Initial states of a request.
const (
	stateAwaiting   = "awaiting"
	stateCommitting = "committing"
)

// Machine is the state of one request.
type Machine struct {
	mode  Mode
	state string
	// mayHaveRun is set once an attempt of a repeatable request was lost: the
	// request can no longer be reported as not run.
	mayHaveRun bool
}

// New returns the state machine of a request that has not been sent.
func New(m Mode) *Machine {
	if m == CommitStored || m == CommitPlain {
		return &Machine{mode: m, state: stateCommitting}
	}
	return &Machine{mode: m, state: stateAwaiting}
}

// Start returns the first action.
func (m *Machine) Start() Action {
	if m.state == stateCommitting {
		return Commit
	}
	return Await
}

// State returns the current state in the state chart.
func (m *Machine) State() string { return m.state }

// Step processes the event that resulted from the last action and returns the
// next action. It panics on an event that the state chart does not allow in the
// current state, since the driver has then violated the protocol.
func (m *Machine) Step(e Event, l Limits) Action {
	e = m.deriveEvent(e, l)
	to, actions, ok := chart.Next(m.state, string(e))
	if !ok {
		panic(fmt.Sprintf("attempt: event %q in state %q", e, m.state))
	}
	m.state = to
	if len(actions) == 0 {
		return None
	}
	action := Action(actions[0])
	if m.mayHaveRun && (action == Refuse || e == Refused) {
		return Unknown
	}
	return action
}

// deriveEvent replaces an event according to the mode and the limits: whether a
// request without effect may be retried, and whether one whose answer is lost
// can be looked up.
func (m *Machine) deriveEvent(e Event, l Limits) Event {
	switch {
	case e == NoEffect && !m.mayRetry(l):
		return noEffectFinal
	case e == Lost && m.mode == CommitPlain:
		return lostUnresolvable
	case e == Lost && m.mode == Repeatable:
		m.mayHaveRun = true
		if m.mayRetry(l) {
			return NoEffect
		}
		return lostUnresolvable
	}
	return e
}

func (m *Machine) mayRetry(l Limits) bool {
	if m.mode == CommitStored || m.mode == CommitPlain || l.TargetPassed {
		return false
	}
	return l.MayRetry()
}
