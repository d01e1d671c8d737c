package replog

import (
	"slices"
	"strings"
	"time"
)

// Limits of a cluster.
const (
	// MaxVoters is the maximum number of voting members.
	MaxVoters = 7
	// bootstrapIndex and bootstrapTerm are the index and term of the snapshot from
	// which a new cluster starts. It holds the members but no state of the state
	// machine.
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// EntryKind is the type of an entry.
type EntryKind uint8

// Entry kinds.
const (
	// EntryData carries a proposal for the state machine.
	EntryData EntryKind = iota
	// EntryEmpty is appended by a new leader, because entries of earlier terms are
	// committed only through an entry of its own term.
	EntryEmpty
	// EntryMembers replaces the membership as soon as it is appended.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Term    uint64     `msgpack:"t"`
	Index   uint64     `msgpack:"i"`
	Kind    EntryKind  `msgpack:"k,omitempty"`
	Data    []byte     `msgpack:"d,omitempty"`
	Members Membership `msgpack:"m,omitempty"`
}

// Member is one node of the cluster.
type Member struct {
	// ID identifies a data folder. A node that lost its disk gets a new ID.
	ID string `msgpack:"id" json:"id"`
	// Addr is the address at which peers reach the node.
	Addr string `msgpack:"a" json:"addr"`
	// Voter is false for a learner.
	Voter bool `msgpack:"v,omitempty" json:"voter"`
	// PromoteWhenCaughtUp makes the leader promote the learner to voter once it
	// has stored all committed entries.
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

// Membership is the list of members, sorted by identity. Values are never
// modified in place.
type Membership []Member

// String formats the members for a log line.
func (ms Membership) String() string {
	var names []string
	for _, m := range ms {
		names = append(names, m.String())
	}
	return strings.Join(names, ", ")
}

// Find returns the member with the identity.
func (ms Membership) Find(id string) (Member, bool) {
	for _, m := range ms {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// FindAddr returns the member with the address.
func (ms Membership) FindAddr(addr string) (Member, bool) {
	for _, m := range ms {
		if m.Addr == addr {
			return m, true
		}
	}
	return Member{}, false
}

// Voters returns the identities of the voting members.
func (ms Membership) Voters() []string {
	var ids []string
	for _, m := range ms {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// With returns a copy that contains m in place of any member with the same
// identity.
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

// HardState is the state that a node must sync before it replies.
type HardState struct {
	// Cluster is the random identity of the cluster, empty while the node belongs
	// to none. Once set it never changes.
	Cluster string `msgpack:"c,omitempty"`
	// Term never decreases.
	Term uint64 `msgpack:"t,omitempty"`
	// Vote is the identity of the node that received this node's vote in Term.
	// Within a term it changes only from empty.
	Vote string `msgpack:"v,omitempty"`
	// Commit is a lower bound of the commit index. A change of Commit alone does
	// not require a sync.
	Commit uint64 `msgpack:"m,omitempty"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64     `msgpack:"i"`
	Term    uint64     `msgpack:"t"`
	Members Membership `msgpack:"m"`
	Data    []byte     `msgpack:"d,omitempty"`
}

// HasMachineState reports whether Data holds the state of the state machine.
// The snapshot that bootstraps a cluster holds only the members.
func (s Snapshot) HasMachineState() bool { return s.Index > bootstrapIndex }

// StoredState is the state that a node reads from its disk at the start.
type StoredState struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Config is the configuration of one node.
type Config struct {
	// ID is the identity stored in the data folder. Addr is the address at which
	// peers reach this node.
	ID, Addr string
	// Peers are the addresses to contact while this node belongs to no cluster. If
	// the list contains this node's address and all the others reply that they
	// belong to no cluster either, the node with the lowest address bootstraps a
	// cluster.
	Peers []string
	// JoinOnly prevents this node from bootstrapping a cluster, because its disk
	// is empty: it is new or has lost its content.
	JoinOnly bool
	// Voters is the number of voters that the leader maintains automatically. It
	// admits nodes that request to join, and removes unresponsive voters once
	// others can replace them. Zero leaves membership changes to the operator.
	Voters int
	// NewCluster is the random identity of a cluster that this node bootstraps.
	NewCluster string
	// Seed is the seed for randomised election timeouts.
	Seed uint64
	// Now is the time at the start.
	Now time.Time
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact to a leader after which
	// a follower starts an election. It is also the maximum time for which a
	// leader stays leader without contact to a quorum.
	ElectionTimeout time.Duration
	// KeepEntries is the number of entries before a snapshot that stay in memory
	// for slow followers.
	KeepEntries uint64
	// Stored is the state read from the disk.
	Stored StoredState
}
