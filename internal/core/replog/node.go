// Package replog implements the consensus protocol (Raft) of one node of a
// replicated log: leader election, log replication, membership changes and
// leadership confirmation.
//
// The package does no I/O and reads no clock. The driver passes in messages and
// the time, and performs the work that Ready returns:
//
//	node.Tick(now)
//	node.Step(message)
//	for node.HasReady() {
//		rd := node.Ready()
//		send(rd.Early)
//		sync(rd.Hard, rd.Snapshot, rd.Entries)
//		send(rd.Messages)
//		apply(rd.Committed)
//		node.Advance(rd)
//	}
package replog

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadacove/cicadacove/internal/statechart"
)

const (
	maxInt = math.MaxInt
	// maxAppendBytes limits the data in one append. A larger entry is sent on its
	// own.
	maxAppendBytes = 1 << 20
	// maxInflightEntries limits the number of unacknowledged entries in flight to
	// a follower.
	maxInflightEntries = 4096
	// leaderlessTimeoutDivisor shortens the election timeout of a node without
	// a known leader, so that it soon retries after a split vote.
	leaderlessTimeoutDivisor = 2
	// maxUncommitted limits the number of uncommitted entries that a leader holds.
	maxUncommitted = 4096
)

// Node is the consensus state of one node. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	chart   *statechart.Chart
	actions map[string]action
	rand    *rand.Rand
	// now is the time of the latest Tick. It never goes back.
	now time.Time

	// hard is the state that the next Ready syncs; synced is the state on disk.
	// Replies that depend on hard are queued in messages, which are sent only
	// after the sync. hard.Commit is unused; log.commit holds the value.
	hard, synced HardState
	log          *raftLog
	role         Role
	// leader is the known leader of hard.Term. Within a term it changes only from
	// empty to one identity, and back to empty when a leader steps down.
	leader string
	// lastLeaderContact is when the node last received a message from the leader,
	// stopped leading, or started.
	lastLeaderContact time.Time
	// leaderSince is when this node became leader.
	leaderSince time.Time
	// electionDeadline is when a follower or candidate starts an election. It is
	// not rounded to a tick: nodes that check the time at coarse intervals would
	// start elections at the same moment and split the votes.
	electionDeadline time.Time
	// votes are the replies in the current election. A candidate's own vote is
	// added only after it has been synced.
	votes map[string]bool
	// transferring is set while the node starts an election that the leader asked
	// for.
	transferring bool

	// progress is the leader's replication state for each other member.
	progress map[string]*progress
	// heartbeatDue is when the leader sends the next heartbeats.
	heartbeatDue time.Time
	// unsent is set when appended entries have not been put in a message yet.
	unsent bool
	confirmState
	seekState
	joinState

	// early messages may be sent before the sync: they depend only on leader
	// state, and the leader's term and vote are already synced. All other messages
	// are queued in messages.
	early, messages []Message
	// received is a snapshot to store and restore from.
	received *Snapshot
	// changes are the membership changes that this leader has appended.
	changes []MemberChange
	// dropped are malformed messages that had no effect.
	dropped []DroppedMessage
	fault   error
}

// New returns a node that starts from the stored state in cfg.
func New(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		chart:   LoadChart(),
		actions: roleActions(),
		rand:    rand.New(rand.NewPCG(cfg.Seed, hash(cfg.ID))),
		now:     cfg.Now,
		hard:    cfg.Stored.Hard,
		log:     newLog(cfg.Stored),

		lastLeaderContact: cfg.Now,
	}
	n.role = Role(n.chart.Initial)
	n.hard.Commit = 0
	n.synced = n.hard
	n.restartElectionTimer()
	n.followMembership()
	if n.hasMembers() {
		n.shortenFirstElection()
	}
	return n
}

