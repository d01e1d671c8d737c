package replog

import (
	"maps"
	"slices"
	"time"
)

const (
	// minVoters is the minimum number of voters that the leader maintains.
	minVoters = 3
	// maxMembers is the number of members up to which the leader admits nodes
	// automatically.
	maxMembers = 16
	// joinRequestTTL is how long a join request stays valid.
	joinRequestTTL = time.Second
	// removeVoterAfter is how long a voter may be unresponsive before the leader
	// removes it, if enough other voters are active. removeLearnerAfter is how
	// long a learner may be unresponsive.
	removeVoterAfter   = 3 * time.Second
	removeLearnerAfter = 10 * time.Second
)

// reconcileMembers maintains the wanted number of active voters. It makes at
// most one membership change; the next one waits until that change is
// committed.
func (n *Node) reconcileMembers() {
	if n.cfg.Voters == 0 || n.log.membersIndex() > n.log.commit {
		return
	}
	if n.admitJoining() || n.markLearnerForPromotion() {
		return
	}
	n.removeUnresponsive()
}

// admitJoining adds a node with a pending join request as a learner. The
// learner is marked for promotion if voters are missing.
func (n *Node) admitJoining() bool {
	if len(n.log.membership()) >= maxMembers {
		return false
	}
	for _, addr := range slices.Sorted(maps.Keys(n.joinRequests)) {
		request := n.joinRequests[addr]
		if n.now.Sub(request.at) > joinRequestTTL {
			delete(n.joinRequests, addr)
			continue
		}
		member := Member{ID: request.id, Addr: addr, PromoteWhenCaughtUp: n.needsVoters(1)}
		if _, _, err := n.AddLearner(member); err == nil {
			delete(n.joinRequests, addr)
			return true
		}
	}
	return false
}

// markLearnerForPromotion marks an active learner for promotion if voters are
// missing.
func (n *Node) markLearnerForPromotion() bool {
	members := n.log.membership()
	for _, m := range members {
		if m.Voter || !n.isActive(m.ID) {
			continue
		}
		if m.PromoteWhenCaughtUp {
			return false
		}
		if !n.needsVoters(0) {
			continue
		}
		m.PromoteWhenCaughtUp = true
		_, _, err := n.changeMembers(ChangeMarked, m, members.With(m))
		return err == nil
	}
	return false
}

// removeUnresponsive removes a member that has been unresponsive for too long.
// It removes a voter only while enough other voters are active.
func (n *Node) removeUnresponsive() {
	for _, m := range n.log.membership() {
		if m.ID == n.cfg.ID {
			continue
		}
		silence := n.now.Sub(n.progress[m.ID].lastReply)
		isDue := silence > removeLearnerAfter
		if m.Voter {
			isDue = silence > removeVoterAfter && !n.needsVoters(0)
		}
		if !isDue {
			continue
		}
		if _, _, err := n.remove(m.ID, ChangeUnresponsive); err == nil {
			return
		}
	}
}

// needsVoters reports whether there are fewer active voters than wanted,
// assuming that joining further members become active.
func (n *Node) needsVoters(joining int) bool {
	return n.activeVoters(n.log.membership().Voters()) < n.wantedVoters(joining)
}

// wantedVoters returns the number of voters that the leader maintains, assuming that
// joining further members become active. It is odd: an even number tolerates no more
// failures than the odd number below it.
func (n *Node) wantedVoters(joining int) int {
	active := joining
	for _, m := range n.log.membership() {
		if m.ID == n.cfg.ID || n.isActive(m.ID) {
			active++
		}
	}
	wanted := min(n.cfg.Voters, active)
	wanted -= (wanted + 1) % 2
	return max(wanted, minVoters)
}
