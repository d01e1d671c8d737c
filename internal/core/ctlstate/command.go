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
	// Section is a command of the opaque section.
	Section []byte `msgpack:"s,omitempty"`
}

// Register adds a member and supersedes its lower incarnations.
type Register struct {
	Member Member `msgpack:"m"`
}

// Remove deletes a member that can no longer hold a lease.
type Remove struct {
	Key MemberKey `msgpack:"k"`
}

// AddDatabase adds a database to a group, or updates its record. The first
// primary that announces itself creates the group.
type AddDatabase struct {
	Group    topo.GroupID `msgpack:"g"`
	Database Database     `msgpack:"d"`
	// CreateGroup creates the group, with this database as the primary of Term, if
	// it does not exist.
	CreateGroup bool      `msgpack:"f"`
	Term        topo.Term `msgpack:"t"`
}

// RetireDatabase marks a database for removal. It is refused for the primary
// and while a failover of the group is in progress.
type RetireDatabase struct {
	Group topo.GroupID    `msgpack:"g"`
	ID    topo.UpstreamID `msgpack:"i"`
}

// RemoveDatabase removes a retiring database. The caller has ensured that two
// of the other databases hold every acknowledged write.
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

// ChoosePrimary names the only database that may be promoted under Term.
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
	// Began is set for databases that number their terms themselves: it holds
	// their term and its start. Zero means Term and the Start of ChoosePrimary.
	Began topo.TermStart `msgpack:"b,omitempty"`
}

// PrepareEpoch prepares the next epoch. It replaces an epoch that was
// prepared but not activated.
type PrepareEpoch struct {
	Epoch Epoch `msgpack:"e"`
}

// ActivateEpoch makes the prepared epoch the active one.
type ActivateEpoch struct {
	Number uint64 `msgpack:"n"`
}

// Result is the result of every command except Section, whose result the section
// encodes itself.
type Result struct {
	// Refused is the reason for refusing the command, empty if it was applied.
	Refused string `msgpack:"r,omitempty"`
}

// Encode returns the command as log data.
func (c Command) Encode() ([]byte, error) { return msgpack.Marshal(&c) }

// DecodeResult decodes a result that Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("control state: result: %w", err)
	}
	return r, nil
}
