package failover

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Event is an input of an Attempt from its driver. An event that replies to a
// command carries the term of the attempt that issued it, so that the attempt
// drops late replies.
type Event interface{ isEvent() }

// Suspect starts the replacement of a suspected primary.
type Suspect struct{}

// SwitchTo starts a planned switchover.
type SwitchTo struct{ Target topo.UpstreamID }

// Resume continues the attempt recorded in the log.
type Resume struct {
	// Inherited reports that the attempt was in the log before this leader granted
	// its first lease.
	Inherited bool
}

// Committed is the reply to Propose.
type Committed struct {
	Attempt topo.Term
	Step    CommitStep
	// Refused reports that the entry had no effect.
	Refused bool
}

// FenceConfirmed reports that a database rejects all terms below the attempt's.
type FenceConfirmed struct {
	Attempt  topo.Term
	Database topo.UpstreamID
	Point    topo.Point
	// Leaving means that the database is about to shut down, so that another one
	// should be promoted.
	Leaving bool
}

// FenceHigherTerm reports that a database is fenced at a higher term.
type FenceHigherTerm struct {
	Attempt topo.Term
	Fenced  topo.Term
}

// FenceTimedOut reports that the wait for the databases that have not confirmed
// the fence has timed out.
type FenceTimedOut struct{ Attempt topo.Term }

// LeasesDrained is the reply to AwaitDrain.
type LeasesDrained struct{ Attempt topo.Term }

// PromoteReply is the reply to Promote. OK is false if the database could not be
// promoted within the time limit. Began is set for databases that number their
// terms themselves.
type PromoteReply struct {
	Attempt topo.Term
	OK      bool
	Began   topo.TermStart
}

func (Suspect) isEvent()         {}
func (SwitchTo) isEvent()        {}
func (Resume) isEvent()          {}
func (Committed) isEvent()       {}
func (FenceConfirmed) isEvent()  {}
func (FenceHigherTerm) isEvent() {}
func (FenceTimedOut) isEvent()   {}
func (LeasesDrained) isEvent()   {}
func (PromoteReply) isEvent()    {}

// CommitStep identifies the entry that an attempt proposes.
type CommitStep int

// Steps that are committed to the log.
const (
	StepBegin CommitStep = iota
	StepChoose
	StepComplete
)

// Command is an action that the driver of an Attempt must execute.
type Command interface{ isCommand() }

// Propose commits an entry. The driver proposes it again until the outcome is
// known.
type Propose struct {
	Step    CommitStep
	Command ctlstate.Command
}

// RequestRelease asks all registered members to release their lease on the group's
// terms up to Term.
type RequestRelease struct{ Term topo.Term }

// Fence fences all databases of the group at Term, including those that join the
// group meanwhile, retrying each until it confirms. If Target is not empty, the old primary is fenced first and the
// target gets time to copy the old primary's log; FenceTimedOut is due after
// twice that time.
type Fence struct {
	Term   topo.Term
	Target topo.UpstreamID
}

// AwaitDrain waits until no member can acknowledge a write under the group's
// terms up to Term. No renewal from Begun onwards has extended those leases.
type AwaitDrain struct {
	Term  topo.Term
	Begun time.Time
}

// Promote promotes the chosen database.
type Promote struct {
	Database ctlstate.Database
	Term     topo.Term
}

// Publish propagates the group's new state to all members.
type Publish struct{}

// Stop cancels all running commands of the attempt.
type Stop struct{}

func (Propose) isCommand()        {}
func (RequestRelease) isCommand() {}
func (Fence) isCommand()          {}
func (AwaitDrain) isCommand()     {}
func (Promote) isCommand()        {}
func (Publish) isCommand()        {}
func (Stop) isCommand()           {}
