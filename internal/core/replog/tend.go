package replog

import (
	"maps"
	"slices"
	"time"
)

const (
	// minVoters is the lowest number of voters that the leader aims for.
	minVoters = 3
	// maxMembers bounds the members that the leader admits by itself.
	maxMembers = 16
	// joinFresh is how long a request to join is good for.
	joinFresh = time.Second
	// removeVoterAfter is the silence after which a voter is removed when
	// enough others answer; removeLearnerAfter is that of a learner.
	removeVoterAfter   = 3 * time.Second
	removeLearnerAfter = 10 * time.Second
)

// tendMembers keeps the wanted number of answering voters. It makes at most
// one change of members; the next one waits for its commit.
func (n *Node) tendMembers() {
	if n.cfg.Voters == 0 || n.log.membersIndex() > n.log.commit {
		return
	}
	if n.admitWaiting() || n.raiseLearner() {
		return
	}
	n.removeSilent()
}

// admitWaiting adds a node that asks to join as a learner, to be promoted if
// voters are missing.
func (n *Node) admitWaiting() bool {
	if len(n.log.membership()) >= maxMembers {
		return false
	}
	for _, addr := range slices.Sorted(maps.Keys(n.waiting)) {
		request := n.waiting[addr]
		if n.now.Sub(request.at) > joinFresh {
			delete(n.waiting, addr)
			continue
		}
		member := Member{ID: request.id, Addr: addr, PromoteWhenCaughtUp: n.lacksVoters(1)}
		if _, _, err := n.AddLearner(member); err == nil {
			delete(n.waiting, addr)
			return true
		}
	}
	return false
}

// raiseLearner marks a learner that answers for promotion if voters are
// missing.
func (n *Node) raiseLearner() bool {
	members := n.log.membership()
	for _, m := range members {
		if m.Voter || !n.hears(m.ID) {
			continue
		}
		if m.PromoteWhenCaughtUp {
			return false
		}
		if !n.lacksVoters(0) {
			continue
		}
		m.PromoteWhenCaughtUp = true
		_, _, err := n.changeMembers(members.With(m))
		return err == nil
	}
	return false
}

// removeSilent removes a member that has not answered for long. A voter goes
// only while enough other voters answer.
func (n *Node) removeSilent() {
	for _, m := range n.log.membership() {
		if m.ID == n.cfg.ID {
			continue
		}
		silence := n.now.Sub(n.progress[m.ID].heard)
		isDue := silence > removeLearnerAfter
		if m.Voter {
			isDue = silence > removeVoterAfter && !n.lacksVoters(0)
		}
		if !isDue {
			continue
		}
		if _, _, err := n.Remove(m.ID); err == nil {
			return
		}
	}
}

// lacksVoters reports whether fewer voters answer than are wanted once joining
// further members answer. The wanted number is odd: an even one tolerates no
// more losses than the odd one below it.
func (n *Node) lacksVoters(joining int) bool {
	voters, answering := 0, joining
	for _, m := range n.log.membership() {
		if m.ID != n.cfg.ID && !n.hears(m.ID) {
			continue
		}
		answering++
		if m.Voter {
			voters++
		}
	}
	wanted := min(n.cfg.Voters, answering)
	wanted -= (wanted + 1) % 2
	return voters < max(wanted, minVoters)
}

// noteStranger remembers a node that campaigns without being a member: it was
// removed while it was away and has to join again.
func (n *Node) noteStranger(m Message) {
	if n.role != Leader || n.cfg.Voters == 0 {
		return
	}
	members := n.log.membership()
	_, knownID := members.Find(m.From)
	_, knownAddr := members.FindAddr(m.FromAddr)
	if !knownID && !knownAddr {
		n.noteWaiting(m)
	}
}
