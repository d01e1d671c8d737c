package agent

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// fakeVoter answers registrations and counts them.
type fakeVoter struct {
	addr  string
	asked atomic.Int32
}

func startFakeVoter(t *testing.T, answer ctlwire.Answer) *fakeVoter {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	v := &fakeVoter{addr: ln.Addr().String()}
	server := peer.NewServer(peer.Options{})
	peer.Handle(server, ctlwire.KindRegister, func(context.Context, ctlwire.Register) (ctlwire.Answer, error) {
		v.asked.Add(1)
		return answer, nil
	})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return v
}

func deadAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	return ln.Addr().String()
}

// requireRegisters requires that the agent finds the leader within a few attempts.
func requireRegisters(t *testing.T, a *Agent) {
	t.Helper()
	t.Cleanup(a.opts.Client.Close)
	require.Eventually(t, func() bool {
		_, err := call[ctlwire.Answer](t.Context(), a, ctlwire.KindRegister, ctlwire.Register{Member: a.self()})
		return err == nil
	}, 5*time.Second, time.Millisecond)
}

func renewVoters(t *testing.T, a *Agent, voters ...string) {
	t.Helper()
	require.NoError(t, a.applyRenewal(time.Now(), ctlwire.Renewed{Voters: voters}))
}

// Guards against an instance that stays without control once all voters of its last renewal
// have been replaced.
func TestInstanceWhoseVotersWereReplacedAsksItsSeeds(t *testing.T) {
	leader := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.OK})
	a := newAgentWithSeeds(t, leader.addr)
	renewVoters(t, a, deadAddr(t), deadAddr(t))
	requireRegisters(t, a)
}

// Guards against the same where the seeds are dead too and a former voter redirects.
func TestInstanceWhoseVotersWereReplacedAsksFormerVoters(t *testing.T) {
	leader := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.OK})
	former := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.NotLeader, LeaderAddr: leader.addr})
	a := newAgentWithSeeds(t, deadAddr(t))
	renewVoters(t, a, former.addr, deadAddr(t))
	renewVoters(t, a, deadAddr(t), deadAddr(t))
	requireRegisters(t, a)
}

// Guards against a redirect that a voter with an outdated leader takes back.
func TestOutdatedRedirectDoesNotHideTheLeader(t *testing.T) {
	leader := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.OK})
	follower := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.NotLeader, LeaderAddr: leader.addr})
	outdated := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.NotLeader, LeaderAddr: deadAddr(t)})
	for range 20 {
		requireRegisters(t, newAgentWithSeeds(t, follower.addr, outdated.addr))
	}
}

func newAgentWithSeeds(t *testing.T, seeds ...string) *Agent {
	t.Helper()
	opts := newAgent(t, nil).opts
	opts.Client, opts.Server, opts.Voters = peer.NewClient(peer.Options{}), peer.NewServer(peer.Options{}), seeds
	a, err := New(opts)
	require.NoError(t, err)
	return a
}

// Guards against an instance whose only reachable voter is no member of the cluster and has
// no leader itself.
func TestVoterWithoutALeaderNamesOthers(t *testing.T) {
	leader := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.OK})
	follower := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.NotLeader, LeaderAddr: leader.addr})
	outsider := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.NotLeader, Contacts: []string{deadAddr(t), follower.addr}})
	requireRegisters(t, newAgentWithSeeds(t, outsider.addr))
}

// Guards against requests to seeds and former voters while the leader is known.
func TestKnownLeaderAloneIsAsked(t *testing.T) {
	leader := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.OK})
	seed := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.NotLeader, LeaderAddr: leader.addr})
	former := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.NotLeader, LeaderAddr: leader.addr})
	a := newAgentWithSeeds(t, seed.addr)
	renewVoters(t, a, former.addr)
	renewVoters(t, a, leader.addr)
	a.setLeader(leader.addr)
	for range 20 {
		requireRegisters(t, a)
	}
	require.EqualValues(t, 20, leader.asked.Load())
	require.Zero(t, seed.asked.Load()+former.asked.Load())
}

// Guards against lists that grow with each replacement, and against contacts that are never
// asked because there are many.
func TestContactsAreBoundedAndAllAsked(t *testing.T) {
	a := newAgentWithSeeds(t, "seed")
	for i := range 100 {
		renewVoters(t, a, fmt.Sprint("v", i))
	}
	require.Len(t, a.contacts, maxContacts)
	require.Equal(t, "v98", a.contacts[maxContacts-1])
	asked := map[string]bool{}
	for range 100 {
		candidates := a.leaderCandidates()
		require.Len(t, candidates, 1+maxFurtherAsked)
		for _, addr := range candidates {
			asked[addr] = true
		}
	}
	require.Len(t, asked, 2+maxContacts, "the voter, the seed and all contacts")
}

// Guards against seeds that stay those of the start.
func TestChangedSeedsAreAsked(t *testing.T) {
	leader := startFakeVoter(t, ctlwire.Answer{Status: ctlwire.OK})
	a := newAgentWithSeeds(t, deadAddr(t))
	_, err := call[ctlwire.Answer](t.Context(), a, ctlwire.KindRegister, ctlwire.Register{Member: a.self()})
	require.Error(t, err)
	a.SetSeeds([]string{leader.addr})
	requireRegisters(t, a)
}
