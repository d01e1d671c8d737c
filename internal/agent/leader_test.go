package agent

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// After a restart of everything, an instance asks voters of which some do not answer
// yet. Once one of them leads and says so, the instance must not go on waiting for
// the others.
func TestAnnouncedLeaderIsAskedAtOnce(t *testing.T) {
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		return ln
	}
	silent, leaderLn := listen(), listen()
	var leads atomic.Bool
	registered := make(chan time.Time, 1)
	voter := peer.NewServer(peer.Options{})
	asked := make(chan struct{}, 16)
	peer.Handle(voter, ctlwire.KindRegister, func(context.Context, ctlwire.Register) (ctlwire.Answer, error) {
		if !leads.Load() {
			asked <- struct{}{}
			return ctlwire.Answer{Status: ctlwire.NotLeader}, nil
		}
		registered <- time.Now()
		return ctlwire.Answer{Status: ctlwire.Failed}, nil
	})
	go func() { _ = voter.Serve(leaderLn) }()
	t.Cleanup(func() { _ = voter.Close() })

	a := newAgent(t, nil)
	a.opts.Client = peer.NewClient(peer.Options{})
	t.Cleanup(a.opts.Client.Close)
	a.voters = []string{silent.Addr().String(), leaderLn.Addr().String()}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = a.renewLoop(ctx) }()
	<-asked
	leads.Store(true)
	announced := time.Now()
	_, err := a.onPublish(ctx, ctlwire.Publish{Delta: ctlstate.Delta{}, Leader: leaderLn.Addr().String()})
	require.NoError(t, err)
	require.Less(t, (<-registered).Sub(announced), a.timing.Call/4, "it asks the leader without waiting for the silent voter")
}

// An overloaded leader must not get each request from all voters. Repeated attempts
// reach every voter, since some of them may be unreachable too.
func TestRequestsAreRelayedByFewVotersAtOnce(t *testing.T) {
	a := newAgent(t, nil)
	a.voters, a.leader = []string{"v1", "v2", "v3", "v4", "v5"}, "v1"
	asked := map[string]int{}
	for range 40 {
		candidates := a.relayCandidates()
		require.Len(t, candidates, maxRelays)
		for _, addr := range candidates {
			asked[addr]++
		}
	}
	require.Len(t, asked, 4)
	require.Zero(t, asked["v1"], "the leader itself relays nothing")
	a.voters = []string{"v1", "v2"}
	require.Equal(t, []string{"v2"}, a.relayCandidates())
}

// After a restart of all instances each of them reaches many primaries for the first
// time. The leader must not get a message for each.
func TestFirstReportsOfReachablePrimariesShareAMessage(t *testing.T) {
	a := newAgent(t, nil)
	urgent := func() bool {
		select {
		case <-a.evidence.Urgent():
			return true
		default:
			return false
		}
	}
	for i := range 20 {
		a.ReportPrimary(topo.GroupID(fmt.Sprint("g", i)), 1, true)
	}
	require.False(t, urgent())
	require.Len(t, a.evidence.Take(), 20)
	a.ReportPrimary("g3", 1, false)
	require.True(t, urgent(), "a failure")
	a.ReportPrimary("g3", 1, true)
	require.True(t, urgent(), "the end of a failure")
}
