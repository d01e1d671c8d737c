package replog

import "fmt"

// DataLossError reports that this node's log no longer holds entries
// that it acknowledged to the leader as synced: the disk lost them.
type DataLossError struct {
	// Acknowledged is an index up to which this node has acknowledged all entries.
	// Last is the index of the last entry in its log.
	Acknowledged, Last uint64
}

func (e *DataLossError) Error() string {
	return fmt.Sprintf("replog: the log ends at entry %d but entry %d had been acknowledged", e.Last, e.Acknowledged)
}

// isFromLeader reports whether the sender of a leader's message may lead the current
// term. A term has one leader, so the message of another sender is malformed, unless it
// is a voter: then the protocol is broken.
func (n *Node) isFromLeader(m Message) bool {
	if n.leader == "" || n.leader == m.From {
		return true
	}
	return n.role == Leader && n.log.membership().isVoter(m.From)
}

// acceptLeader records the sender of a message as the leader of the current
// term.
func (n *Node) acceptLeader(m Message) {
	if n.role == Leader {
		panic(fmt.Sprintf("replog: %s and %s both lead term %d", n.cfg.ID, m.From, n.hard.Term))
	}
	n.raise(evLeaderSeen)
	n.leader = m.From
	n.lastLeaderContact = n.now
	n.contacts = nil
}

func (n *Node) onAppend(m Message) {
	if !n.log.accepts(m.Index, m.Entries) {
		n.drop(m, "entries that don't fit the log")
		return
	}
	n.acceptLeader(m)
	if m.Index < n.log.commit {
		n.reply(m, Message{Kind: MsgAppendReply, Index: n.log.commit})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint := n.log.conflictHint(m.Index, m.LogTerm)
		n.reply(m, Message{Kind: MsgAppendReply, Reject: true, Index: m.Index, Hint: hint})
		return
	}
	n.log.merge(m.Entries)
	lastNew := m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, lastNew))
	n.followMembership()
	n.reply(m, Message{Kind: MsgAppendReply, Index: lastNew})
}

// onHeartbeat advances the commit index. The leader sends no commit index above
// the last entry that this node has acknowledged, so an index beyond the end of
// the log means that the disk lost entries.
func (n *Node) onHeartbeat(m Message) {
	_, fromMember := n.log.membership().Find(m.From)
	if m.Commit > n.log.last() && !fromMember {
		n.drop(m, "commit index beyond the log")
		return
	}
	n.acceptLeader(m)
	if m.Commit > n.log.last() {
		n.fault = &DataLossError{Acknowledged: m.Commit, Last: n.log.last()}
		return
	}
	n.log.commitTo(m.Commit)
	n.followMembership()
	n.reply(m, Message{Kind: MsgHeartbeatReply, Round: m.Round})
}

func (n *Node) onSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || len(s.Members) == 0 {
		n.drop(m, "no snapshot")
		return
	}
	n.acceptLeader(m)
	switch {
	case s.Index <= n.log.commit:
		n.reply(m, Message{Kind: MsgAppendReply, Index: n.log.commit})
		return
	case n.log.matches(s.Index, s.Term):
		n.log.commitTo(s.Index)
	default:
		n.log.restore(*s)
		n.received = s
	}
	n.followMembership()
	n.reply(m, Message{Kind: MsgAppendReply, Index: s.Index})
}
