package replog

import (
	"fmt"
	"slices"
)

// raftLog holds the log entries after a snapshot and the indexes that track
// their progress.
//
//	offset <= snapshot.Index <= applied <= min(commit, stable)
//	commit <= last, stable <= last
type raftLog struct {
	// snapshot is the latest snapshot taken or received. Its index never
	// decreases.
	snapshot Snapshot
	// offset and offsetTerm are the index and term of the entry just before
	// entries[0]. offset may be below the snapshot index when entries are kept for
	// slow followers.
	offset, offsetTerm uint64
	// entries follow offset without a gap.
	entries []Entry
	// stable is the last index that this node has synced.
	stable uint64
	// commit never decreases; entries up to it are never overwritten.
	commit uint64
	// applied is the last index passed to the state machine.
	applied uint64
	// members holds the memberships recorded in the log, ordered by index. The
	// first is at or below the offset or at the snapshot; the last is in effect.
	members []indexedMembers
}

type indexedMembers struct {
	index   uint64
	members Membership
}

func newLog(s StoredState) *raftLog {
	l := &raftLog{}
	l.restore(s.Snapshot)
	l.add(s.Entries)
	l.stable = l.last()
	l.commit = max(l.commit, min(s.Hard.Commit, l.last()))
	return l
}

// restore discards the log and starts again from the snapshot.
func (l *raftLog) restore(s Snapshot) {
	*l = raftLog{
		snapshot:   s,
		offset:     s.Index,
		offsetTerm: s.Term,
		stable:     s.Index,
		commit:     s.Index,
		applied:    s.Index,
		members:    []indexedMembers{{s.Index, s.Members}},
	}
}

func (l *raftLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at the index. ok is false if the log ends
// before the index or no longer holds the entry.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// add appends entries at the end.
func (l *raftLog) add(entries []Entry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("replog: appending entry %d after entry %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		if e.Kind == EntryMembers {
			l.members = append(l.members, indexedMembers{e.Index, e.Members})
		}
	}
}

// accepts reports whether entries that follow the index are in sequence and contradict no
// committed entry.
func (l *raftLog) accepts(after uint64, entries []Entry) bool {
	for i, e := range entries {
		if e.Index != after+uint64(i)+1 {
			return false
		}
		if e.Index > l.offset && e.Index <= l.commit && !l.matches(e.Index, e.Term) {
			return false
		}
	}
	return true
}

// merge appends the leader's entries that the log does not hold yet. It
// truncates the log from the first entry whose term differs.
func (l *raftLog) merge(entries []Entry) {
	for i, e := range entries {
		if e.Index <= l.offset || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		l.add(entries[i:])
		return
	}
}

// truncate drops the entries from index onwards.
func (l *raftLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("replog: cannot truncate the log at entry %d: committed up to %d", index, l.commit))
	}
	l.entries = slices.Clip(l.entries[:index-l.offset-1])
	l.stable = min(l.stable, index-1)
	l.members = slices.DeleteFunc(l.members, func(m indexedMembers) bool { return m.index >= index })
}

// slice returns the entries in (after, upTo], limited to maxBytes of data but
// always at least one entry. The caller must not modify them.
func (l *raftLog) slice(after, upTo uint64, maxBytes int) []Entry {
	if upTo <= after {
		return nil
	}
	all := l.entries[after-l.offset : upTo-l.offset]
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return slices.Clip(all[:i])
		}
	}
	return slices.Clip(all)
}

func (l *raftLog) unstable() []Entry { return l.slice(l.stable, l.last(), maxInt) }

// applicable returns the entries that are committed and synced but not applied
// yet.
func (l *raftLog) applicable() []Entry {
	return l.slice(l.applied, min(l.commit, l.stable), maxInt)
}

func (l *raftLog) commitTo(index uint64) { l.commit = max(l.commit, min(index, l.last())) }

func (l *raftLog) membership() Membership { return l.members[len(l.members)-1].members }

// membersIndex returns the index of the entry that set the current membership.
func (l *raftLog) membersIndex() uint64 { return l.members[len(l.members)-1].index }

func (l *raftLog) membersAt(index uint64) Membership {
	at := l.members[0].members
	for _, m := range l.members {
		if m.index <= index {
			at = m.members
		}
	}
	return at
}

// compact takes a snapshot at the applied index, with data as the state of the
// state machine, and drops the entries before it except the last keep.
func (l *raftLog) compact(data []byte, keep uint64) {
	term, ok := l.term(l.applied)
	if !ok {
		panic(fmt.Sprintf("replog: no term for applied index %d", l.applied))
	}
	l.snapshot = Snapshot{Index: l.applied, Term: term, Members: l.membersAt(l.applied), Data: data}
	if l.applied-l.offset <= keep {
		return
	}
	offset := l.applied - keep
	term, _ = l.term(offset)
	l.entries = slices.Clone(l.entries[offset-l.offset:])
	l.offset, l.offsetTerm = offset, term
	l.dropOldMembers()
}

// dropOldMembers keeps the membership in effect at the offset and all later
// ones.
func (l *raftLog) dropOldMembers() {
	for len(l.members) > 1 && l.members[1].index <= l.offset {
		l.members = slices.Clone(l.members[1:])
	}
}

// isUpToDate reports whether a log that ends at (index, term) is at least as up
// to date as this log, and so holds every committed entry that this log may
// hold.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// conflictHint returns the highest index at or below index whose term is at
// most term. The logs cannot agree above it.
func (l *raftLog) conflictHint(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.offset {
		have, _ := l.term(index)
		if have <= term {
			break
		}
		index--
	}
	return index
}
