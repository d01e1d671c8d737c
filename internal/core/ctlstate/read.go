package ctlstate

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Delta holds the changes of the replicated state since an index, as entry
// instances receive them.
type Delta struct {
	// Index is the log index of the state after the delta.
	Index   uint64         `msgpack:"i"`
	Groups  []GroupRecord  `msgpack:"g,omitempty"`
	Members []MemberRecord `msgpack:"m,omitempty"`
	// Epochs are the complete epochs, for a reader that lacks the base of
	// EpochSteps.
	Epochs     *Epochs     `msgpack:"e,omitempty"`
	EpochSteps *EpochSteps `msgpack:"es,omitempty"`
	// Full marks a delta that lists all members and groups.
	Full bool `msgpack:"w,omitempty"`
}

// Held is what a reader already holds.
type Held struct {
	// Index is the log index up to which it has all changes.
	Index uint64
	// Epochs is the log index of the latest change of the epochs that it has,
	// zero if it takes only complete epochs.
	Epochs uint64
}

// Since returns the changes that the reader lacks.
func (m *Machine) Since(held Held) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, index := &m.state, held.Index
	d := Delta{Index: s.Applied, Full: s.removalsTruncated(index)}
	if d.Full {
		index = 0
	}
	for _, g := range s.Groups {
		if g.Changed > index {
			d.Groups = append(d.Groups, g.clone())
		}
	}
	slices.SortFunc(d.Groups, func(a, b GroupRecord) int { return cmp.Compare(a.ID, b.ID) })
	d.Members = s.membersSince(index, d.Full)
	m.addEpochs(&d, held)
	return d
}

// addEpochs adds the changes of the epochs that the reader lacks. The caller holds
// m.mu.
func (m *Machine) addEpochs(d *Delta, held Held) {
	changed := m.state.Epochs.Changed
	if held.Epochs == 0 && changed > held.Index || held.Epochs > changed {
		e := m.state.Epochs.clone()
		d.Epochs = &e
		return
	}
	if held.Epochs == 0 || held.Epochs == changed {
		return
	}
	if steps, ok := m.epochs.since(held.Epochs); ok {
		d.EpochSteps = &steps
		return
	}
	e := m.state.Epochs.clone()
	d.Epochs = &e
}

// LatestEpochs returns the latest change of the epochs and the members that changed
// since the one before, for readers that lack nothing else.
func (m *Machine) LatestEpochs() Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	steps := m.epochs.latest()
	return Delta{EpochSteps: &steps, Members: m.state.membersSince(steps.Base, false)}
}

// removalsTruncated reports whether records of members removed after index may
// have been dropped.
func (s *state) removalsTruncated(index uint64) bool {
	if index == 0 || index > s.Applied {
		return true
	}
	return len(s.Removed) == MaxRemovedRecords && s.Removed[0].Changed > index
}

func (s *state) membersSince(index uint64, full bool) []MemberRecord {
	var list []MemberRecord
	for _, r := range s.Members {
		if r.Changed > index {
			list = append(list, *r)
		}
	}
	if !full {
		for _, r := range s.Removed {
			if r.Changed > index {
				list = append(list, r)
			}
		}
	}
	slices.SortFunc(list, func(a, b MemberRecord) int { return compareKeys(a.Key(), b.Key()) })
	return list
}

// Group returns the record of one group.
func (m *Machine) Group(id topo.GroupID) (GroupRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.state.Groups[id]
	if !ok {
		return GroupRecord{}, false
	}
	return g.clone(), true
}

// Groups returns the ids of all groups in order.
func (m *Machine) Groups() []topo.GroupID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.state.Groups))
}

// Members returns all registered members in order.
func (m *Machine) Members() []MemberRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.membersSince(0, true)
}

// Member returns one registered member.
func (m *Machine) Member(k MemberKey) (MemberRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.state.Members[k]
	if !ok {
		return MemberRecord{}, false
	}
	return *r, true
}

// HighestIncarnation returns the highest incarnation of an instance that was
// ever registered, zero for none.
func (m *Machine) HighestIncarnation(id topo.InstanceID) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Highest[id]
}

// Epochs returns the epochs of the live view.
func (m *Machine) Epochs() Epochs {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Epochs.clone()
}

// Revision returns the latest revision of the section.
func (m *Machine) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.section == nil {
		return 0
	}
	return m.section.Revision()
}

// SectionDelta returns the encoded changes that bring a reader from the given
// revision of the section to the latest one, nil if there are none.
func (m *Machine) SectionDelta(from uint64) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.section == nil {
		return nil
	}
	return m.section.Delta(from)
}
