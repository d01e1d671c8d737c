package replog

import (
	"slices"
	"strings"
	"time"
)

// Limits of a cluster.
const (
	// MaxVoters is the highest number of voting members.
	MaxVoters = 7
	// formationIndex and formationTerm are the place of the snapshot that a
	// new cluster starts from. It holds the members and no machine state.
	formationIndex = 1
	formationTerm  = 1
)

// EntryKind says what an entry is for.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryData carries a proposal for the machine.
	EntryData EntryKind = iota
	// EntryEmpty is appended by a new leader: entries of earlier terms
	// commit only through an entry of its own term.
	EntryEmpty
	// EntryMembers replaces the membership from the moment it is appended.
	EntryMembers
)

// Entry is one place of the log.
type Entry struct {
	Term    uint64     `msgpack:"t"`
	Index   uint64     `msgpack:"i"`
	Kind    EntryKind  `msgpack:"k,omitempty"`
	Data    []byte     `msgpack:"d,omitempty"`
	Members Membership `msgpack:"m,omitempty"`
}

// Member is one node of the cluster.
type Member struct {
	// ID belongs to one data folder. A node that lost its disk has a new one.
	ID string `msgpack:"id" json:"id"`
	// Addr is where peers reach the node.
	Addr string `msgpack:"a" json:"addr"`
	// Voter is false for a learner.
	Voter bool `msgpack:"v,omitempty" json:"voter"`
	// PromoteWhenCaughtUp makes the leader turn the learner into a voter once
	// it has stored all that is committed.
	PromoteWhenCaughtUp bool `msgpack:"p,omitempty" json:"promote_when_caught_up,omitempty"`
}

// String formats the member for a log line.
func (m Member) String() string {
	kind := "learner"
	if m.Voter {
		kind = "voter"
	}
	return kind + " " + m.ID + " at " + m.Addr
}

// Membership lists the members, sorted by identity. Values are never changed
// in place.
type Membership []Member

// String formats the members for a log line.
func (ms Membership) String() string {
	var names []string
	for _, m := range ms {
		names = append(names, m.String())
	}
	return strings.Join(names, ", ")
}

// Find returns the member with this identity.
func (ms Membership) Find(id string) (Member, bool) {
	for _, m := range ms {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// FindAddr returns the member at this address.
func (ms Membership) FindAddr(addr string) (Member, bool) {
	for _, m := range ms {
		if m.Addr == addr {
			return m, true
		}
	}
	return Member{}, false
}

// Voters returns the identities that count towards a quorum.
func (ms Membership) Voters() []string {
	var ids []string
	for _, m := range ms {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// With returns a copy in which m replaces the member of its identity.
func (ms Membership) With(m Member) Membership {
	out := append(ms.Without(m.ID), m)
	slices.SortFunc(out, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Without returns a copy without the member.
func (ms Membership) Without(id string) Membership {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.ID == id })
}

func (ms Membership) isVoter(id string) bool {
	m, ok := ms.Find(id)
	return ok && m.Voter
}

// HardState is what a node must have synced before it answers.
type HardState struct {
	// Cluster is the random identity of the cluster, empty while the node
	// belongs to none. Once set it never changes.
	Cluster string `msgpack:"c,omitempty"`
	// Term never falls.
	Term uint64 `msgpack:"t,omitempty"`
	// Vote is the identity voted for in Term. Within a term it changes only
	// from empty.
	Vote string `msgpack:"v,omitempty"`
	// Commit is a lower bound of the committed index. It alone is no reason
	// to sync.
	Commit uint64 `msgpack:"m,omitempty"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64     `msgpack:"i"`
	Term    uint64     `msgpack:"t"`
	Members Membership `msgpack:"m"`
	Data    []byte     `msgpack:"d,omitempty"`
}

// HasMachineState reports whether Data holds the state of the machine. The
// snapshot that forms a cluster holds the members only.
func (s Snapshot) HasMachineState() bool { return s.Index > formationIndex }

// Stored is what a node finds on its disk.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Config describes one node.
type Config struct {
	// ID is the identity that the data folder holds; Addr is where peers reach
	// this node.
	ID, Addr string
	// Peers are the addresses to ask while this node belongs to no cluster.
	// When it lists this node's address and all others answer that they belong
	// to none either, the node with the lowest address forms a cluster.
	Peers []string
	// JoinOnly forbids this node to form a cluster: its disk is empty because
	// it is new or has lost its content.
	JoinOnly bool
	// Voters is how many voters the leader keeps by itself: it admits nodes
	// that ask to join and removes voters that are silent while others can
	// take their place. Zero leaves the members to the operator.
	Voters int
	// NewCluster is the random identity of the cluster that this node may
	// form.
	NewCluster string
	// Seed drives the choice of election timeouts.
	Seed uint64
	// Now is the time at the start.
	Now time.Time
	// HeartbeatInterval separates the heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest silence of the leader after which a
	// follower campaigns, and the longest silence of a quorum that a leader
	// tolerates.
	ElectionTimeout time.Duration
	// KeepEntries is how many entries before a snapshot stay in memory for
	// followers that lag a little.
	KeepEntries uint64
	// Stored is the content of the disk.
	Stored Stored
}
