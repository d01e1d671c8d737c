package replog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newUnformed returns nodes whose first start hasn't formed a cluster: the last seed is
// not up yet.
func newUnformed(t *testing.T) *sim {
	s := newSim(t, 7)
	s.addrs = []string{"a", "b", "c"}
	for _, addr := range []string{"a", "b", "d", "e"} {
		s.start(addr, s.addrs)
	}
	s.run(300 * time.Millisecond)
	return s
}

func TestClusterFormsThoughTheLowestSeedLostItsDisk(t *testing.T) {
	s := newUnformed(t)
	s.loseDisk("a")
	s.start("c", s.addrs)
	s.run(time.Second)
	s.joinOnly = true
	s.start("a", s.addrs)
	s.run(time.Minute)
	s.mustLeader()
}

func TestClusterFormsThoughASeedIsReplaced(t *testing.T) {
	s := newUnformed(t)
	s.joinOnly = true
	s.start("n", s.addrs)
	s.run(time.Minute)
	s.mustLeader()
}

func TestSeventeenthNodeFindsTheLeader(t *testing.T) {
	var addrs []string
	for i := range 17 {
		addrs = append(addrs, fmt.Sprintf("n%02d", i))
	}
	s := newGrownCluster(t, addrs...)
	s.run(time.Minute)
	for _, addr := range addrs {
		require.Equal(t, s.mustLeader().addr, s.nodes[addr].Status().LeaderAddr, "%s has no leader", addr)
	}
}

// The places are held by learners that are gone.
func TestNodeJoinsAfterAnElectionThoughAllPlacesAreTaken(t *testing.T) {
	addrs := []string{"a", "b", "c", "d", "e", "f"}
	s := newGrownCluster(t, addrs...)
	for i := range maxMembers - len(addrs) {
		addr := fmt.Sprint("x", i)
		s.start(addr, addrs[:3])
		s.run(time.Second)
		s.crash(addr)
	}
	s.run(30 * time.Second)
	require.Len(t, s.mustLeader().Status().Members, maxMembers)
	s.crash(s.mustLeader().addr)
	s.run(2 * time.Second)
	s.start("n", s.followers()[:1])
	s.run(catchUp)
	s.requireMember("n")
}

// The members are managed by an operator, who has to see the node.
func TestWaitingNodeIsListedThoughOthersGaveUp(t *testing.T) {
	s := newCluster(t, "a", "b", "c")
	s.joinOnly = true
	for i := range maxJoinRequests {
		addr := fmt.Sprint("x", i)
		s.start(addr, s.addrs)
		s.run(time.Second)
		s.loseDisk(addr)
	}
	s.run(time.Minute)
	s.start("n", s.addrs)
	s.run(catchUp)
	_, ok := s.mustLeader().Status().Waiting.FindAddr("n")
	require.True(t, ok, "waiting: %v", s.mustLeader().Status().Waiting)
}
