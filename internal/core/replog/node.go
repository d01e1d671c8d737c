// Package replog decides for one node of a replicated log: elections, the
// order of entries, membership and confirmation of the leader.
//
// The package is pure. The driver passes messages and the time in, and carries
// out what Ready returns:
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
	// maxAppendBytes limits the data of one append; a larger entry travels
	// alone.
	maxAppendBytes = 1 << 20
	// maxInflightEntries limits the entries sent to a follower ahead of its
	// acknowledgement.
	maxInflightEntries = 4096
	// retryDivisor shortens the election timeout of a node that knows no
	// leader, so that a split vote is repeated soon.
	retryDivisor = 2
	// maxUncommitted limits the entries that a leader holds uncommitted.
	maxUncommitted = 4096
)

// Node is the state of one node. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	chart   *statechart.Chart
	actions map[string]action
	rand    *rand.Rand
	// now is the time of the latest Tick. It never falls.
	now time.Time

	// hard is what the next Ready syncs; synced is what the disk holds. An
	// answer that depends on hard is in messages, which go out only after the
	// sync. hard.Commit is unused here, log.commit holds it.
	hard, synced HardState
	log          *raftLog
	role         Role
	// leader is the known leader of hard.Term. Within a term it changes only
	// from empty to one identity, and to empty when a leader steps down.
	leader string
	// leaderContact is when the leader was last heard.
	leaderContact time.Time
	// leaderSince is the start of this node's own leadership.
	leaderSince time.Time
	// electionDeadline is when a follower or candidate campaigns. It is exact:
	// nodes that look at the time in coarse steps campaign at the same moment
	// and split the votes.
	electionDeadline time.Time
	// votes are the answers of this campaign. A candidate's own vote is added
	// only once it is synced.
	votes map[string]bool
	// handOver is set while the campaign that the leader asked for begins.
	handOver bool

	// progress is kept by a leader for each other member.
	progress map[string]*progress
	// heartbeatDue is when a leader sends the next heartbeats.
	heartbeatDue time.Time
	// unsent is set when entries were appended that no message carries yet.
	unsent bool
	confirm
	joining

	// early messages may leave before the sync: they state only what a leader
	// knows, whose term and vote are synced. All others wait in messages.
	early, messages []Message
	// received is a snapshot to store and restore.
	received *Snapshot
	fault    error
}

// New returns a node with the content of its disk.
func New(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		chart:   LoadChart(),
		actions: roleActions(),
		rand:    rand.New(rand.NewPCG(cfg.Seed, hash(cfg.ID))),
		now:     cfg.Now,
		hard:    cfg.Stored.Hard,
		log:     newLog(cfg.Stored),
	}
	n.role = Role(n.chart.Initial)
	n.hard.Commit = 0
	n.synced = n.hard
	n.restartElectionTimer()
	n.followMembership()
	if n.hasMembers() {
		n.hastenFirstElection()
	}
	return n
}

// hastenFirstElection lets a node that has started ask the others soon: all
// may have restarted together. The pre-vote keeps a running leader.
func (n *Node) hastenFirstElection() {
	spread := n.cfg.ElectionTimeout / 5
	n.electionDeadline = n.now.Add(spread/2 + time.Duration(n.rand.Int64N(int64(spread))))
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// Tick tells the node the time.
func (n *Node) Tick(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
	switch n.role {
	case Leader:
		n.tickLeader()
	case Learner:
		n.tickLearner()
	default:
		if !n.now.Before(n.electionDeadline) {
			n.raise(evElectionTimeout)
		}
	}
}

// Deadline returns when this node will campaign unless it hears a leader. ok is
// false for a leader and a learner.
func (n *Node) Deadline() (at time.Time, ok bool) {
	return n.electionDeadline, n.role != Leader && n.role != Learner
}

// Step takes in a message of another node.
func (n *Node) Step(m Message) {
	if !n.accepts(m) {
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
	n.dispatch(m)
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
	case MsgHandOver:
		n.onHandOver(m)
	}
}

// accepts refuses messages to another identity, of another cluster, and of a
// member that speaks from another address: it runs on a copy of a data folder.
func (n *Node) accepts(m Message) bool {
	if m.From == n.cfg.ID {
		return false
	}
	if member, ok := n.log.membership().Find(m.From); ok && member.Addr != m.FromAddr {
		return false
	}
	isJoin := m.Kind == MsgJoin || m.Kind == MsgJoinReply
	if m.To != n.cfg.ID && (m.To != "" || m.Kind != MsgJoin) {
		return false
	}
	if isJoin {
		return true
	}
	return m.Cluster != "" && (n.hard.Cluster == "" || n.hard.Cluster == m.Cluster)
}

// checkTerm compares the message's term with the node's own. It returns false
// when the message needs no more handling.
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
	case m.Kind == MsgVote && n.hearsLeader() && !m.HandOver:
		return false
	}
	n.raise(evHigherTerm)
	n.hard.Term = m.Term
	n.hard.Vote = ""
	n.leader = ""
	return true
}

// onLowerTerm answers senders that must learn of the higher term: a leader
// that was replaced steps down, a pre-candidate stops asking.
func (n *Node) onLowerTerm(m Message) {
	switch {
	case m.Kind.fromLeader():
		n.reply(m, Message{Kind: MsgAppendReply, Reject: true})
	case m.Kind == MsgPreVote:
		n.reply(m, Message{Kind: MsgPreVoteReply, Reject: true})
	}
}

// hearsLeader reports whether a leader is known and was heard within the
// shortest election timeout.
func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.leaderContact) < n.cfg.ElectionTimeout
}

func (n *Node) restartElectionTimer() {
	timeout := n.cfg.ElectionTimeout
	if n.leader == "" {
		timeout /= retryDivisor
	}
	spread := time.Duration(n.rand.Int64N(int64(timeout)))
	n.electionDeadline = n.now.Add(timeout + spread)
}

// followMembership moves the role after the membership or the commit index
// has changed. A voter whose removal is not committed still votes and
// campaigns: it may hold what the others need to make progress.
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

// send queues a message with the node's own particulars.
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
