package replog

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/replog/quorum"
)

// progress is the replication state of another member, as tracked by the leader.
type progress struct {
	// match is the highest index that the member has acknowledged as synced in
	// this term. It never decreases.
	match uint64
	// next is the index of the next entry to send; match < next.
	next uint64
	// probing is set until the leader finds the last entry on which the logs
	// agree. Meanwhile it sends one append at a time.
	probing bool
	// paused is set while a probing append is unacknowledged.
	paused bool
	// snapshotSent is when the unacknowledged snapshot was sent; zero if there is
	// none.
	snapshotSent time.Time
	// lastReply is when the member last replied in this term, or when the leader began to
	// track it. replied reports whether it has replied.
	lastReply time.Time
	replied   bool
	// markedSince is when the leader first saw the mark for promotion of a learner.
	markedSince time.Time
}

func (p *progress) trackMark(marked bool, now time.Time) {
	switch {
	case !marked:
		p.markedSince = time.Time{}
	case p.markedSince.IsZero():
		p.markedSince = now
	}
}

func (p *progress) recordReply(now time.Time) { p.lastReply, p.replied = now, true }

func (n *Node) startLeading() {
	n.leader = n.cfg.ID
	n.leaderSince = n.now
	n.heartbeatDue = n.now.Add(n.cfg.HeartbeatInterval)
	n.confirmState = confirmState{confirmed: n.confirmed, refused: n.refused}
	n.progress = map[string]*progress{}
	n.trackMembers()
	n.appendEntry(Entry{Kind: EntryEmpty})
}

func (n *Node) stopLeading() {
	n.leader = ""
	n.lastLeaderContact = n.now
	n.progress = nil
	n.refuseConfirms()
}

// trackMembers keeps the progress map in step with the membership, excluding
// this node.
func (n *Node) trackMembers() {
	members := n.log.membership()
	for id := range n.progress {
		if _, ok := members.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, m := range members {
		if m.ID == n.cfg.ID {
			continue
		}
		p := n.progress[m.ID]
		if p == nil {
			p = &progress{next: n.log.last() + 1, probing: true, lastReply: n.now}
			n.progress[m.ID] = p
		}
		p.trackMark(m.PromoteWhenCaughtUp, n.now)
	}
}

func (n *Node) appendEntry(e Entry) uint64 {
	e.Term = n.hard.Term
	e.Index = n.log.last() + 1
	n.log.add([]Entry{e})
	n.unsent = true
	return e.Index
}

// Propose appends data if this node is the leader and the number of uncommitted
// entries is below the limit. (index, term) identifies the entry: the proposal
// has succeeded once an entry with both values is applied.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.log.last()-n.log.commit >= maxUncommitted {
		return 0, 0, false
	}
	return n.appendEntry(Entry{Data: data}), n.hard.Term, true
}

// TransferLeadership transfers leadership to a voter that has stored the whole log.
// It returns false if this node is not the leader or no voter is ready. The node
// remains leader until it receives a message with the new term.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	for _, id := range n.log.membership().Voters() {
		if id != n.cfg.ID && n.isActive(id) && n.progress[id].match == n.log.last() {
			n.send(Message{Kind: MsgTransferLeadership, To: id})
			return true
		}
	}
	return false
}

func (n *Node) tickLeader() {
	if !n.quorumActive(n.log.membership().Voters()) {
		n.raise(evQuorumLost)
		return
	}
	if !n.now.Before(n.heartbeatDue) {
		n.heartbeatDue = n.now.Add(n.cfg.HeartbeatInterval)
		n.broadcastHeartbeat()
	}
	n.promoteLearners()
	n.reconcileMembers()
}

// quorumActive reports whether a majority of the voters, including this node,
// has replied within the election timeout.
func (n *Node) quorumActive(voters []string) bool {
	return n.activeVoters(voters) >= quorum.Size(len(voters))
}

// activeVoters returns how many of the voters, including this node, have replied
// within the election timeout.
func (n *Node) activeVoters(voters []string) int {
	active := 0
	for _, id := range voters {
		if id == n.cfg.ID || n.isActive(id) {
			active++
		}
	}
	return active
}

func (n *Node) isActive(id string) bool {
	p := n.progress[id]
	return p != nil && n.now.Sub(p.lastReply) <= n.cfg.ElectionTimeout
}

