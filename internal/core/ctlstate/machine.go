package ctlstate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadacove/cicadacove/internal/codec"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Section is a part of the replicated state whose commands are opaque to the
// Machine. The Machine calls it with its lock held.
type Section interface {
	Apply(index uint64, data []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
	// Revision returns the latest revision.
	Revision() uint64
	// Delta returns the encoded changes that bring a reader from the given
	// revision to the latest one. It is empty if there are none.
	Delta(from uint64) []byte
}

// Machine is the replicated state. It implements voter.Machine.
type Machine struct {
	mu      sync.Mutex
	state   state
	section Section
	// epochs is not part of the replicated state.
	epochs epochHistory
}

// state is the content of a snapshot.
type state struct {
	Applied uint64                        `msgpack:"ap"`
	Groups  map[topo.GroupID]*GroupRecord `msgpack:"g"`
	Members map[MemberKey]*MemberRecord   `msgpack:"-"`
	List    []*MemberRecord               `msgpack:"m"`
	Removed []MemberRecord                `msgpack:"rm"`
	Epochs  Epochs                        `msgpack:"e"`
	Highest map[topo.InstanceID]uint64    `msgpack:"hi"`
	Section []byte                        `msgpack:"s"`
}

// MaxRemovedRecords bounds the records of removed members that are kept for
// deltas. A reader that lags further behind gets the full list of members.
const MaxRemovedRecords = 256

// NewMachine returns an empty machine. section may be nil.
func NewMachine(section Section) *Machine {
	return &Machine{state: newState(), section: section}
}

func newState() state {
	return state{
		Groups:  map[topo.GroupID]*GroupRecord{},
		Members: map[MemberKey]*MemberRecord{},
		Highest: map[topo.InstanceID]uint64{},
	}
}

// Apply applies one command of the log and returns its encoded result.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Applied = index
	var c Command
	if err := codec.Unmarshal(data, &c); err != nil {
		return encodeResult(Result{Refused: "malformed command"})
	}
	if c.Section != nil {
		return m.applySection(index, c.Section)
	}
	before := m.state.Epochs
	refused := m.state.apply(index, c)
	if m.state.Epochs.Changed != before.Changed {
		m.epochs.record(before, m.state.Epochs)
	}
	return encodeResult(Result{Refused: refused})
}

func (m *Machine) applySection(index uint64, data []byte) []byte {
	if m.section == nil {
		return encodeResult(Result{Refused: "no section"})
	}
	return m.section.Apply(index, data)
}

func encodeResult(r Result) []byte {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		panic(fmt.Sprintf("control state: cannot encode the result: %v", err))
	}
	return data
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state
	s.List = slices.Collect(maps.Values(s.Members))
	slices.SortFunc(s.List, func(a, b *MemberRecord) int { return compareKeys(a.Key(), b.Key()) })
	if m.section != nil {
		data, err := m.section.Snapshot()
		if err != nil {
			return nil, fmt.Errorf("control state: snapshot of the section: %w", err)
		}
		s.Section = data
	}
	return msgpack.Marshal(&s)
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	s := newState()
	if err := codec.Unmarshal(snapshot, &s); err != nil {
		return fmt.Errorf("control state: snapshot: %w", err)
	}
	for _, r := range s.List {
		s.Members[r.Key()] = r
	}
	s.List = nil
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.section != nil {
		if err := m.section.Restore(s.Section); err != nil {
			return fmt.Errorf("control state: snapshot of the section: %w", err)
		}
	}
	s.Section = nil
	m.state = s
	m.epochs = epochHistory{base: s.Epochs.Changed}
	return nil
}

func compareKeys(a, b MemberKey) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}
