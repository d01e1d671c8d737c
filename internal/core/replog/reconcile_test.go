package replog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newManagedCluster returns a cluster whose leader maintains up to five voters
// automatically.
func newManagedCluster(t *testing.T, addrs ...string) *sim {
	s := newCluster(t, addrs...)
	s.voters, s.joinOnly = 5, true
	for _, n := range s.nodes {
		n.cfg.Voters = s.voters
	}
	return s
}

// nonLeaderAddr returns the address of a running node that is not the leader.
func (s *sim) nonLeaderAddr() string {
	for _, addr := range s.addrs {
		if n, runs := s.nodes[addr]; runs && n != s.mustLeader() {
			return addr
		}
	}
	s.t.Errorf("no running node besides the leader")
	return ""
}

func (s *sim) voterAddrs() []string {
	var addrs []string
	for _, m := range s.mustLeader().Status().Members {
		if m.Voter {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

func TestNewNodeReplacesFailedVoter(t *testing.T) {
	s := newManagedCluster(t, "a", "b", "c")
	s.propose(s.mustLeader(), "x")
	s.run(time.Second)
	failed := s.nonLeaderAddr()
	s.crash(failed)
	s.run(2 * time.Second)
	require.Len(t, s.voterAddrs(), 3, "a voter is kept while no other node can replace it")
	s.start("d", s.addrs)
	s.run(2 * time.Second)
	require.Contains(t, s.voterAddrs(), "d")
	s.run(demoteVoterAfter + time.Second)
	require.NotContains(t, s.voterAddrs(), failed)
	require.Len(t, s.voterAddrs(), 3)
	// The new voter counts towards the quorum: the cluster survives another loss.
	s.crash(s.nonLeaderAddr())
	s.run(2 * time.Second)
	s.propose(s.mustLeader(), "y")
	s.run(time.Second)
	s.requireState("x", "y")
}

// A voter that is out counts as lost: the leader's status tells how many further
// voters may fail.
func TestStatusTellsHowManyFurtherLossesCanBeBorne(t *testing.T) {
	s := newManagedCluster(t, "a", "b", "c")
	s.run(time.Second)
	require.Equal(t, 1, s.mustLeader().Status().FurtherLosses())
	out := s.nonLeaderAddr()
	s.crash(out)
	s.run(demoteVoterAfter + time.Second)
	require.Equal(t, 0, s.mustLeader().Status().FurtherLosses(), "a voter is out and nothing replaces it")
	s.start("d", s.addrs)
	s.run(demoteVoterAfter + 2*time.Second)
	require.Equal(t, 1, s.mustLeader().Status().FurtherLosses())
	for _, n := range s.nodes {
		if n != s.mustLeader() {
			require.Zero(t, n.Status().ActiveVoters, "only the leader knows")
		}
	}
}

// A voter that was removed while it was unavailable rejoins with its old disk.
func TestRemovedVoterRejoins(t *testing.T) {
	s := newManagedCluster(t, "a", "b", "c")
	removed := s.nonLeaderAddr()
	s.crash(removed)
	s.start("d", s.addrs)
	s.run(2*time.Second + demoteVoterAfter)
	require.NotContains(t, s.voterAddrs(), removed)
	s.propose(s.mustLeader(), "x")
	s.start(removed, s.addrs)
	s.run(3 * time.Second)
	_, isMember := s.mustLeader().Status().Members.FindAddr(removed)
	require.True(t, isMember)
	s.requireState("x")
}

func TestVotersGrowToAnOddNumber(t *testing.T) {
	s := newManagedCluster(t, "a", "b", "c")
	s.start("d", s.addrs)
	s.run(2 * time.Second)
	require.Len(t, s.voterAddrs(), 3, "a fourth voter tolerates no more losses")
	s.start("e", s.addrs)
	s.run(3 * time.Second)
	require.Len(t, s.voterAddrs(), 5)
}

// Nodes that start with an empty disk after the first start of the cluster
// never bootstrap a cluster, whatever their peers reply.
func TestJoinOnlyNodesDoNotBootstrap(t *testing.T) {
	s := newSim(t, 1)
	s.addrs, s.joinOnly = []string{"a", "b", "c"}, true
	for _, addr := range s.addrs {
		s.start(addr, s.addrs)
	}
	s.run(10 * time.Second)
	for _, n := range s.nodes {
		require.Equal(t, Learner, n.role)
	}
}

// Voters are replaced by empty nodes one after another while entries are
// appended. No committed entry may be lost.
func TestReplacingAllVotersInTurnLosesNothing(t *testing.T) {
	s := newManagedCluster(t, "a", "b", "c")
	var want []string
	for i := range 6 {
		data := fmt.Sprint("x", i)
		s.propose(s.mustLeader(), data)
		want = append(want, data)
		s.run(time.Second)
		failed := s.voterAddrs()[i%len(s.voterAddrs())]
		s.crash(failed)
		fresh := fmt.Sprint("n", i)
		s.start(fresh, s.addrs)
		s.addrs = append(s.addrs, fresh)
		s.run(3*time.Second + demoteVoterAfter)
		require.NotContains(t, s.voterAddrs(), failed)
	}
	s.requireState(want...)
}
