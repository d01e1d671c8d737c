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
	// demoteVoterAfter is how long a voter may be unresponsive before the leader
	// demotes it to a learner, if there are more voters than wanted.
	demoteVoterAfter = time.Second
	// evictLearnerAfter is how long a learner may be unresponsive before its place may
	// go to a joining node, and forgetLearnerAfter before it is removed in any case.
	// Until then the leader's heartbeats reach it as soon as it returns.
	evictLearnerAfter  = 2 * time.Second
	forgetLearnerAfter = 10 * time.Minute
	// promotionTimeout is how long the leader waits for a marked learner to catch up
	// before it goes on with others.
	promotionTimeout = 2 * time.Second
	// unmarkLearnerAfter is how long a marked learner may be unresponsive while voters
	// are missing.
	unmarkLearnerAfter = 10 * time.Second
)

// reconcileMembers maintains the wanted number of active voters. It makes at
// most one membership change; the next one waits until that change is
// committed.
func (n *Node) reconcileMembers() {
	if n.cfg.Voters == 0 || n.log.membersIndex() > n.log.commit {
		return
	}
	if n.admitJoining() || n.markLearnerForPromotion() || n.demoteUnresponsive() || n.unmarkUnresponsive() {
		return
	}
	n.removeLearnerSilentFor(forgetLearnerAfter)
}

// admitJoining adds a node with a pending join request as a learner.
func (n *Node) admitJoining() bool {
	for _, addr := range slices.Sorted(maps.Keys(n.joinRequests)) {
		request := n.joinRequests[addr]
		if n.now.Sub(request.at) > joinRequestTTL {
			delete(n.joinRequests, addr)
			continue
		}
		if len(n.log.membership()) >= maxMembers {
			return n.removeLearnerSilentFor(evictLearnerAfter)
		}
		if _, _, err := n.AddLearner(Member{ID: request.id, Addr: addr}); err == nil {
			delete(n.joinRequests, addr)
			return true
		}
	}
	return false
}

// markLearnerForPromotion marks the responsive learner that has stored most for
// promotion if voters are missing.
func (n *Node) markLearnerForPromotion() bool {
	if n.promotionPending() || !n.needsVoters() {
		return false
	}
	var best Member
	members := n.log.membership()
	for _, m := range members {
		if m.Voter || m.PromoteWhenCaughtUp || !n.isResponsive(m.ID) {
			continue
		}
		if best.ID == "" || n.matchOf(m.ID) > n.matchOf(best.ID) {
			best = m
		}
	}
	if best.ID == "" {
		return false
	}
	best.PromoteWhenCaughtUp = true
	_, _, err := n.changeMembers(ChangeMarked, best, members.With(best))
	return err == nil
}

// promotionPending reports whether an active learner has been marked for promotion
// lately.
func (n *Node) promotionPending() bool {
	return slices.ContainsFunc(n.log.membership(), func(m Member) bool {
		return !m.Voter && m.PromoteWhenCaughtUp && n.isActive(m.ID) && n.now.Sub(n.progress[m.ID].markedSince) < promotionTimeout
	})
}

// unmarkUnresponsive clears the mark of an unresponsive learner that others have made
// unnecessary, or that has been away for long.
func (n *Node) unmarkUnresponsive() bool {
	members := n.log.membership()
	for _, m := range members {
		if m.Voter || !m.PromoteWhenCaughtUp || n.isActive(m.ID) {
			continue
		}
		if n.needsVoters() && n.now.Sub(n.progress[m.ID].lastReply) < unmarkLearnerAfter {
			continue
		}
		m.PromoteWhenCaughtUp = false
		_, _, err := n.changeMembers(ChangeUnmarked, m, members.With(m))
		return err == nil
	}
	return false
}

// demoteUnresponsive demotes the voter that has been unresponsive for longest to a
// learner, once others have taken its place. The number of voters never falls below the
// wanted one on silence alone: a quorum of fewer voters could lose with its disks what it
// has committed.
func (n *Node) demoteUnresponsive() bool {
	members := n.log.membership()
	if len(members.Voters()) <= n.wantedVoters() {
		return false
	}
	m, silence := n.longestSilent(true)
	if silence <= demoteVoterAfter {
		return false
	}
	m.Voter = false
	_, _, err := n.changeMembers(ChangeDemoted, m, members.With(m))
	return err == nil
}

// removeLearnerSilentFor removes the learner that has been unresponsive for longest, if
// for more than the limit.
func (n *Node) removeLearnerSilentFor(limit time.Duration) bool {
	m, silence := n.longestSilent(false)
	if silence <= limit {
		return false
	}
	_, _, err := n.remove(m.ID, ChangeUnresponsive)
	return err == nil
}

// longestSilent returns the voter or learner that has not replied for the longest time.
func (n *Node) longestSilent(voter bool) (longest Member, silence time.Duration) {
	for _, m := range n.log.membership() {
		if m.ID == n.cfg.ID || m.Voter != voter {
			continue
		}
		if s := n.now.Sub(n.progress[m.ID].lastReply); s > silence {
			longest, silence = m, s
		}
	}
	return longest, silence
}

// needsVoters reports whether there are fewer active voters than wanted.
func (n *Node) needsVoters() bool {
	return n.activeVoters(n.log.membership().Voters()) < n.wantedVoters()
}

// wantedVoters returns the number of voters that the leader maintains. It counts the
// voters and the learners that could become voters: those that are responsive, and those
// that are marked, such as a voter that has lost its disk and has only just returned. It is
// odd: an even number tolerates no more failures than the odd number below it.
func (n *Node) wantedVoters() int {
	candidates := 0
	for _, m := range n.log.membership() {
		if m.Voter || m.PromoteWhenCaughtUp || n.isResponsive(m.ID) {
			candidates++
		}
	}
	wanted := min(n.cfg.Voters, candidates)
	wanted -= (wanted + 1) % 2
	return max(wanted, minVoters)
}
