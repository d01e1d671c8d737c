package ctlstate

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadacove/cicadacove/internal/codec"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Command is one entry of the control log. Exactly one field is set.
type Command struct {
	Register    *Register         `msgpack:"r,omitempty"`
	Remove      *Remove           `msgpack:"rm,omitempty"`
	AddDatabase *AddDatabase      `msgpack:"d,omitempty"`
	Retire      *RetireDatabase   `msgpack:"x,omitempty"`
	RemoveDB    *RemoveDatabase   `msgpack:"y,omitempty"`
	Begin       *BeginFailover    `msgpack:"b,omitempty"`
	Choose      *ChoosePrimary    `msgpack:"c,omitempty"`
	Complete    *CompleteFailover `msgpack:"f,omitempty"`
	Prepare     *PrepareEpoch     `msgpack:"p,omitempty"`
	Activate    *ActivateEpoch    `msgpack:"a,omitempty"`
	// Section is handed to the opaque section.
	Section []byte `msgpack:"s,omitempty"`
}

// Register adds a member, and supersedes lower incarnations of it.
type Register struct {
	Member Member `msgpack:"m"`
}

// Remove deletes a member that can hold no lease any more.
type Remove struct {
	Key MemberKey `msgpack:"k"`
}

// AddDatabase adds a database to a group, or changes its address. The first
// primary that announces itself founds the group.
type AddDatabase struct {
	Group    topo.GroupID `msgpack:"g"`
	Database Database     `msgpack:"d"`
	// Found creates the group with this database as the primary of Term.
	Found bool      `msgpack:"f"`
	Term  topo.Term `msgpack:"t"`
}

// RetireDatabase marks a database that is to be removed. The primary and a
// group with a failover under way are refused.
type RetireDatabase struct {
	Group topo.GroupID    `msgpack:"g"`
	ID    topo.UpstreamID `msgpack:"i"`
}

// RemoveDatabase removes a retiring database. The caller has made sure that
// every acknowledged write is on two of the others.
type RemoveDatabase struct {
	Group topo.GroupID    `msgpack:"g"`
	ID    topo.UpstreamID `msgpack:"i"`
}

// BeginFailover starts the attempt for Term. It is refused unless Term is
// above every term that the group has used.
type BeginFailover struct {
	Group  topo.GroupID    `msgpack:"g"`
	Term   topo.Term       `msgpack:"t"`
	Target topo.UpstreamID `msgpack:"p"`
}

// ChoosePrimary names the only database that may be promoted to Term.
type ChoosePrimary struct {
	Group   topo.GroupID    `msgpack:"g"`
	Term    topo.Term       `msgpack:"t"`
	Primary topo.UpstreamID `msgpack:"p"`
	Start   topo.Position   `msgpack:"s"`
}

// CompleteFailover ends the attempt: the chosen database is the primary.
type CompleteFailover struct {
	Group topo.GroupID `msgpack:"g"`
	Term  topo.Term    `msgpack:"t"`
	// Began is set for databases that number their terms themselves: their
	// term and where it began. Zero means Term and the start that was chosen.
	Began topo.TermStart `msgpack:"b,omitempty"`
}

// PrepareEpoch announces the next epoch. It replaces an epoch that was
// prepared and never activated.
type PrepareEpoch struct {
	Epoch Epoch `msgpack:"e"`
}

// ActivateEpoch makes the prepared epoch the active one.
type ActivateEpoch struct {
	Number uint64 `msgpack:"n"`
}

// Result is what Apply returns for every command but Section.
type Result struct {
	// Refused says why the command changed nothing, empty when it did.
	Refused string `msgpack:"r,omitempty"`
}

// Encode returns the command as log data.
func (c Command) Encode() ([]byte, error) { return msgpack.Marshal(&c) }

// DecodeResult reads what Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("control state: result: %w", err)
	}
	return r, nil
}
