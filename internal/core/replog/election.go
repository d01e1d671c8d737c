package replog

import "github.com/cicadacove/cicadacove/internal/core/replog/quorum"

// startPreVote asks all voters whether they would vote for this node. The term
// does not change, so a node that rejoins after a partition does not disrupt
// the current leader.
func (n *Node) startPreVote() {
	n.leader = ""
	n.votes = map[string]bool{n.cfg.ID: true}
	n.requestVotes(Message{Kind: MsgPreVote, Term: n.hard.Term + 1})
	n.countPreVotes()
}

// startVote starts an election in a new term. The vote requests are sent only
// after the node's own vote has been synced.
func (n *Node) startVote() {
	n.hard.Term++
	n.hard.Vote = n.cfg.ID
	n.leader = ""
	n.votes = map[string]bool{}
	n.requestVotes(Message{Kind: MsgVote, LeadershipTransfer: n.transferring})
}

func (n *Node) requestVotes(m Message) {
	m.Index = n.log.last()
	m.LogTerm = n.log.lastTerm()
	for _, id := range n.log.membership().Voters() {
		if id != n.cfg.ID {
			m.To = id
			n.send(m)
		}
	}
}

func (n *Node) tally() quorum.Result {
	return quorum.Tally(n.log.membership().Voters(), n.votes)
}

func (n *Node) countPreVotes() {
	switch n.tally() {
	case quorum.Won:
		n.raise(evPreVoteWon)
	case quorum.Lost:
		n.raise(evVoteLost)
	}
}

func (n *Node) countVotes() {
	switch n.tally() {
	case quorum.Won:
		n.raise(evVoteWon)
	case quorum.Lost:
		n.raise(evVoteLost)
	}
}

// countOwnVote counts the candidate's vote for itself once it has been synced.
func (n *Node) countOwnVote() {
	if n.synced != n.hard || n.votes[n.cfg.ID] {
		return
	}
	n.votes[n.cfg.ID] = true
	n.countVotes()
}

// onTransferLeadership starts an election without a pre-vote at the leader's request.
func (n *Node) onTransferLeadership(m Message) {
	if n.role != Follower || m.From != n.leader {
		return
	}
	n.transferring = true
	n.raise(evTransferLeadership)
	n.transferring = false
}

// onPreVote replies to a pre-candidate. The reply is not binding.
func (n *Node) onPreVote(m Message) {
	grant := m.Term > n.hard.Term &&
		!n.hasActiveLeader() &&
		n.log.isUpToDate(m.Index, m.LogTerm)
	if !grant {
		n.reply(m, Message{Kind: MsgPreVoteReply, Reject: true})
		return
	}
	n.reply(m, Message{Kind: MsgPreVoteReply, Term: m.Term})
}

func (n *Node) onPreVoteReply(m Message) {
	if n.role != PreCandidate {
		return
	}
	if !m.Reject && m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countPreVotes()
}

// onVote replies to a candidate of the current term. A granted vote is recorded
// in hard, so the reply is sent only after the vote has been synced.
func (n *Node) onVote(m Message) {
	free := n.hard.Vote == "" && n.leader == ""
	grant := (free || n.hard.Vote == m.From) && n.log.isUpToDate(m.Index, m.LogTerm)
	if !grant {
		n.reply(m, Message{Kind: MsgVoteReply, Reject: true})
		return
	}
	n.hard.Vote = m.From
	n.restartElectionTimer()
	n.reply(m, Message{Kind: MsgVoteReply})
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}