// isResponsive reports whether the member is active and has replied in this term. Unlike
// isActive it doesn't trust a member that the leader has only begun to track.
func (n *Node) isResponsive(id string) bool { return n.isActive(id) && n.progress[id].replied }

// unresponsive returns the members that have not replied within the election timeout.
func (n *Node) unresponsive() []string {
	return slices.DeleteFunc(n.others(), n.isActive)
}

// others returns the identities of the other members in sorted order.
func (n *Node) others() []string {
	var ids []string
	for id := range n.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) broadcastAppend() {
	for _, id := range n.others() {
		n.sendAppend(id)
	}
}

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.others() {
		commit := min(n.log.commit, n.progress[id].match)
		n.send(Message{Kind: MsgHeartbeat, To: id, Commit: commit, Round: n.round})
	}
}

// sendAppend sends the member its next entries unless a limit on outstanding
// messages has been reached. An unresponsive member gets heartbeats only, until it
// replies to one.
func (n *Node) sendAppend(id string) {
	p := n.progress[id]
	if !n.isActive(id) || p.paused || n.snapshotPending(p) || p.next-1-p.match > maxInflightEntries && !p.probing {
		return
	}
	if p.next <= n.log.offset {
		n.sendSnapshot(id)
		return
	}
	prevTerm, _ := n.log.term(p.next - 1)
	entries := n.log.slice(p.next-1, n.log.last(), maxAppendBytes)
	n.send(Message{
		Kind: MsgAppend, To: id,
		Index: p.next - 1, LogTerm: prevTerm,
		Entries: entries, Commit: n.log.commit,
	})
	if p.probing {
		p.paused = true
		return
	}
	p.next += uint64(len(entries))
}

func (n *Node) sendSnapshot(id string) {
	p := n.progress[id]
	s := n.log.snapshot
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: &s})
	p.next = s.Index + 1
	p.probing = true
	p.snapshotSent = n.now
}

// snapshotPending reports whether a snapshot has been sent and may still
// arrive.
func (n *Node) snapshotPending(p *progress) bool {
	return !p.snapshotSent.IsZero() && n.now.Sub(p.snapshotSent) < n.cfg.ElectionTimeout
}

func (n *Node) onAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recordReply(n.now)
	if m.Reject {
		n.onAppendRejected(m, p)
		return
	}
	p.paused = false
	if m.Index > p.match {
		p.match = m.Index
		p.probing = false
		p.snapshotSent = time.Time{}
		p.next = max(p.next, p.match+1)
		n.maybeCommit()
	}
	if n.role == Leader && p.next <= n.log.last() {
		n.sendAppend(m.From)
	}
}

// onAppendRejected moves back to an index at which the logs may agree. It
// ignores the rejection of an append that precedes the last acknowledged index,
// because that rejection is stale.
func (n *Node) onAppendRejected(m Message, p *progress) {
	if m.Index <= p.match {
		return
	}
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	p.probing = true
	p.paused = false
	n.sendAppend(m.From)
}

// onHeartbeatReply counts the acknowledgement and resends entries that may have
// been lost.
func (n *Node) onHeartbeatReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recordReply(n.now)
	p.paused = false
	if p.match < n.log.last() {
		if p.next-1-p.match > maxInflightEntries {
			p.next, p.probing = p.match+1, true
		}
		n.sendAppend(m.From)
	}
	n.countRoundAck(m)
}

// maybeCommit commits the entries that a majority has synced. It counts only
// entries of the current term: an entry of an earlier term may still be
// overwritten even if a majority holds it.
func (n *Node) maybeCommit() {
	var synced []uint64
	for _, id := range n.log.membership().Voters() {
		synced = append(synced, n.matchOf(id))
	}
	index := quorum.Committed(synced)
	term, ok := n.log.term(index)
	if index <= n.log.commit || !ok || term != n.hard.Term {
		return
	}
	n.log.commitTo(index)
	n.broadcastHeartbeat()
	n.startRound()
	n.followMembership()
}

// matchOf returns the index up to which the member has synced this leader's
// log. The leader's own entries count only after they have been synced.
func (n *Node) matchOf(id string) uint64 {
	if id == n.cfg.ID {
		return n.log.stable
	}
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// committedInTerm reports whether an entry of this leader's own term is
// committed. Until then the leader's commit index may be lower than that of an
// earlier leader.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.commit)
	return ok && term == n.hard.Term
}
