package ctlwire

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Kinds of requests to a controller.
const (
	KindRegister   = "control.register"
	KindRenew      = "control.renew"
	KindLeave      = "control.leave"
	KindEvidence   = "control.evidence"
	KindHeard      = "control.heard"
	KindHeardList  = "control.heardlist"
	KindRelay      = "control.relay"
	KindSwitchover = "control.switchover"
	KindRemove     = "control.remove"
)

// Kinds of requests to an agent.
const (
	KindGiveBack  = "agent.giveback"
	KindPublish   = "agent.publish"
	KindAnnounce  = "agent.announce"
	KindUpstreams = "agent.upstreams"
	KindStanding  = "agent.standing"
)

// Status is how a controller took a request.
type Status string

// Statuses of a controller's answer.
const (
	OK Status = "ok"
	// NotLeader: ask the controller at LeaderAddr.
	NotLeader Status = "not leader"
	// UnknownMember: register first.
	UnknownMember Status = "unknown member"
	// Superseded: a later incarnation of the instance is registered.
	Superseded Status = "superseded"
	// Failed: the request could not be carried out now.
	Failed Status = "failed"
)

// Answer is the part that all answers of a controller have.
type Answer struct {
	Status     Status `msgpack:"s"`
	LeaderAddr string `msgpack:"l,omitempty"`
	Reason     string `msgpack:"r,omitempty"`
	// Highest is the highest incarnation of the instance that was registered,
	// in the answer to a refused registration.
	Highest uint64 `msgpack:"h,omitempty"`
}

// Register asks to become a registered member.
type Register struct {
	Member ctlstate.Member `msgpack:"m"`
}

// Renew asks for a new lease and for what has changed.
type Renew struct {
	Key ctlstate.MemberKey `msgpack:"k"`
	// Index is the log index up to which the member knows the state.
	Index uint64 `msgpack:"i"`
	// Revision is the configuration revision that the member has applied.
	Revision uint64 `msgpack:"r"`
	// Confirmed is the epoch that the member confirms.
	Confirmed uint64 `msgpack:"c"`
	// Sessions is how many callers the member serves.
	Sessions int `msgpack:"n,omitempty"`
}

// Renewed grants a lease on all groups as of Delta.
type Renewed struct {
	Answer Answer         `msgpack:"a"`
	Delta  ctlstate.Delta `msgpack:"d"`
	// Config brings the member's configuration to the latest revision.
	Config []byte `msgpack:"c,omitempty"`
	// Share is the member's part of what instances share, from 0 to 1.
	Share float64 `msgpack:"sh,omitempty"`
	// Voters are the peer addresses of the control voters.
	Voters []string `msgpack:"v,omitempty"`
}

// Leave ends a member's lease for good.
type Leave struct {
	Key ctlstate.MemberKey `msgpack:"k"`
}

// Sighting is a member's evidence about one primary.
type Sighting struct {
	Group     topo.GroupID `msgpack:"g"`
	Term      topo.Term    `msgpack:"t"`
	Reachable bool         `msgpack:"r"`
}

// Evidence tells the leader which primaries a member can reach.
type Evidence struct {
	Key       ctlstate.MemberKey `msgpack:"k"`
	Sightings []Sighting         `msgpack:"s"`
}

// Heard is an announcement with its age, so that passing it on doesn't
// lengthen its life.
type Heard struct {
	Announcement topo.Announcement `msgpack:"a"`
	Age          time.Duration     `msgpack:"g"`
}

// Refresh says that an upstream announced again what is known of it, at
// another point.
type Refresh struct {
	Group       topo.GroupID    `msgpack:"g"`
	ID          topo.UpstreamID `msgpack:"i"`
	Incarnation uint64          `msgpack:"n"`
	Seq         uint64          `msgpack:"q"`
	Point       topo.Point      `msgpack:"p"`
	Age         time.Duration   `msgpack:"a"`
}

// Announcements passes announcements on.
type Announcements struct {
	List      []Heard   `msgpack:"l,omitempty"`
	Refreshed []Refresh `msgpack:"r,omitempty"`
}

// Switchover asks for a planned change of a group's primary.
type Switchover struct {
	Group topo.GroupID    `msgpack:"g"`
	To    topo.UpstreamID `msgpack:"t"`
}

// Remove asks to remove a database that is gone from its group.
type Remove struct {
	Group topo.GroupID    `msgpack:"g"`
	ID    topo.UpstreamID `msgpack:"i"`
}

// GiveBack asks a member to acknowledge nothing more under the group's terms
// up to Term.
type GiveBack struct {
	Group topo.GroupID `msgpack:"g"`
	Term  topo.Term    `msgpack:"t"`
}

// GivenBack says who gave the lease back.
type GivenBack struct {
	Key ctlstate.MemberKey `msgpack:"k"`
}

// Publish tells a member at once what has changed.
type Publish struct {
	Delta ctlstate.Delta `msgpack:"d"`
	// Leader is the peer address of the controller that publishes.
	Leader string `msgpack:"l,omitempty"`
}

// Published confirms an epoch.
type Published struct {
	Key       ctlstate.MemberKey `msgpack:"k"`
	Confirmed uint64             `msgpack:"c"`
}

// Standing tells how an instance's lease stands.
type Standing struct {
	Leased     bool          `msgpack:"l"`
	RenewedAgo time.Duration `msgpack:"r"`
}

// Relay asks a voter to pass a request on to the leader, for an instance that
// cannot reach it. The answer is the leader's.
type Relay struct {
	Kind string             `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Relayed carries the leader's answer. Status tells why there is none.
type Relayed struct {
	Status Status             `msgpack:"s"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`
}

// Empty is a request or an answer without content.
type Empty struct{}

// Head returns the answer itself.
func (a Answer) Head() Answer { return a }

// Head returns the common part of the answer.
func (r Renewed) Head() Answer { return r.Answer }
