package voter

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

// logChanges logs changes of the role, of the members and of the nodes that
// wait to join.
func (v *Voter) logChanges(s replog.Status) {
	if s.Role != v.loggedStatus.Role {
		klog.InfoS("voter: role changed", "voter", s.ID, "role", string(s.Role), "term", s.Term, "leader", s.Leader)
	}
	if !slices.Equal(s.Members, v.loggedStatus.Members) {
		klog.Infof("voter: members are now %v", s.Members)
	}
	if s.Role == replog.Leader && s.ActiveVoters != v.loggedStatus.ActiveVoters {
		klog.InfoS("voter: active voters changed", "voter", s.ID, "active", s.ActiveVoters, "voters", len(s.Members.Voters()),
			"further_losses", s.FurtherLosses())
	}
	if !slices.Equal(s.Waiting, v.loggedStatus.Waiting) {
		klog.Infof("voter: waiting to join: %v", s.Waiting)
	}
	v.leaderless.update(s, time.Now())
	v.loggedStatus = s
}

// logMemberChanges logs the membership changes that this voter has made as the leader.
func (v *Voter) logMemberChanges(changes []replog.MemberChange) {
	for _, c := range changes {
		klog.InfoS("voter: member change", "voter", v.opts.Store.Identity(), "reason", string(c.Reason), "member", c.Member.String(),
			"index", c.Index, "voters", c.Voters, "active", c.Active, "wanted", c.Wanted)
	}
}

// logDropped logs malformed messages.
func (v *Voter) logDropped(dropped []replog.DroppedMessage) {
	for _, d := range dropped {
		klog.InfoS("voter: malformed message dropped", "voter", v.opts.Store.Identity(), "from", d.From, "address", d.FromAddr,
			"kind", int(d.Kind), "reason", d.Reason)
	}
}

// leaderlessLogAfter is the time without a leader after which it is logged, and
// leaderlessLogInterval the time between two such lines.
const (
	leaderlessLogAfter    = time.Second
	leaderlessLogInterval = 5 * time.Second
)

// leaderlessLog logs that a node has no leader, and why as far as it knows.
type leaderlessLog struct {
	// next is when the next line is due, logged whether there was one since the leader
	// was lost.
	next   time.Time
	logged bool
	// since is when the leader was lost; zero while there is one.
	since time.Time
}

func (l *leaderlessLog) update(s replog.Status, now time.Time) {
	switch {
	case s.LeaderlessSince.IsZero() && l.logged:
		klog.InfoS("voter: leader found", "voter", s.ID, "member", string(s.MemberKind()), "leader", s.Leader, "term", s.Term,
			"leaderless_ms", now.Sub(l.since).Milliseconds())
		*l = leaderlessLog{}
	case s.LeaderlessSince.IsZero():
		*l = leaderlessLog{}
	case l.since.IsZero():
		l.since, l.next = s.LeaderlessSince, s.LeaderlessSince.Add(leaderlessLogAfter)
	}
	if l.since.IsZero() || now.Before(l.next) {
		return
	}
	l.logged, l.next = true, now.Add(leaderlessLogInterval)
	klog.InfoS("voter: no leader", "voter", s.ID, "member", string(s.MemberKind()), "role", string(s.Role), "term", s.Term,
		"leaderless_ms", now.Sub(l.since).Milliseconds(), "last", s.Last, "asked", s.Search.Asked, "answered", s.Search.Answered,
		"votes_granted", s.Search.Granted, "votes_refused", s.Search.Refused, "members", s.Members.String())
}