// shortenFirstElection shortens the first election timeout after a start,
// because all nodes may have restarted together. The pre-vote protects a
// running leader.
func (n *Node) shortenFirstElection() {
	spread := n.cfg.ElectionTimeout / 5
	n.electionDeadline = n.now.Add(spread/2 + time.Duration(n.rand.Int64N(int64(spread))))
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// Tick advances the node's time and handles elapsed timeouts.
func (n *Node) Tick(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.role != Learner && !n.now.Before(n.electionDeadline) {
		n.raise(evElectionTimeout)
	}
	n.seekLeader()
}

// Deadline returns when this node starts an election unless it receives a
// message from a leader first. ok is false for a leader and a learner.
func (n *Node) Deadline() (at time.Time, ok bool) {
	return n.electionDeadline, n.role != Leader && n.role != Learner
}

// Step processes a message from another node.
func (n *Node) Step(m Message) {
	if !n.acceptsMessage(m) {
		n.learnFormerPeer(m)
		return
	}
	switch m.Kind {
	case MsgJoin:
		n.onJoin(m)
		return
	case MsgJoinReply:
		n.onJoinReply(m)
		return
	}
	if n.hard.Cluster == "" {
		n.hard.Cluster = m.Cluster
	}
	if !n.checkTerm(m) {
		return
	}
	if m.Kind.fromLeader() && !n.isFromLeader(m) {
		n.drop(m, "another node leads this term")
		return
	}
	n.dispatch(m)
}

// maxDropped limits the dropped messages that one Ready reports.
const maxDropped = 16

// drop reports a malformed message, which has no effect.
func (n *Node) drop(m Message, reason string) {
	if len(n.dropped) < maxDropped {
		n.dropped = append(n.dropped, DroppedMessage{From: m.From, FromAddr: m.FromAddr, Kind: m.Kind, Reason: reason})
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case MsgPreVote:
		n.onPreVote(m)
	case MsgPreVoteReply:
		n.onPreVoteReply(m)
	case MsgVote:
		n.onVote(m)
	case MsgVoteReply:
		n.onVoteReply(m)
	case MsgAppend:
		n.onAppend(m)
	case MsgAppendReply:
		n.onAppendReply(m)
	case MsgHeartbeat:
		n.onHeartbeat(m)
	case MsgHeartbeatReply:
		n.onHeartbeatReply(m)
	case MsgSnapshot:
		n.onSnapshot(m)
	case MsgTransferLeadership:
		n.onTransferLeadership(m)
	}
}

// acceptsMessage rejects messages for another identity, of another cluster, and
// of a member that sends from a different address, because such a member runs
// on a copy of a data folder.
func (n *Node) acceptsMessage(m Message) bool {
	if m.From == n.cfg.ID {
		return false
	}
	if member, ok := n.log.membership().Find(m.From); ok && member.Addr != m.FromAddr {
		return false
	}
	if m.To != n.cfg.ID && (m.To != "" || m.Kind != MsgJoin) {
		return false
	}
	if m.Kind == MsgJoin || m.Kind == MsgJoinReply {
		return m.From != "" && m.FromAddr != "" && (m.Cluster == "" || n.hard.Cluster == "" || n.hard.Cluster == m.Cluster)
	}
	return m.Cluster != "" && (n.hard.Cluster == "" || n.hard.Cluster == m.Cluster)
}

// checkTerm compares the message's term with the node's own. It returns false
// if the message needs no further handling.
func (n *Node) checkTerm(m Message) bool {
	if m.Term > n.hard.Term {
		return n.onHigherTerm(m)
	}
	if m.Term < n.hard.Term {
		n.onLowerTerm(m)
		return false
	}
	return true
}

func (n *Node) onHigherTerm(m Message) bool {
	switch {
	case m.Kind == MsgPreVote:
		return true
	case m.Kind == MsgPreVoteReply && !m.Reject:
		return true
	case m.Kind == MsgVote && n.hasActiveLeader() && !m.LeadershipTransfer:
		return false
	}
	n.raise(evHigherTerm)
	n.hard.Term = m.Term
	n.hard.Vote = ""
	n.leader = ""
	return true
}

// onLowerTerm replies to senders that must learn of the higher term, so that a
// replaced leader steps down and a pre-candidate ends its pre-vote.
func (n *Node) onLowerTerm(m Message) {
	switch {
	case m.Kind.fromLeader():
		n.reply(m, Message{Kind: MsgAppendReply, Reject: true})
	case m.Kind == MsgPreVote:
		n.reply(m, Message{Kind: MsgPreVoteReply, Reject: true})
	}
}

// hasActiveLeader reports whether a leader is known and has sent a message
// within the minimum election timeout.
func (n *Node) hasActiveLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.lastLeaderContact) < n.cfg.ElectionTimeout
}

func (n *Node) restartElectionTimer() {
	timeout := n.cfg.ElectionTimeout
	if n.leader == "" {
		timeout /= leaderlessTimeoutDivisor
	}
	spread := time.Duration(n.rand.Int64N(int64(timeout)))
	n.electionDeadline = n.now.Add(timeout + spread)
}

// followMembership updates the role after a change of the membership or the
// commit index. A voter whose removal is not committed still votes and starts
// elections, because the others may need its log to make progress.
func (n *Node) followMembership() {
	id := n.cfg.ID
	votes := n.log.membership().isVoter(id) || n.log.membersAt(n.log.commit).isVoter(id)
	switch {
	case votes && n.role == Learner:
		n.raise(evVoterAdded)
	case !votes && n.role != Learner:
		n.raise(evVoterRemoved)
	}
}

// send queues a message with this node's cluster, identity, address and, by
// default, term.
func (n *Node) send(m Message) {
	if m.ToAddr == "" {
		member, ok := n.log.membership().Find(m.To)
		if !ok {
			return
		}
		m.ToAddr = member.Addr
	}
	m.Cluster = n.hard.Cluster
	m.From = n.cfg.ID
	m.FromAddr = n.cfg.Addr
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if m.Kind.fromLeader() {
		n.early = append(n.early, m)
		return
	}
	n.messages = append(n.messages, m)
}

func (n *Node) reply(to Message, m Message) {
	m.To = to.From
	m.ToAddr = to.FromAddr
	n.send(m)
}
