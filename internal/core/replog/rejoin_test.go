package replog

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// catchUp is the time after its return, or its start, within which a node must be back
// among the members.
const catchUp = 4 * time.Second

// newGrownCluster returns a cluster bootstrapped by the first three addresses, with as
// many voters as the others allow.
func newGrownCluster(t *testing.T, addrs ...string) *sim {
	s := newManagedCluster(t, addrs[:3]...)
	for _, addr := range addrs[3:] {
		s.start(addr, addrs[:3])
	}
	s.addrs = addrs
	s.run(5 * time.Second)
	s.propose(s.mustLeader(), "x")
	s.run(time.Second)
	return s
}

// followers returns the addresses of the running voters that don't lead.
func (s *sim) followers() []string {
	return slices.DeleteFunc(s.voterAddrs(), func(addr string) bool {
		return s.nodes[addr] == nil || addr == s.mustLeader().addr
	})
}

// learners returns the addresses of the running members without a vote.
func (s *sim) learners() []string {
	var addrs []string
	for _, m := range s.mustLeader().Status().Members {
		if !m.Voter && s.nodes[m.Addr] != nil {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// cut separates the addresses from all others.
func (s *sim) cut(addrs ...string) {
	for _, addr := range addrs {
		s.partition[addr] = 1
	}
}

func (s *sim) heal() { s.partition = map[string]int{} }

func (s *sim) requireMember(addr string) {
	m, ok := s.mustLeader().Status().Members.FindAddr(addr)
	require.True(s.t, ok, "%s is no member: %v", addr, s.mustLeader().Status().Members)
	require.Equal(s.t, s.disks[addr].id, m.ID)
	require.Equal(s.t, s.mustLeader().state, s.nodes[addr].state)
}

func TestNewNodeJoinsThoughNoSeedLeads(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e")
	s.start("n", s.followers()[:2])
	s.run(catchUp)
	s.requireMember("n")
}

func TestNewNodeJoinsThroughASingleLearner(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e", "f")
	s.start("n", s.learners()[:1])
	s.run(catchUp)
	s.requireMember("n")
}

func TestNewNodeJoinsThroughANodeThatIsNoMember(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e")
	s.start("m", s.followers()[:1])
	s.start("n", []string{"m"})
	s.run(catchUp)
	s.requireMember("n")
}

func TestWipedVoterJoinsThoughNoSeedLeads(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e")
	wiped, seed := s.followers()[0], s.followers()[1]
	s.loseDisk(wiped)
	s.run(2 * time.Second)
	s.start(wiped, []string{wiped, seed})
	s.run(catchUp)
	s.requireMember(wiped)
	require.Contains(t, s.voterAddrs(), wiped)
}

func TestNodeJoinsWhileTheLeadershipMoves(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e")
	s.start("n", s.followers()[:2])
	for range 5 {
		s.mustLeader().TransferLeadership()
		s.process(s.mustLeader(), 0)
		s.run(200 * time.Millisecond)
	}
	s.run(catchUp)
	s.requireMember("n")
}

func TestLearnerThatWasAwayForLongReturns(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e", "f")
	away := s.learners()[0]
	s.crash(away)
	s.run(30 * time.Second)
	s.start(away, nil)
	s.run(catchUp)
	s.requireMember(away)
}

// The voter's seeds and all members that it knows have been replaced meanwhile.
func TestVoterReturnsThoughAllThatItKnewWereReplaced(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e")
	away := s.followers()[0]
	s.cut(away)
	s.run(2 * time.Second)
	for _, addr := range []string{"a", "b", "c", "d", "e"} {
		if addr == away {
			continue
		}
		s.start(addr+"2", s.voterAddrs())
		s.run(3 * time.Second)
		s.crash(addr)
		s.run(2*time.Second + demoteVoterAfter)
	}
	s.heal()
	s.run(catchUp)
	s.requireMember(away)
}

func TestVotersAreKeptWhileNothingReplacesThem(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e")
	s.cut(s.followers()[:2]...)
	s.run(time.Minute)
	require.Len(t, s.voterAddrs(), 5)
}

// One zone of three is cut off, and then the machines of another lose their disks.
func TestDisksLostRightAfterACutKeepAQuorum(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e", "f")
	zone := s.followers()[:2]
	s.cut(zone...)
	s.run(6 * time.Second)
	s.propose(s.mustLeader(), "y")
	s.run(time.Second)
	s.heal()
	s.run(catchUp)
	var wiped []string
	for _, addr := range s.voterAddrs() {
		if !slices.Contains(zone, addr) && len(wiped) < 2 {
			wiped = append(wiped, addr)
		}
	}
	for _, addr := range s.addrs {
		s.crash(addr)
	}
	for _, addr := range wiped {
		s.loseDisk(addr)
	}
	for _, addr := range s.addrs {
		s.start(addr, s.addrs[:3])
	}
	s.run(catchUp)
	s.mustLeader()
	s.requireState("x", "y")
}

func TestPlannedReplacementsAndLostDisksInOneTermKeepAQuorum(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e")
	s.start("n", s.followers()[:2])
	s.run(catchUp)
	left := s.followers()[0]
	s.crash(left)
	s.run(catchUp)
	s.start("o", s.followers()[:2])
	s.run(catchUp)
	s.crash(s.followers()[0])
	s.run(catchUp)
	wiped := s.followers()[:2]
	for _, addr := range wiped {
		s.loseDisk(addr)
		s.start(addr, s.followers()[:1])
	}
	s.run(2 * catchUp)
	require.Len(t, s.voterAddrs(), 5)
	for _, addr := range wiped {
		s.requireMember(addr)
	}
}

func TestFormerLeaderCountsItsTimeWithoutLeaderFromItsResignation(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c")
	s.run(time.Minute)
	old := s.mustLeader()
	require.True(t, old.Status().LeaderlessSince.IsZero())
	s.cut(old.addr)
	s.run(2 * time.Second)
	require.NotEqual(t, Leader, old.role)
	require.WithinDuration(t, s.now, old.Status().LeaderlessSince, 2*time.Second)
}

// Guards against instances that lose their way at a node that is no member: it names the
// nodes that it knows while it has no leader, and none otherwise.
func TestNodeWithoutALeaderNamesTheNodesThatItKnows(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e")
	require.Empty(t, s.mustLeader().Status().Contacts)
	require.Empty(t, s.nodes[s.followers()[0]].Status().Contacts)
	seed := s.followers()[0]
	s.start("n", []string{seed})
	require.Equal(t, []string{seed}, s.nodes["n"].Status().Contacts)
	s.run(catchUp)
	require.Empty(t, s.nodes["n"].Status().Contacts, "a member with a leader")
	s.cut("n")
	s.run(10 * time.Second)
	require.Subset(t, s.nodes["n"].Status().Contacts, []string{"a", "b", "c", "d", "e"})
}

// Guards against requests that wait at a node for a leader from which it receives nothing.
func TestNodeNamesOnlyAnActiveLeader(t *testing.T) {
	s := newGrownCluster(t, "a", "b", "c", "d", "e", "f")
	learner, follower := s.learners()[0], s.followers()[0]
	for _, addr := range []string{learner, follower, s.mustLeader().addr} {
		require.Equal(t, s.mustLeader().addr, s.nodes[addr].Status().LeaderAddr)
	}
	s.cut(learner)
	s.cut(follower)
	s.run(2 * time.Second)
	for _, addr := range []string{learner, follower} {
		require.Empty(t, s.nodes[addr].Status().LeaderAddr)
	}
	s.heal()
	s.run(catchUp)
	for _, addr := range []string{learner, follower} {
		require.Equal(t, s.mustLeader().addr, s.nodes[addr].Status().LeaderAddr)
	}
}
