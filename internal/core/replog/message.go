package replog

// MessageKind is the type of a message.
type MessageKind uint8

// Message kinds.
const (
	// MsgPreVote asks whether the receiver would vote for the sender in
	// Message.Term, which is higher than the sender's own term.
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	// MsgVote requests a vote.
	MsgVote
	MsgVoteReply
	// MsgAppend carries the entries that follow (Index, LogTerm).
	MsgAppend
	// MsgAppendReply acknowledges the log up to Index as synced, or rejects an
	// append.
	MsgAppendReply
	// MsgHeartbeat prevents followers from starting an election. It carries
	// the commit index and the number of a confirmation round.
	MsgHeartbeat
	MsgHeartbeatReply
	// MsgSnapshot replaces the receiver's log.
	MsgSnapshot
	// MsgJoin is sent by a node without a leader to all nodes that it knows. The leader
	// admits the sender if it is no member.
	MsgJoin
	// MsgJoinReply reports whether the sender belongs to a cluster, and the addresses
	// that it knows.
	MsgJoinReply
	// MsgTransferLeadership asks a follower to start an election in order to
	// replace the leader.
	MsgTransferLeadership
)

// Message is a message between nodes. Messages may be lost, delayed, duplicated
// or reordered.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	// Cluster is the sender's cluster. Nodes ignore messages of other clusters.
	Cluster string `msgpack:"c,omitempty"`
	From    string `msgpack:"f"`
	// FromAddr is the address at which the sender can be reached.
	FromAddr string `msgpack:"fa"`
	// To is empty only in MsgJoin, because its sender has only addresses. A node
	// drops messages for another identity: after the loss of a disk the address
	// may belong to a new identity.
	To     string `msgpack:"o,omitempty"`
	ToAddr string `msgpack:"oa"`
	Term   uint64 `msgpack:"t,omitempty"`
	// Index and LogTerm identify the entry before Entries in an append, and the
	// last entry of the sender's log in a vote request. Index is the acknowledged
	// index in the reply to an append.
	Index   uint64 `msgpack:"i,omitempty"`
	LogTerm uint64 `msgpack:"lt,omitempty"`
	// Commit is the highest index that the receiver may treat as committed.
	Commit  uint64  `msgpack:"m,omitempty"`
	Entries []Entry `msgpack:"e,omitempty"`
	// Round is the number of a confirmation round within a term.
	Round    uint64    `msgpack:"r,omitempty"`
	Snapshot *Snapshot `msgpack:"s,omitempty"`
	Reject   bool      `msgpack:"x,omitempty"`
	// LeadershipTransfer marks a vote request that the leader asked for. Voters may
	// grant it although they are in contact with a leader.
	LeadershipTransfer bool `msgpack:"ho,omitempty"`
	// Hint is the highest index at which the logs may still agree, in a rejected
	// append.
	Hint uint64 `msgpack:"h,omitempty"`
	// Contacts are the addresses of other nodes that the sender knows, in a
	// MsgJoinReply.
	Contacts []string `msgpack:"pa,omitempty"`
	// LeaderAddr is the address of the leader as the sender knows it, in a MsgJoinReply.
	LeaderAddr string `msgpack:"la,omitempty"`
}

// DroppedMessage describes a malformed message that a node has ignored.
type DroppedMessage struct {
	From, FromAddr string
	Kind           MessageKind
	Reason         string
}

// fromLeader reports whether only the leader of the term sends this kind of
// message.
func (k MessageKind) fromLeader() bool {
	return k == MsgAppend || k == MsgHeartbeat || k == MsgSnapshot
}
