package grants

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/grant"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

const ledger topo.UpstreamID = "ledger-1/a"

var (
	capacity = grant.Amount{Slots: 3, Connections: 20}
	// params have short times to keep the tests fast.
	params = grant.Params{Duration: 200 * time.Millisecond, UseBound: 100 * time.Millisecond, Turn: 10 * time.Millisecond}
)

const (
	waitTimeout = 10 * time.Second
	poll        = 5 * time.Millisecond
)

// node is an entry instance in the tests.
type node struct {
	grants *Grants
	server *peer.Server
	stop   func()

	mu     sync.Mutex
	usage  Usage
	view   View
	leased bool
}

func (n *node) set(change func(*node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// startNodes starts n instances that share one upstream in epoch 1.
func startNodes(t *testing.T, n int) []*node {
	nodes := make([]*node, n)
	view := View{Epoch: firstEpoch}
	for i := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		id := topo.InstanceID(fmt.Sprintf("e%d", i))
		view.Members = append(view.Members, Member{id, ln.Addr().String()})
		nodes[i] = newNode(t, id, ln)
	}
	for _, node := range nodes {
		node.join(view)
		node.grants.SetUpstream(t.Context(), ledger, capacity)
	}
	return nodes
}

// join adds the instance to an epoch of the live view, with a lease.
func (n *node) join(view View) {
	n.set(func(n *node) {
		n.view = view
		n.leased = true
	})
}

func newNode(t *testing.T, id topo.InstanceID, ln net.Listener) *node {
	n := &node{server: peer.NewServer(peer.Options{})}
	client := peer.NewClient(peer.Options{})
	n.grants = New(Options{
		Self: id, Client: client, Server: n.server, Params: params,
		View: func() (View, bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			view := n.view
			view.Until = time.Now().Add(time.Second)
			return view, n.leased
		},
		Usage: func(topo.UpstreamID) Usage {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.usage
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.server.Serve(ln) })
	running.Go(func() { n.grants.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		n.server.Close()
		client.Close()
		running.Wait()
	})
	t.Cleanup(n.stop)
	return n
}

// setDemand changes an instance's demand and notifies its grants.
func (n *node) setDemand(busy, connections int) {
	n.set(func(n *node) {
		n.usage.Demand = grant.Demand{Busy: busy, Connections: connections}
		n.usage.Demand.Slots[1] = float64(busy)
	})
	n.grants.DemandChanged(ledger)
}

func (n *node) slots() int { return n.grants.Slots(ledger) }

// granted reports whether the instance holds a valid grant, as opposed to the
// fallback.
func (n *node) granted() bool {
	h := n.grants.holding(ledger)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Valid(time.Now())
}

func allGranted(nodes []*node) func() bool {
	return func() bool {
		for _, n := range nodes {
			if !n.granted() {
				return false
			}
		}
		return true
	}
}

func TestSharesFollowTheDemand(t *testing.T) {
	nodes := startNodes(t, 4)
	require.Eventually(t, allGranted(nodes), waitTimeout, poll)
	for _, busiest := range []int{0, 2, 3} {
		for i, n := range nodes {
			if i == busiest {
				n.setDemand(10, 14)
			} else {
				n.setDemand(0, 0)
			}
		}
		require.Eventually(t, func() bool {
			return nodes[busiest].slots() == 3 && nodes[busiest].grants.Connections(ledger) == 14
		}, waitTimeout, poll, "instance %d", busiest)
	}
}

func TestThreeSlotsTakeTurnsAmongFourInstances(t *testing.T) {
	nodes := startNodes(t, 4)
	require.Eventually(t, allGranted(nodes), waitTimeout, poll)
	for _, n := range nodes {
		n.setDemand(5, 5)
	}
	for i, n := range nodes {
		for _, want := range []int{1, 0, 1} {
			require.Eventually(t, func() bool { return n.granted() && n.slots() == want }, waitTimeout, time.Millisecond, "instance %d", i)
		}
	}
}

// owner returns the index of the instance that owns the upstream.
func owner(nodes []*node) int {
	member, _ := ownerOf(ledger, nodes[0].view)
	for i, n := range nodes {
		if n.grants.options.Self == member.ID {
			return i
		}
	}
	return -1
}

func TestLosingTheOwner(t *testing.T) {
	nodes := startNodes(t, 4)
	require.Eventually(t, allGranted(nodes), waitTimeout, poll)
	lost := owner(nodes)
	nodes[lost].stop()
	rest := append(nodes[:lost:lost], nodes[lost+1:]...)
	require.Eventually(t, func() bool { return !rest[0].granted() && rest[0].slots() == 1 }, waitTimeout, poll,
		"without the owner an instance falls back to its even share")
	require.Equal(t, 2, rest[0].grants.Connections(ledger), "the base share")
	require.Eventually(t, func() bool { return rest[0].grants.MustClose(ledger, 5) == 3 }, waitTimeout, poll)
	view := View{Epoch: firstEpoch + 1}
	for _, m := range rest[0].view.Members {
		if m.ID != nodes[lost].grants.options.Self {
			view.Members = append(view.Members, m)
		}
	}
	for _, n := range rest {
		n.set(func(n *node) { n.view = view })
		n.setDemand(5, 5)
	}
	require.Eventually(t, allGranted(rest), waitTimeout, poll)
	require.Eventually(t, func() bool {
		sum := 0
		for _, n := range rest {
			sum += n.slots()
		}
		return sum == 3 && allGranted(rest)()
	}, waitTimeout, poll, "the other instances take over the lost instance's slots")
}

func TestWithoutLeaseNothingIsGranted(t *testing.T) {
	nodes := startNodes(t, 2)
	require.Eventually(t, allGranted(nodes), waitTimeout, poll)
	for _, n := range nodes {
		n.set(func(n *node) { n.leased = false })
	}
	require.Eventually(t, func() bool { return !nodes[0].granted() && !nodes[1].granted() }, waitTimeout, poll)
}
