// Package faultnet injects delays and partitions between the availability zones
// of a deployment that runs on loopback. Each node dials through the Network.
// The connection delays bytes by the delay between the zones of the dialer and
// the listener, and delivers none while a partition separates them. A partition
// does not reset connections.
package faultnet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Network is a set of zones with delays and partitions between them.
type Network struct {
	mu          sync.Mutex
	random      *rand.Rand
	jitter      float64
	endpoints   map[string]endpoint
	delays      map[zonePair]time.Duration
	partitioned map[zonePair]bool
	isolated    map[string]bool
	changed     chan struct{} // closed at the next change of the partitions
}

// endpoint is the zone and the name of the node of a listener or a dialer.
type endpoint struct {
	zone topo.Zone
	node string
}

type zonePair struct{ a, b topo.Zone }

func pairOf(a, b topo.Zone) zonePair {
	if a > b {
		a, b = b, a
	}
	return zonePair{a, b}
}

// New returns a network without delays and partitions. The seed determines the
// jitter.
func New(seed uint64) *Network {
	return &Network{
		random:      rand.New(rand.NewPCG(seed, seed)),
		endpoints:   make(map[string]endpoint),
		delays:      make(map[zonePair]time.Duration),
		partitioned: make(map[zonePair]bool),
		isolated:    make(map[string]bool),
		changed:     make(chan struct{}),
	}
}

// Register records the zone and the node of a listener's address.
func (n *Network) Register(addr string, zone topo.Zone, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[addr] = endpoint{zone: zone, node: node}
}

// Listen returns a function that listens on TCP and registers the address.
func (n *Network) Listen(zone topo.Zone, node string) func(addr string) (net.Listener, error) {
	return func(addr string) (net.Listener, error) {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		n.Register(listener.Addr().String(), zone, node)
		return listener, nil
	}
}

// SetDelay sets the one-way delay between two zones, or within one.
func (n *Network) SetDelay(a, b topo.Zone, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[pairOf(a, b)] = delay
}

// SetJitter adds to each delay a random part of up to fraction of it.
func (n *Network) SetJitter(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.jitter = fraction
}

// Partition starts a partition between two zones.
func (n *Network) Partition(a, b topo.Zone) {
	n.update(func() { n.partitioned[pairOf(a, b)] = true })
}

// Heal ends the partition between two zones.
func (n *Network) Heal(a, b topo.Zone) {
	n.update(func() { delete(n.partitioned, pairOf(a, b)) })
}

// Isolate partitions a node from all others. It affects the connections to the
// node's listeners and those that are dialed under its name.
func (n *Network) Isolate(node string) {
	n.update(func() { n.isolated[node] = true })
}

// Rejoin ends the isolation of a node.
func (n *Network) Rejoin(node string) {
	n.update(func() { delete(n.isolated, node) })
}

// IsolateAddr isolates the node that listens on addr.
func (n *Network) IsolateAddr(addr string) { n.Isolate(n.endpointOf(addr).node) }

// RejoinAddr ends the isolation of the node that listens on addr.
func (n *Network) RejoinAddr(addr string) { n.Rejoin(n.endpointOf(addr).node) }

// HealAll ends all partitions and isolations.
func (n *Network) HealAll() {
	n.update(func() {
		clear(n.partitioned)
		clear(n.isolated)
	})
}

func (n *Network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// endpointOf returns the endpoint of a listener's address. An unregistered
// address counts as a node of its own that is in no zone.
func (n *Network) endpointOf(addr string) endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e, ok := n.endpoints[addr]; ok {
		return e
	}
	return endpoint{node: addr}
}

// blocked reports whether a partition separates two endpoints, and returns a
// channel that is closed at the next change of the partitions.
func (n *Network) blocked(a, b endpoint) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	blocked := n.partitioned[pairOf(a.zone, b.zone)]
	if a.node != b.node {
		blocked = blocked || n.isolated[a.node] || n.isolated[b.node]
	}
	return blocked, n.changed
}

func (n *Network) delayBetween(a, b endpoint) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.delays[pairOf(a.zone, b.zone)]
	if n.jitter > 0 && d > 0 {
		d += time.Duration(n.random.Float64() * n.jitter * float64(d))
	}
	return d
}

// awaitReachable waits until no partition separates the endpoints, or done is
// closed. It reports whether they can reach each other.
func (n *Network) awaitReachable(done <-chan struct{}, a, b endpoint) bool {
	for {
		blocked, changed := n.blocked(a, b)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Dialer returns a dial function for a node in a zone. A dial to an unreachable
// address waits until ctx ends or the partition is healed.
func (n *Network) Dialer(zone topo.Zone, node string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	from := endpoint{zone: zone, node: node}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		to := n.endpointOf(addr)
		if !n.awaitReachable(ctx.Done(), from, to) {
			return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
		}
		if err := sleep(ctx, 2*n.delayBetween(from, to)); err != nil {
			return nil, fmt.Errorf("dial %s: %w", addr, err)
		}
		raw, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newConn(n, raw, from, to), nil
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
