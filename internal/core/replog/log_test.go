package replog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// entriesOf returns consecutive entries with the given terms, starting at index
// first.
func entriesOf(first uint64, terms ...uint64) []Entry {
	var out []Entry
	for i, term := range terms {
		out = append(out, Entry{Term: term, Index: first + uint64(i)})
	}
	return out
}

func termsOf(l *raftLog) []uint64 {
	var out []uint64
	for _, e := range l.entries {
		out = append(out, e.Term)
	}
	return out
}

func TestMerge(t *testing.T) {
	cases := []struct {
		name       string
		entries    []Entry
		wantTerms  []uint64
		wantStable uint64
	}{
		{"empty", nil, []uint64{1, 1, 2}, 3},
		{"known", entriesOf(2, 1, 2), []uint64{1, 1, 2}, 3},
		{"known and shorter", entriesOf(1, 1), []uint64{1, 1, 2}, 3},
		{"new", entriesOf(4, 2, 2), []uint64{1, 1, 2, 2, 2}, 3},
		{"overlap", entriesOf(3, 2, 3), []uint64{1, 1, 2, 3}, 3},
		{"conflict at the end", entriesOf(3, 3), []uint64{1, 1, 3}, 2},
		{"conflict before the end", entriesOf(2, 3, 3, 3), []uint64{1, 3, 3, 3}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := newLog(StoredState{Entries: entriesOf(1, 1, 1, 2)})
			l.merge(tc.entries)
			require.Equal(t, tc.wantTerms, termsOf(l))
			require.Equal(t, tc.wantStable, l.stable)
		})
	}
}

func TestMergeNeverReplacesCommittedEntries(t *testing.T) {
	l := newLog(StoredState{Entries: entriesOf(1, 1, 1, 2)})
	l.commitTo(2)
	require.Panics(t, func() { l.merge(entriesOf(2, 3)) })
}

func TestConflictHint(t *testing.T) {
	l := newLog(StoredState{Entries: entriesOf(1, 1, 1, 3, 3, 5)})
	cases := []struct{ index, term, want uint64 }{
		{9, 5, 5}, {5, 4, 4}, {5, 2, 2}, {3, 1, 2}, {4, 0, 0}, {0, 0, 0},
	}
	for _, tc := range cases {
		require.Equal(t, tc.want, l.conflictHint(tc.index, tc.term), "%+v", tc)
	}
}

func TestMembersFollowTheLog(t *testing.T) {
	one := Membership{{ID: "a", Voter: true}}
	two := one.With(Member{ID: "b"})
	l := newLog(StoredState{Snapshot: Snapshot{Index: 1, Term: 1, Members: one}})
	l.merge([]Entry{{Term: 1, Index: 2}, {Term: 1, Index: 3, Kind: EntryMembers, Members: two}})
	require.Equal(t, two, l.membership())
	require.Equal(t, one, l.membersAt(2))
	l.merge(entriesOf(3, 2, 2))
	require.Equal(t, one, l.membership(), "truncating a membership entry reverts the membership")
	l.merge([]Entry{{Term: 2, Index: 5, Kind: EntryMembers, Members: two}, {Term: 2, Index: 6}})
	l.stable, l.commit, l.applied = 6, 6, 6
	l.compact([]byte("state"), 2)
	require.Equal(t, Snapshot{Index: 6, Term: 2, Members: two, Data: []byte("state")}, l.snapshot)
	require.EqualValues(t, 4, l.offset)
	require.Equal(t, two, l.membership())
}

func TestSliceLimitsBytes(t *testing.T) {
	l := newLog(StoredState{Entries: []Entry{
		{Index: 1, Data: make([]byte, 10)}, {Index: 2, Data: make([]byte, 10)}, {Index: 3, Data: make([]byte, 10)},
	}})
	require.Len(t, l.slice(0, 3, 20), 2)
	require.Len(t, l.slice(0, 3, 5), 1, "at least one entry is returned")
	require.Len(t, l.slice(1, 3, maxInt), 2)
	require.Empty(t, l.slice(3, 3, maxInt))
}
