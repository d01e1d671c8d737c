package replog

import "github.com/cicadacove/cicadacove/internal/core/replog/quorum"

// startPreVote asks all voters whether they would vote for this node. The term
// stays as it is, so a node on the far side of a cut disturbs nobody when it
// comes back.
func (n *Node) startPreVote() {
	n.leader = ""
	n.votes = map[string]bool{n.cfg.ID: true}
	n.askVoters(Message{Kind: MsgPreVote, Term: n.hard.Term + 1})
	n.countPreVotes()
}

// startVote begins a term. The requests wait for the sync of the node's own
// vote.
func (n *Node) startVote() {
	n.hard.Term++
	n.hard.Vote = n.cfg.ID
	n.leader = ""
	n.votes = map[string]bool{}
	n.askVoters(Message{Kind: MsgVote, HandOver: n.handOver})
}

func (n *Node) askVoters(m Message) {
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

// countOwnVote adds the candidate's vote for itself, which is synced now.
func (n *Node) countOwnVote() {
	if n.synced != n.hard || n.votes[n.cfg.ID] {
		return
	}
	n.votes[n.cfg.ID] = true
	n.countVotes()
}

// onHandOver campaigns at the leader's request, without a pre-vote.
func (n *Node) onHandOver(m Message) {
	if n.role != Follower || m.From != n.leader {
		return
	}
	n.handOver = true
	n.raise(evHandOver)
	n.handOver = false
}

// onPreVote answers a pre-candidate. The answer binds nobody.
func (n *Node) onPreVote(m Message) {
	n.noteStranger(m)
	grant := m.Term > n.hard.Term &&
		!n.hearsLeader() &&
		n.log.otherIsUpToDate(m.Index, m.LogTerm)
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

// onVote answers a candidate of this node's term. A granted vote is in hard,
// so the answer waits for its sync.
func (n *Node) onVote(m Message) {
	free := n.hard.Vote == "" && n.leader == ""
	grant := (free || n.hard.Vote == m.From) && n.log.otherIsUpToDate(m.Index, m.LogTerm)
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
