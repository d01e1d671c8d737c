package ctlwire

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Kinds of requests to a controller.
const (
	KindRegister          = "control.register"
	KindRenew             = "control.renew"
	KindLeave             = "control.leave"
	KindEvidence          = "control.evidence"
	KindAnnouncements     = "control.heard"
	KindListAnnouncements = "control.heardlist"
	KindRelay             = "control.relay"
	KindSwitchover        = "control.switchover"
	KindRemove            = "control.remove"
)

// Kinds of requests to an agent.
const (
	KindReleaseLease  = "agent.giveback"
	KindPublish       = "agent.publish"
	KindAnnounce      = "agent.announce"
	KindListUpstreams = "agent.upstreams"
	KindLeaseStatus   = "agent.standing"
)

// Status is the outcome of a request to a controller.
type Status string

// Statuses of a controller's answer.
const (
	OK Status = "ok"
	// NotLeader: retry at the controller at LeaderAddr.
	NotLeader Status = "not leader"
	// UnknownMember: register first.
	UnknownMember Status = "unknown member"
	// Superseded: a later incarnation of the instance is registered.
	Superseded Status = "superseded"
	// Failed: the request could not be carried out now.
	Failed Status = "failed"
)

// Answer is the common part of all answers of a controller.
type Answer struct {
	Status     Status `msgpack:"s"`
	LeaderAddr string `msgpack:"l,omitempty"`
	// Contacts are the peer addresses of voters that a voter without a leader knows.
	Contacts []string `msgpack:"c,omitempty"`
	Reason   string   `msgpack:"r,omitempty"`
	// Highest is the highest registered incarnation of the instance, set when a
	// registration is refused.
	Highest uint64 `msgpack:"h,omitempty"`
}

// Register requests registration as a member.
type Register struct {
	Member ctlstate.Member `msgpack:"m"`
}

// Renew requests a new lease and the changes since Index and Revision.
type Renew struct {
	Key ctlstate.MemberKey `msgpack:"k"`
	// Index is the log index up to which the member has applied the state.
	Index uint64 `msgpack:"i"`
	// Revision is the configuration revision that the member has applied.
	Revision uint64 `msgpack:"r"`
	// Confirmed is the epoch that the member confirms.
	Confirmed uint64 `msgpack:"c"`
	// Epochs is the log index of the latest change of the epochs that the member
	// has applied. Zero requests the complete epochs.
	Epochs uint64 `msgpack:"e,omitempty"`
	// Sessions is the number of callers that the member serves.
	Sessions int `msgpack:"n,omitempty"`
}

// Renewed grants a lease on all groups as of Delta.
type Renewed struct {
	Answer Answer         `msgpack:"a"`
	Delta  ctlstate.Delta `msgpack:"d"`
	// Config updates the member's configuration to the latest revision.
	Config []byte `msgpack:"c,omitempty"`
	// Share is the member's fraction, from 0 to 1, of the resources that all instances
	// share.
	Share float64 `msgpack:"sh,omitempty"`
	// Voters are the peer addresses of the control voters.
	Voters []string `msgpack:"v,omitempty"`
}

// Leave ends a member's lease for good.
type Leave struct {
	Key ctlstate.MemberKey `msgpack:"k"`
}

// PrimaryReport is a member's report about one primary.
type PrimaryReport struct {
	Group     topo.GroupID `msgpack:"g"`
	Term      topo.Term    `msgpack:"t"`
	Reachable bool         `msgpack:"r"`
}

// Evidence reports to the leader which primaries a member can reach.
type Evidence struct {
	Key     ctlstate.MemberKey `msgpack:"k"`
	Reports []PrimaryReport    `msgpack:"s"`
}

// HasFailure reports whether the member failed to reach one of the primaries.
func (e Evidence) HasFailure() bool {
	return slices.ContainsFunc(e.Reports, func(r PrimaryReport) bool { return !r.Reachable })
}

// AgedAnnouncement is an announcement with its age, so that forwarding does not
// extend its lifetime.
type AgedAnnouncement struct {
	Announcement topo.Announcement `msgpack:"a"`
	Age          time.Duration     `msgpack:"g"`
	// LeavingAge is how long the upstream has been leaving, zero if it is not.
	LeavingAge time.Duration `msgpack:"lg,omitempty"`
}

// Refresh reports a repeated announcement of which only the sequence number and the
// point have changed.
type Refresh struct {
	Group       topo.GroupID    `msgpack:"g"`
	ID          topo.UpstreamID `msgpack:"i"`
	Incarnation uint64          `msgpack:"n"`
	Seq         uint64          `msgpack:"q"`
	Point       topo.Point      `msgpack:"p"`
	Age         time.Duration   `msgpack:"a"`
}

// Announcements forwards announcements.
type Announcements struct {
	List      []AgedAnnouncement `msgpack:"l,omitempty"`
	Refreshed []Refresh          `msgpack:"r,omitempty"`
}

// Switchover requests a planned change of a group's primary.
type Switchover struct {
	Group topo.GroupID    `msgpack:"g"`
	To    topo.UpstreamID `msgpack:"t"`
}

// Remove requests the removal of a database that will not return from its group.
type Remove struct {
	Group topo.GroupID    `msgpack:"g"`
	ID    topo.UpstreamID `msgpack:"i"`
}

// ReleaseLease asks a member to stop acknowledging writes under the group's terms
// up to Term.
type ReleaseLease struct {
	Group topo.GroupID `msgpack:"g"`
	Term  topo.Term    `msgpack:"t"`
}

// LeaseReleased identifies the member that released the lease.
type LeaseReleased struct {
	Key ctlstate.MemberKey `msgpack:"k"`
}

// Publish sends changes to a member ahead of its next renewal.
type Publish struct {
	Delta ctlstate.Delta `msgpack:"d"`
	// Leader is the peer address of the controller that publishes.
	Leader string `msgpack:"l,omitempty"`
}

// Published is the member's answer to Publish and confirms an epoch.
type Published struct {
	Key       ctlstate.MemberKey `msgpack:"k"`
	Confirmed uint64             `msgpack:"c"`
}

// LeaseStatus is the status of an instance's lease.
type LeaseStatus struct {
	Leased     bool          `msgpack:"l"`
	RenewedAgo time.Duration `msgpack:"r"`
}

// Relay asks a voter to relay a request to the leader for an instance that cannot
// reach it.
type Relay struct {
	Kind string             `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Relayed contains the leader's answer. If Status is not OK, there is none.
type Relayed struct {
	Status Status             `msgpack:"s"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`
}

// Empty is a request or an answer without fields.
type Empty struct{}

// Head returns the answer itself.
func (a Answer) Head() Answer { return a }

// Head returns the common part of the answer.
func (r Renewed) Head() Answer { return r.Answer }
