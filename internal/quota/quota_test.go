package quota

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	corequota "github.com/cicadacove/cicadacove/internal/core/quota"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

const acme = "acme"

var tolerance = corequota.Tolerance{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// fleet is a number of instances with a common view and limit.
type fleet struct {
	mu      sync.Mutex
	members []ctlstate.Member
	limit   corequota.Limit
	nodes   map[topo.InstanceID]*node
}

type node struct {
	*Quota
	server *peer.Server
	leased atomic.Bool
	// silent makes the instance's server discard what it would send.
	silent atomic.Bool
}

func startFleet(t testing.TB, n int, limit corequota.Limit) *fleet {
	f := &fleet{limit: limit, nodes: map[topo.InstanceID]*node{}}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		id := topo.InstanceID(fmt.Sprintf("e%d", i))
		f.members = append(f.members, ctlstate.Member{ID: id, PeerAddr: ln.Addr().String()})
		f.nodes[id] = f.startNode(t, id, ln)
	}
	return f
}

func (f *fleet) startNode(t testing.TB, id topo.InstanceID, ln net.Listener) *node {
	n := &node{server: peer.NewServer(peer.Options{})}
	n.leased.Store(true)
	client := peer.NewClient(peer.Options{})
	n.Quota = New(Options{
		Self: id, Client: client, Server: n.server, HasLease: n.leased.Load, Tolerance: tolerance,
		Members: f.view,
		Limit: func(organisation string) (corequota.Limit, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.limit, organisation == acme
		},
	})
	go n.server.Serve(silentListener{ln, &n.silent})
	ctx, cancel := context.WithCancel(context.Background())
	go n.Run(ctx)
	t.Cleanup(func() {
		cancel()
		client.Close()
		n.server.Close()
	})
	return n
}

func (f *fleet) view() []ctlstate.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// owner returns the owner and another instance.
func (f *fleet) owner() (owner, other *node) {
	m, _ := corequota.Owner(acme, f.view())
	for id, n := range f.nodes {
		if id != m.ID {
			other = n
		}
	}
	return f.nodes[m.ID], other
}

// remove removes the owner from the view.
func (f *fleet) remove(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rest []ctlstate.Member
	for _, m := range f.members {
		if m.ID != n.options.Self {
			rest = append(rest, m)
		}
	}
	f.members = rest
}

type silentListener struct {
	net.Listener
	silent *atomic.Bool
}

func (l silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return silentConn{conn, l.silent}, err
}

type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// take makes count operations and returns how many were admitted.
func (n *node) take(t testing.TB, count int) int {
	admitted := 0
	for range count {
		retryAfter, ok := n.Take(t.Context(), acme)
		if ok {
			admitted++
		} else {
			require.Positive(t, retryAfter)
		}
	}
	return admitted
}

// Guards against limits that apply to each instance instead of to their sum.
func TestLimitIsSharedByAllInstances(t *testing.T) {
	limit := corequota.Limit{Rate: 10, Burst: 30}
	f := startFleet(t, 4, limit)
	start := time.Now()
	sum := 0
	for time.Since(start) < 300*time.Millisecond {
		for _, n := range f.nodes {
			sum += n.take(t, 1)
		}
	}
	// A new owner starts with a part of the tolerance, and the rate adds 3 operations.
	require.Greater(t, sum, 2)
	require.LessOrEqual(t, float64(sum), 0.15*28+10*time.Since(start).Seconds()+1)
}

// Guards against a limit for organisations without one.
func TestWithoutLimitEverythingIsAdmitted(t *testing.T) {
	f := startFleet(t, 2, corequota.Limit{})
	_, other := f.owner()
	require.Equal(t, 1000, other.take(t, 1000))
	_, ok := other.Take(t.Context(), "unknown")
	require.True(t, ok)
}

// Guards against callers that wait for an owner which is gone, and against an
// organisation that stays refused after its owner has left the view.
func TestOwnerClosed(t *testing.T) { testLostOwner(t, func(n *node) { n.server.Close() }) }

// Guards the same for an owner whose connection stays open without answers.
func TestOwnerSilent(t *testing.T) { testLostOwner(t, func(n *node) { n.silent.Store(true) }) }

// Guards the same for an owner that has lost its lease.
func TestOwnerWithoutLease(t *testing.T) { testLostOwner(t, func(n *node) { n.leased.Store(false) }) }

func testLostOwner(t *testing.T, lose func(*node)) {
	f := startFleet(t, 4, corequota.Limit{Rate: 200, Burst: 200})
	owner, other := f.owner()
	require.Eventually(t, func() bool { return other.take(t, 1) == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(corequota.PrepaidLife)
	lose(owner)
	start := time.Now()
	admitted := other.take(t, 100)
	require.Less(t, time.Since(start), time.Second, "only the first request waits for the owner")
	require.Less(t, admitted, 30, "the share and the fallback rate bound what is admitted without an owner")
	f.remove(owner)
	require.Eventually(t, func() bool { return other.take(t, 1) == 1 }, 5*time.Second, time.Millisecond)
}

// Guards against operations that are admitted twice or wait for long when an answer is
// lost: its tokens are lost, and the owner is asked again later.
func TestLostAnswer(t *testing.T) {
	f := startFleet(t, 3, corequota.Limit{Rate: 50, Burst: 10})
	owner, other := f.owner()
	require.Eventually(t, func() bool { return other.take(t, 1) == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(corequota.PrepaidLife)
	owner.silent.Store(true)
	other.take(t, 1)
	owner.silent.Store(false)
	require.Eventually(t, func() bool { return other.take(t, 1) == 1 }, 5*time.Second, time.Millisecond)
}

// Guards against an operation that outlasts its caller while the owner is silent.
func TestTakeEndsWithItsContext(t *testing.T) {
	f := startFleet(t, 2, corequota.Limit{Rate: 50, Burst: 10})
	owner, other := f.owner()
	owner.silent.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, ok := other.Take(ctx, acme)
	require.False(t, ok)
}

// Guards against a number of metrics that grows with the organisations.
func TestStatsNameTheLargest(t *testing.T) {
	q := New(Options{Server: peer.NewServer(peer.Options{})})
	for i := range 15 {
		o := q.organisation(strings.Repeat("x", i+1), time.Now())
		o.counts = Counts{Taken: uint64(i + 1), Fallback: 1, Refused: 2}
	}
	stats := q.Stats()
	require.Len(t, stats, maxNamed+1)
	require.EqualValues(t, 15, stats[0].Taken)
	require.Equal(t, Stat{Others, Counts{Taken: 1 + 2 + 3 + 4 + 5, Fallback: 5, Refused: 10}}, stats[maxNamed])
}

// BenchmarkTakeLocal measures an operation that uses a local token.
func BenchmarkTakeLocal(b *testing.B) {
	f := startFleet(b, 2, corequota.Limit{Rate: 1e9, Burst: 1e9})
	_, other := f.owner()
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		other.Take(ctx, acme)
	}
}
