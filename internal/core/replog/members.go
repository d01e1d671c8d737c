package replog

import (
	"errors"
)

// Errors returned when a membership change is refused.
var (
	ErrNotLeader     = errors.New("replog: not the leader")
	ErrChangePending = errors.New("replog: the previous membership change is not committed")
	ErrNoSuchMember  = errors.New("replog: no such member")
	ErrAlreadyMember = errors.New("replog: identity or address already belongs to a member")
	ErrNotCaughtUp   = errors.New("replog: the learner has not stored all committed entries")
	ErrTooManyVoters = errors.New("replog: too many voters")
	ErrLastVoter     = errors.New("replog: the last voter cannot be removed")
	ErrQuorumAtRisk  = errors.New("replog: the responsive voters would not form a majority")
	ErrStillActive   = errors.New("replog: the member to replace is still responsive")
)

// ChangeReason tells why a leader changed the membership.
type ChangeReason string

// Reasons of membership changes.
const (
	ChangeAdded        ChangeReason = "added"
	ChangeMarked       ChangeReason = "marked for promotion"
	ChangePromoted     ChangeReason = "promoted"
	ChangeUnmarked     ChangeReason = "unmarked for promotion"
	ChangeDemoted      ChangeReason = "demoted"
	ChangeReplaced     ChangeReason = "disk lost"
	ChangeRemoved      ChangeReason = "removed"
	ChangeUnresponsive ChangeReason = "removed as unresponsive"
)

// MemberChange describes a membership change that a leader has appended.
type MemberChange struct {
	Reason ChangeReason
	Member Member
	Index  uint64
	// Voters, Active and Wanted are the numbers of voters after the change: all of
	// them, the active ones, and how many the leader maintains.
	Voters, Active, Wanted int
}

// AddLearner adds a non-voting member.
func (n *Node) AddLearner(m Member) (index, term uint64, err error) {
	members := n.log.membership()
	_, knownID := members.Find(m.ID)
	_, knownAddr := members.FindAddr(m.Addr)
	if knownID || knownAddr {
		return 0, 0, ErrAlreadyMember
	}
	m.Voter = false
	return n.changeMembers(ChangeAdded, m, members.With(m))
}

// Promote makes a learner a voter if it has stored all committed entries.
func (n *Node) Promote(id string) (index, term uint64, err error) {
	members := n.log.membership()
	m, ok := members.Find(id)
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case !ok || m.Voter:
		return 0, 0, ErrNoSuchMember
	case len(members.Voters()) >= MaxVoters:
		return 0, 0, ErrTooManyVoters
	case !n.caughtUp(id):
		return 0, 0, ErrNotCaughtUp
	}
	m.Voter = true
	m.PromoteWhenCaughtUp = false
	return n.changeMembers(ChangePromoted, m, members.With(m))
}

// Remove removes a member. It refuses to remove the last voter.
func (n *Node) Remove(id string) (index, term uint64, err error) {
	return n.remove(id, ChangeRemoved)
}

func (n *Node) remove(id string, reason ChangeReason) (index, term uint64, err error) {
	members := n.log.membership()
	m, ok := members.Find(id)
	if !ok {
		return 0, 0, ErrNoSuchMember
	}
	if m.Voter && len(members.Voters()) == 1 {
		return 0, 0, ErrLastVoter
	}
	return n.changeMembers(reason, m, members.Without(id))
}

// Replace removes the member with m's address and adds m as a learner that is
// promoted once it has caught up. It is used when a node has lost its disk. The
// change removes one voter and adds none, so it counts as a single voter
// change.
func (n *Node) Replace(m Member) (index, term uint64, err error) {
	members := n.log.membership()
	old, ok := members.FindAddr(m.Addr)
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case !ok:
		return 0, 0, ErrNoSuchMember
	case old.ID == n.cfg.ID || n.isActive(old.ID):
		return 0, 0, ErrStillActive
	}
	m.Voter = false
	m.PromoteWhenCaughtUp = old.Voter || old.PromoteWhenCaughtUp
	return n.changeMembers(ChangeReplaced, m, members.Without(old.ID).With(m))
}

// changeMembers appends a membership entry, which takes effect immediately. At
// most one such entry is uncommitted at a time, and none is appended before an
// entry of the current term is committed. This ensures that the quorums of any
// two memberships in effect at the same time intersect.
func (n *Node) changeMembers(reason ChangeReason, m Member, members Membership) (index, term uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case n.log.membersIndex() > n.log.commit || !n.committedInTerm():
		return 0, 0, ErrChangePending
	case !n.quorumActive(members.Voters()):
		return 0, 0, ErrQuorumAtRisk
	}
	index = n.appendEntry(Entry{Kind: EntryMembers, Members: members})
	n.trackMembers()
	voters := members.Voters()
	n.changes = append(n.changes, MemberChange{
		Reason: reason, Member: m, Index: index,
		Voters: len(voters), Active: n.activeVoters(voters), Wanted: n.wantedVoters(),
	})
	return index, n.hard.Term, nil
}

// caughtUp reports whether the learner is active and has synced all committed
// entries.
func (n *Node) caughtUp(id string) bool {
	return n.isActive(id) && n.progress[id].match >= n.log.commit && n.committedInTerm()
}

// promoteLearners promotes the first learner that is marked for promotion and
// has caught up.
func (n *Node) promoteLearners() {
	for _, m := range n.log.membership() {
		if m.Voter || !m.PromoteWhenCaughtUp || !n.caughtUp(m.ID) {
			continue
		}
		if n.cfg.Voters > 0 && !n.needsVoters() {
			continue
		}
		if _, _, err := n.Promote(m.ID); err == nil {
			return
		}
	}
}
