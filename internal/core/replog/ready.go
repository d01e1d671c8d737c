package replog

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/replog/quorum"
)

// Confirmation is the successful result of a confirmation request: this node
// was the leader at some point after the request, and every entry accepted by
// then is at or below Index.
type Confirmation struct {
	Request uint64
	Index   uint64
}

// Ready is the work that the driver must do, in the order of the fields.
type Ready struct {
	// Early messages may be sent immediately.
	Early []Message
	// Snapshot, Hard and Entries must be stored and synced together. Snapshot
	// replaces the log and the state of the state machine. Entries follow the
	// snapshot, or replace the stored entries from the first entry's index
	// onwards.
	Snapshot *Snapshot
	Hard     HardState
	Entries  []Entry
	// HardChanged reports that Hard must be synced even if there are no entries.
	HardChanged bool
	// Messages may be sent only after the sync.
	Messages []Message
	// Committed entries must be applied to the state machine.
	Committed []Entry
	// Confirmed requests may be answered once Index has been applied.
	Confirmed []Confirmation
	// Refused are confirmation requests that failed.
	Refused []uint64
	// Changes are the membership changes that this node has appended as the leader.
	Changes []MemberChange
	// Dropped are malformed messages that had no effect.
	Dropped []DroppedMessage
	// Fault is set if this node must stop because its disk lost entries that it
	// had acknowledged.
	Fault error
}

// MustSync reports whether there is anything to store.
func (rd Ready) MustSync() bool {
	return rd.HardChanged || len(rd.Entries) > 0 || rd.Snapshot != nil
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	return n.fault != nil || n.received != nil || n.unsent || n.hard != n.synced ||
		len(n.early)+len(n.messages)+len(n.confirmed)+len(n.refused)+len(n.dropped) > 0 ||
		n.log.stable < n.log.last() || n.log.applied < min(n.log.commit, n.log.stable)
}

// Ready returns the pending work. Each call must be followed by Advance before
// the next Tick or Step.
func (n *Node) Ready() Ready {
	if n.unsent && n.role == Leader {
		n.broadcastAppend()
	}
	n.unsent = false
	rd := Ready{
		Early:       n.early,
		Snapshot:    n.received,
		Hard:        n.HardState(),
		Entries:     n.log.unstable(),
		HardChanged: n.hard != n.synced,
		Messages:    n.messages,
		Committed:   n.log.applicable(),
		Confirmed:   n.confirmed,
		Refused:     n.refused,
		Changes:     n.changes,
		Dropped:     n.dropped,
		Fault:       n.fault,
	}
	n.early, n.messages, n.received = nil, nil, nil
	n.confirmed, n.refused, n.changes = nil, nil, nil
	n.dropped = nil
	return rd
}

// Advance records that the driver has done all work in rd.
func (n *Node) Advance(rd Ready) {
	n.synced = rd.Hard
	n.synced.Commit = 0
	if len(rd.Entries) > 0 {
		n.log.stable = rd.Entries[len(rd.Entries)-1].Index
	}
	if len(rd.Committed) > 0 {
		n.log.applied = rd.Committed[len(rd.Committed)-1].Index
	}
	switch n.role {
	case Candidate:
		n.countOwnVote()
	case Leader:
		n.maybeCommit()
	}
}

// HardState returns the hard state to store with entries or a snapshot.
func (n *Node) HardState() HardState {
	hard := n.hard
	hard.Commit = n.log.commit
	return hard
}

// Compact takes a snapshot at the last applied index, with data as the state of
// the state machine. It returns the snapshot to store and the entries that
// follow it.
func (n *Node) Compact(data []byte) (Snapshot, []Entry) {
	n.log.compact(data, n.cfg.KeepEntries)
	snapshot := n.log.snapshot
	return snapshot, n.log.slice(snapshot.Index, n.log.last(), maxInt)
}

// Status describes the state of a node.
type Status struct {
	// Leader is the latest leader of the term, and LeaderAddr its address while it is
	// active. A node that is no member knows only the address, which others have named.
	ID, Leader, LeaderAddr, Cluster string
	Role                            Role
	Term                            uint64
	Commit, Applied, Last           uint64
	SnapshotIndex                   uint64
	LeaderSince                     time.Time
	Members                         Membership
	// LeaderlessSince is when a node without an active leader last received a message
	// from one, or started. It is zero while a leader is active.
	LeaderlessSince time.Time
	// Contacts are the addresses of all other nodes that a node without an active leader
	// knows, and Search tells what it has asked and who has answered. They are empty while
	// a leader is active.
	Contacts []string
	Search   Search
	// WantedVoters is the number of voters that the leader maintains. It is zero on
	// other nodes.
	WantedVoters int
	// ActiveVoters is the number of voters, the leader included, that have replied
	// to the leader lately. It is zero on other nodes.
	ActiveVoters int
	// Unresponsive are the identities of the members that have not replied to the leader
	// lately. It is empty on other nodes.
	Unresponsive []string
	// Waiting are nodes that request to join at an address that no member has. An
	// operator may add them.
	Waiting Membership
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	s := Status{
		ID:            n.cfg.ID,
		Leader:        n.leader,
		Cluster:       n.hard.Cluster,
		Role:          n.role,
		Term:          n.hard.Term,
		Commit:        n.log.commit,
		Applied:       n.log.applied,
		Last:          n.log.last(),
		SnapshotIndex: n.log.snapshot.Index,
		Members:       n.log.membership(),
		Waiting:       n.joiningMembers(),
	}
	if m, ok := s.Members.Find(n.leader); ok && n.hasActiveLeader() {
		s.LeaderAddr = m.Addr
	}
	if s.LeaderAddr == "" && s.MemberKind() == NoMember {
		s.LeaderAddr = n.hintedLeaderAddr()
	}
	if n.role == Leader {
		s.LeaderSince = n.leaderSince
		s.ActiveVoters = n.activeVoters(s.Members.Voters())
		s.WantedVoters = n.wantedVoters()
		s.Unresponsive = n.unresponsive()
	}
	if !n.hasActiveLeader() {
		s.LeaderlessSince, s.Contacts = n.lastLeaderContact, n.knownAddrs()
		s.Search = n.search()
	}
	return s
}

// Search counts the answers that a node without a leader has received.
type Search struct {
	// Asked is the number of nodes that were last asked for the members, and Answered how
	// many have answered since.
	Asked, Answered int
	// Granted and Refused count the answers in the current election.
	Granted, Refused int
}

func (n *Node) search() Search {
	s := Search{Asked: n.asked, Answered: len(n.answered)}
	for id, granted := range n.votes {
		switch {
		case id == n.cfg.ID:
		case granted:
			s.Granted++
		default:
			s.Refused++
		}
	}
	return s
}

// MemberKind is how a node takes part in its cluster.
type MemberKind string

// Kinds of members.
const (
	NoMember      MemberKind = "none"
	LearnerMember MemberKind = "learner"
	VoterMember   MemberKind = "voter"
)

// MemberKind returns how the node takes part by the latest membership that it knows.
// A node that was removed may not have received its removal.
func (s Status) MemberKind() MemberKind {
	m, ok := s.Members.Find(s.ID)
	switch {
	case !ok:
		return NoMember
	case m.Voter:
		return VoterMember
	default:
		return LearnerMember
	}
}

// FurtherLosses returns how many of the active voters may still fail before the
// cluster can't commit entries. It is negative if it can't now. Only the status of
// a leader tells.
func (s Status) FurtherLosses() int {
	return s.ActiveVoters - quorum.Size(len(s.Members.Voters()))
}
