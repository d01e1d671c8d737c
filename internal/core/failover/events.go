package failover

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Event is something that the driver of an Attempt has learned. Events that
// answer a command carry the term of the attempt that gave it, so that late
// ones are dropped.
type Event interface{ isEvent() }

// Suspect starts the replacement of a primary that counts as dead.
type Suspect struct{}

// SwitchTo starts a planned change of the primary.
type SwitchTo struct{ Target topo.UpstreamID }

// Resume takes up the attempt that is in the log.
type Resume struct {
	// Inherited says that the attempt was in the log before this leader
	// granted its first lease.
	Inherited bool
}

// Committed answers Propose.
type Committed struct {
	Attempt topo.Term
	Step    CommitStep
	// Refused says that the entry changed nothing.
	Refused bool
}

// FenceConfirmed says that a database refuses all terms below the attempt's.
type FenceConfirmed struct {
	Attempt  topo.Term
	Database topo.UpstreamID
	Point    topo.Point
}

// FenceOutpaced says that a database is fenced to a higher term.
type FenceOutpaced struct {
	Attempt topo.Term
	Fenced  topo.Term
}

// PatienceOver says that an attempt has waited long enough for the databases
// that have not confirmed the fence.
type PatienceOver struct{ Attempt topo.Term }

// LeasesDrained answers AwaitDrain.
type LeasesDrained struct{ Attempt topo.Term }

// PromoteAnswer answers Promote. OK is false when the database could not be
// promoted within the time for it. Began is set where databases number their
// terms themselves.
type PromoteAnswer struct {
	Attempt topo.Term
	OK      bool
	Began   topo.TermStart
}

func (Suspect) isEvent()        {}
func (SwitchTo) isEvent()       {}
func (Resume) isEvent()         {}
func (Committed) isEvent()      {}
func (FenceConfirmed) isEvent() {}
func (FenceOutpaced) isEvent()  {}
func (PatienceOver) isEvent()   {}
func (LeasesDrained) isEvent()  {}
func (PromoteAnswer) isEvent()  {}

// CommitStep names the entry that an attempt proposes.
type CommitStep int

// Steps that are committed to the log.
const (
	StepBegin CommitStep = iota
	StepChoose
	StepComplete
)

// Command is something that the driver of an Attempt must do.
type Command interface{ isCommand() }

// Propose commits an entry. The driver proposes it again until its fate is
// known.
type Propose struct {
	Step    CommitStep
	Command ctlstate.Command
}

// AskGiveBack asks all registered members to give back their lease on the
// group's terms up to Term.
type AskGiveBack struct{ Term topo.Term }

// Fence fences all databases of the group to Term, each until it answers. If
// Target is not empty the old primary is fenced first and the target is given
// the time to copy its log; PatienceOver is due when that time has passed
// twice.
type Fence struct {
	Term   topo.Term
	Target topo.UpstreamID
}

// AwaitDrain waits until no member can acknowledge a write under the group's
// terms up to Term. From Begun on no renewal has extended those leases.
type AwaitDrain struct {
	Term  topo.Term
	Begun time.Time
}

// Promote promotes the chosen database.
type Promote struct {
	Database ctlstate.Database
	Term     topo.Term
}

// Publish tells all members the new state of the group.
type Publish struct{}

// Stop gives up all commands of the attempt that still run.
type Stop struct{}

func (Propose) isCommand()     {}
func (AskGiveBack) isCommand() {}
func (Fence) isCommand()       {}
func (AwaitDrain) isCommand()  {}
func (Promote) isCommand()     {}
func (Publish) isCommand()     {}
func (Stop) isCommand()        {}
