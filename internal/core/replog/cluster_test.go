package replog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (s *sim) requireState(want ...string) {
	for addr, n := range s.nodes {
		require.Equal(s.t, want, n.state, "node %s", addr)
	}
}

func TestBootstrap(t *testing.T) {
	for _, addrs := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e", "f", "g"}} {
		s := newCluster(t, addrs...)
		require.Len(t, s.mustLeader().Status().Members.Voters(), len(addrs))
		s.propose(s.mustLeader(), "x")
		s.run(time.Second)
		s.requireState("x")
	}
}

func TestBootstrapWaitsForAllPeers(t *testing.T) {
	s := newSim(t, 1, "a", "b", "c")
	s.crash("c")
	s.run(10 * time.Second)
	require.Nil(t, s.leader())
	s.start("c", s.addrs)
	s.run(3 * time.Second)
	s.mustLeader()
}

func TestLossOfTwoDisksDoesNotBootstrapNewCluster(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	s.propose(s.mustLeader(), "x")
	s.run(time.Second)
	s.loseDisk("a")
	s.loseDisk("b")
	s.start("a", s.addrs)
	s.start("b", s.addrs)
	s.run(20 * time.Second)
	require.Nil(t, s.leader())
	require.Equal(t, []string{"x"}, s.nodes["c"].state)
}

func TestLostDiskComesBackUnderNewIdentity(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	lost := "a"
	if s.mustLeader().addr == lost {
		lost = "b"
	}
	s.propose(s.mustLeader(), "x")
	s.run(time.Second)
	old := s.disks[lost].id
	s.loseDisk(lost)
	s.run(2 * time.Second)
	s.start(lost, s.addrs)
	s.run(3 * time.Second)
	members := s.mustLeader().Status().Members
	_, ok := members.Find(old)
	require.False(t, ok)
	require.Len(t, members.Voters(), 3)
	require.Equal(t, Follower, s.nodes[lost].role)
	s.requireState("x")
}

func TestSecondLossRightAfterRepairLosesNothing(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	lead := s.mustLeader()
	var others []string
	for _, addr := range s.addrs {
		if addr != lead.addr {
			others = append(others, addr)
		}
	}
	s.propose(lead, "x")
	s.run(time.Second)
	s.loseDisk(others[0])
	s.run(2 * time.Second)
	s.start(others[0], s.addrs)
	repaired := s.nodes[others[0]]
	isRepaired := func() bool { return lead.log.membersAt(lead.log.commit).isVoter(repaired.cfg.ID) }
	for range 200 {
		if isRepaired() {
			break
		}
		s.run(simStep)
	}
	require.True(t, isRepaired())
	s.propose(lead, "y")
	s.run(simStep)
	s.loseDisk(lead.addr)
	s.run(3 * time.Second)
	s.propose(s.mustLeader(), "z")
	s.run(time.Second)
	s.requireState("x", "y", "z")
}

func TestIsolatedVoterDoesNotDisruptLeader(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	lead := s.mustLeader()
	isolated := "a"
	if lead.addr == isolated {
		isolated = "b"
	}
	s.partition[isolated] = 1
	for range 60 {
		s.propose(lead, "x")
	}
	s.run(3 * time.Hour)
	term := lead.hard.Term
	require.Equal(t, term, s.nodes[isolated].hard.Term)
	s.partition[isolated] = 0
	s.run(2 * time.Second)
	require.Equal(t, Leader, lead.role)
	require.Equal(t, term, lead.hard.Term)
	require.Equal(t, lead.state, s.nodes[isolated].state)
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	old := s.mustLeader()
	s.partition[old.addr] = 1
	s.propose(old, "lost")
	old.Confirm(1)
	s.run(simElection + 4*simStep)
	require.NotEqual(t, Leader, old.role)
	require.True(t, old.refused[1])
	s.run(3 * time.Second)
	s.propose(s.mustLeader(), "kept")
	s.run(time.Second)
	s.partition[old.addr] = 0
	s.run(2 * time.Second)
	s.requireState("kept")
}

func TestConfirmBatchesRounds(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	lead := s.mustLeader()
	first := lead.round
	for request := range uint64(10) {
		lead.Confirm(request)
	}
	s.process(lead, 0)
	s.run(simStep)
	require.Len(t, lead.confirmed, 10)
	require.Equal(t, first+2, lead.round, "one round for the first request, one for all others")
}

func TestRemovedLeaderLeadsUntilItsRemovalIsCommitted(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	old := s.mustLeader()
	_, _, err := old.Remove(old.cfg.ID)
	require.NoError(t, err)
	require.Equal(t, Leader, old.role)
	s.process(old, 0)
	s.run(3 * time.Second)
	require.Equal(t, Learner, old.role)
	require.NotEqual(t, old, s.mustLeader())
}

func TestInvalidMembershipChangesAreRefused(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	lead := s.mustLeader()
	var other *simNode
	for _, n := range s.nodes {
		if n != lead {
			other = n
		}
	}
	_, _, err := other.AddLearner(Member{ID: "x", Addr: "x"})
	require.ErrorIs(t, err, ErrNotLeader)
	_, _, err = lead.AddLearner(Member{ID: "x", Addr: "a"})
	require.ErrorIs(t, err, ErrAlreadyMember)
	_, _, err = lead.Promote("x")
	require.ErrorIs(t, err, ErrNoSuchMember)
	_, _, err = lead.Replace(Member{ID: "x", Addr: other.addr})
	require.ErrorIs(t, err, ErrStillActive)
	_, _, err = lead.AddLearner(Member{ID: "x", Addr: "x"})
	require.NoError(t, err)
	_, _, err = lead.Remove(other.cfg.ID)
	require.ErrorIs(t, err, ErrChangePending)
	s.process(lead, 0)
	s.run(time.Second)
	_, _, err = lead.Promote("x")
	require.ErrorIs(t, err, ErrNotCaughtUp)
	s.crash(other.addr)
	s.run(2 * simElection)
	for _, m := range lead.Status().Members.Voters() {
		if m != lead.cfg.ID && m != other.cfg.ID {
			_, _, err = lead.Remove(m)
			require.ErrorIs(t, err, ErrQuorumAtRisk)
		}
	}
	single := newCluster(t, "a")
	_, _, err = single.mustLeader().Remove(single.mustLeader().cfg.ID)
	require.ErrorIs(t, err, ErrLastVoter)
}

func TestLostAcknowledgedEntriesAreAFault(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	lead := s.mustLeader()
	victim := "a"
	if lead.addr == victim {
		victim = "b"
	}
	s.propose(lead, "x")
	s.propose(lead, "y")
	s.run(time.Second)
	disk := s.disks[victim]
	disk.stored.Entries = disk.stored.Entries[:len(disk.stored.Entries)-1]
	s.crash(victim)
	n := s.start(victim, s.addrs)
	s.run(time.Second)
	var lost *DataLossError
	require.ErrorAs(t, n.fault, &lost)
}

func TestLeadershipTransferNeedsNoTimeout(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	old := s.mustLeader()
	s.propose(old, "x")
	require.False(t, old.TransferLeadership(), "no voter has stored the proposed entry yet")
	s.run(2 * simStep)
	term := old.hard.Term
	require.True(t, old.TransferLeadership())
	s.process(old, 0)
	s.run(simStep)
	require.Equal(t, Follower, old.role)
	require.Equal(t, term+1, s.mustLeader().hard.Term)
}
