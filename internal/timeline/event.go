// Package timeline records the actions of a process as typed events, and merges
// the events of several processes into one list in causal order.
//
// Each event carries a timestamp of a hybrid logical clock. Processes send their
// timestamps with their messages (Recorder.Stamp and Recorder.Observe), so that
// an effect never sorts before its cause.
package timeline

import (
	"cmp"
	"slices"

	"github.com/cicadacove/cicadacove/internal/core/hlc"
)

// Part is the part of the system that recorded an event.
type Part string

// Parts of the system.
const (
	PartEntry     Part = "entry"
	PartUpstream  Part = "upstream"
	PartAgent     Part = "agent"
	PartControl   Part = "control"
	PartAdmission Part = "admission"
	PartConfig    Part = "config"
	PartAdmin     Part = "admin"
	PartProcess   Part = "process"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	ProcessStarted     Kind = "process started"
	ProcessStopping    Kind = "process stopping"
	ProcessStopped     Kind = "process stopped"
	SessionOpened      Kind = "session opened"
	SessionClosed      Kind = "session closed"
	RequestDone        Kind = "request done"
	RequestRefused     Kind = "request refused"
	RequestUnknown     Kind = "request unknown"
	RequestFailed      Kind = "request failed"
	RequestRetried     Kind = "request retried"
	UpstreamSeen       Kind = "upstream seen"
	UpstreamLeaving    Kind = "upstream leaving"
	UpstreamExpired    Kind = "upstream expired"
	UpstreamFailing    Kind = "upstream failing"
	LeaseGained        Kind = "lease gained"
	LeaseLost          Kind = "lease lost"
	LeaseReleased      Kind = "lease given back"
	LeaderElected      Kind = "leader elected"
	LeaderLost         Kind = "leader lost"
	FailoverBegun      Kind = "failover begun"
	FailoverFenced     Kind = "failover fenced"
	FailoverPromoted   Kind = "failover promoted"
	FailoverCompleted  Kind = "failover completed"
	FailoverAbandoned  Kind = "failover abandoned"
	PrimaryKnown       Kind = "primary known"
	VoterChanged       Kind = "voter changed"
	ConfigAccepted     Kind = "config accepted"
	ConfigConflict     Kind = "config conflict"
	ConfigActive       Kind = "config in force"
	MembershipActive   Kind = "membership active"
	AdmissionSaturated Kind = "admission saturated"
	AdmissionRecovered Kind = "admission relieved"
)

// Fields names the objects that an event relates to. Empty fields do not apply.
type Fields struct {
	Group    string `json:"group,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Session  string `json:"session,omitempty"`
	Request  string `json:"request,omitempty"`
	Service  string `json:"service,omitempty"`
	// Text is a short sentence with details that no other field holds.
	Text string `json:"text,omitempty"`
}

// Event is one event in one process.
type Event struct {
	At      hlc.Timestamp `json:"at"`
	Process string        `json:"process"`
	Seq     uint64        `json:"seq"`
	Part    Part          `json:"part"`
	Kind    Kind          `json:"kind"`
	Fields
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// Merge returns the events of all lists in causal order, without duplicates.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortFunc(merged, compareEvents)
	return slices.CompactFunc(merged, func(a, b Event) bool {
		return a.Process == b.Process && a.Seq == b.Seq && a.At == b.At
	})
}

// Filter selects events. Empty fields match every event.
type Filter struct {
	Group, Session, Request, Process string
	Part                             Part
	Since                            hlc.Timestamp
}

// Match reports whether the filter selects e.
func (f Filter) Match(e Event) bool {
	return matchesField(f.Group, e.Group) &&
		matchesField(f.Session, e.Session) &&
		matchesField(f.Request, e.Request) &&
		matchesField(f.Process, e.Process) &&
		matchesField(string(f.Part), string(e.Part)) &&
		e.At.Compare(f.Since) >= 0
}

func matchesField(want, have string) bool { return want == "" || want == have }

// Apply returns the events that the filter selects, in the given order.
func (f Filter) Apply(events []Event) []Event {
	var selected []Event
	for _, e := range events {
		if f.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected
}
