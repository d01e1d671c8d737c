package ctlstate

import (
	"cmp"
	"slices"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Replica is an entry instance's copy of the replicated state. It is not safe
// for concurrent use.
type Replica struct {
	// Index is the log index up to which all changes have been applied.
	Index  uint64
	Groups map[topo.GroupID]*GroupRecord
	Epochs Epochs

	members map[MemberKey]MemberRecord
	// live caches the result of Live until the next change; nil means that it is not known.
	live []Member
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		Groups:  map[topo.GroupID]*GroupRecord{},
		members: map[MemberKey]MemberRecord{},
	}
}

// Apply applies a delta and reports whether the replica changed. Records older
// than the current ones are dropped. The caller sets complete if the delta covers
// all changes since r.Index.
func (r *Replica) Apply(d Delta, complete bool) bool {
	changed := false
	for i := range d.Groups {
		changed = r.applyGroup(&d.Groups[i]) || changed
	}
	for _, m := range d.Members {
		changed = r.applyMember(m) || changed
	}
	if d.Full && complete && d.Index >= r.Index {
		r.dropMissing(d)
	}
	changed = r.applyEpochs(d) || changed
	if complete && d.Index > r.Index {
		r.Index = d.Index
	}
	if changed || d.Full {
		r.live = nil
	}
	return changed
}

// applyEpochs applies changes of the epochs. It drops older epochs, and steps that do
// not continue from the current ones.
func (r *Replica) applyEpochs(d Delta) bool {
	before := r.Epochs.Changed
	if d.Epochs != nil && d.Epochs.Changed > r.Epochs.Changed {
		r.Epochs = *d.Epochs
	}
	if d.EpochSteps != nil {
		r.Epochs, _ = d.EpochSteps.Apply(r.Epochs)
	}
	return r.Epochs.Changed != before
}

func (r *Replica) applyGroup(g *GroupRecord) bool {
	if old, ok := r.Groups[g.ID]; ok && old.Changed >= g.Changed {
		return false
	}
	r.Groups[g.ID] = g
	return true
}

func (r *Replica) applyMember(m MemberRecord) bool {
	if old, ok := r.members[m.Key()]; ok && old.Changed >= m.Changed {
		return false
	}
	if m.Removed {
		delete(r.members, m.Key())
		return true
	}
	if m.Changed <= r.Index {
		return false
	}
	r.members[m.Key()] = m
	return true
}

func (r *Replica) dropMissing(d Delta) {
	present := map[MemberKey]bool{}
	for _, m := range d.Members {
		present[m.Key()] = true
	}
	for k, m := range r.members {
		if !present[k] && m.Changed <= d.Index {
			delete(r.members, k)
		}
	}
}

// Lookup returns the known members among the given keys, ordered by ID.
func (r *Replica) Lookup(keys []MemberKey) []Member {
	list := make([]Member, 0, len(keys))
	for _, k := range keys {
		if m, ok := r.members[k]; ok {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Live returns the members of the latest epoch, prepared or active. It returns the same
// slice until the next change; the caller must not modify it.
func (r *Replica) Live() []Member {
	if r.live == nil {
		r.live = r.Lookup(r.Epochs.latest().Members)
	}
	return r.live
}
