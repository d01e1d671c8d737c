package replog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// committedEntry is the content of an entry at its index and term.
type committedEntry struct {
	index, term uint64
	data        string
}

// invariants checks the protocol's safety properties in a sim.
type invariants struct {
	*sim
	leaders   map[uint64]string
	committed map[uint64]committedEntry
	// accepted holds the entries that a leader reported as applied to its client.
	accepted map[uint64]committedEntry
	// maxCommittedTerm is the highest term in which a leader committed an entry of
	// its own term.
	maxCommittedTerm uint64
	// termAtConfirm maps a request to maxCommittedTerm at the time of the call;
	// acceptedAtConfirm maps it to the last accepted index.
	termAtConfirm     map[uint64]uint64
	acceptedAtConfirm map[uint64]uint64
	lastRequest       uint64
	confirms          int
	snapshotInstalls  int
}

func newInvariants(s *sim) *invariants {
	w := &invariants{
		sim: s, leaders: map[uint64]string{}, committed: map[uint64]committedEntry{}, accepted: map[uint64]committedEntry{},
		termAtConfirm: map[uint64]uint64{}, acceptedAtConfirm: map[uint64]uint64{},
	}
	s.check = w.checkReady
	return w
}

func newCommittedEntry(e Entry) committedEntry {
	data := string(e.Data)
	if e.Kind != EntryData {
		data = fmt.Sprint(e.Kind, e.Members)
	}
	return committedEntry{e.Index, e.Term, data}
}

func (w *invariants) checkReady(n *simNode, rd Ready) {
	w.checkLeader(n)
	for _, e := range rd.Committed {
		w.checkCommitted(n, e)
	}
	for _, c := range rd.Confirmed {
		w.checkConfirmed(n, c)
	}
	if rd.Snapshot != nil {
		w.snapshotInstalls++
	}
	require.NoError(w.t, rd.Fault, "node %s", n.cfg.ID)
}

// checkLeader checks that each term has at most one leader.
func (w *invariants) checkLeader(n *simNode) {
	if n.role != Leader {
		return
	}
	term := n.hard.Term
	if known, ok := w.leaders[term]; ok {
		require.Equal(w.t, known, n.cfg.ID, "two leaders in term %d", term)
	}
	w.leaders[term] = n.cfg.ID
}

// checkCommitted checks that all nodes apply the same entry at an index.
func (w *invariants) checkCommitted(n *simNode, e Entry) {
	c := newCommittedEntry(e)
	if known, ok := w.committed[e.Index]; ok {
		require.Equal(w.t, known, c, "node %s applied a different entry", n.cfg.ID)
	}
	w.committed[e.Index] = c
	if n.role == Leader {
		w.accepted[e.Index] = c
		w.maxCommittedTerm = max(w.maxCommittedTerm, e.Term)
	}
}

// checkConfirmed checks that the leader had not been replaced at the time of
// the call, and that the index covers every entry accepted by then.
func (w *invariants) checkConfirmed(n *simNode, c Confirmation) {
	w.confirms++
	require.GreaterOrEqual(w.t, n.hard.Term, w.termAtConfirm[c.Request], "confirmed by a replaced leader")
	require.GreaterOrEqual(w.t, c.Index, w.acceptedAtConfirm[c.Request], "confirmed below an accepted entry")
}

func (w *invariants) lastAccepted() uint64 {
	last := uint64(0)
	for index := range w.accepted {
		last = max(last, index)
	}
	return last
}

// checkLogs checks that two logs that hold an entry with the same index and
// term are equal up to that entry.
func (w *invariants) checkLogs() {
	known := map[[2]uint64]string{}
	for _, n := range w.nodes {
		previous := fmt.Sprint(n.log.offsetTerm)
		for _, e := range n.log.entries {
			at := [2]uint64{e.Index, e.Term}
			value := fmt.Sprint(newCommittedEntry(e), "after", previous)
			if e.Index == n.log.offset+1 {
				previous = fmt.Sprint(e.Term)
				continue
			}
			if other, ok := known[at]; ok {
				require.Equal(w.t, other, value)
			}
			known[at] = value
			previous = fmt.Sprint(e.Term)
		}
	}
}

// checkEnd heals all faults and checks that all nodes hold the accepted
// entries.
func (w *invariants) checkEnd() {
	w.settle()
	lead := w.mustLeader()
	_, _, ok := lead.Propose([]byte("#"))
	require.True(w.t, ok)
	w.process(lead, 0)
	w.run(5 * time.Second)
	for addr, n := range w.nodes {
		if _, member := lead.log.membership().Find(n.cfg.ID); member {
			require.Equal(w.t, lead.state, n.state, "node %s", addr)
			continue
		}
		all, part := strings.Join(lead.state, ""), strings.Join(n.state, "")
		require.True(w.t, strings.HasPrefix(all, part), "removed node %s: %s in %s", addr, part, all)
	}
	for index, c := range w.accepted {
		require.Equal(w.t, c, w.committed[index])
		require.LessOrEqual(w.t, index, lead.applied, "accepted entry %d is lost", index)
	}
	w.checkState(lead)
}

// checkState compares the leader's state with the committed data.
func (w *invariants) checkState(lead *simNode) {
	var want []string
	for _, index := range slices.Sorted(maps.Keys(w.committed)) {
		c := w.committed[index]
		if !strings.Contains(c.data, " ") {
			want = append(want, c.data)
		}
	}
	require.Equal(w.t, want, lead.state)
}
