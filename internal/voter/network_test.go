package voter

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// network is a Transport between voters of one process. It loses, delays and
// duplicates messages and can be partitioned.
type network struct {
	mu                sync.Mutex
	rand              *rand.Rand
	voters            map[string]*Voter
	partition         map[string]int
	lossRate, dupRate float64
	delay             time.Duration
	sent              int
}

func newNetwork(seed uint64) *network {
	return &network{
		rand: rand.New(rand.NewPCG(seed, 2)), voters: map[string]*Voter{}, partition: map[string]int{},
		delay: time.Millisecond,
	}
}

func (n *network) Send(to string, m Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if n.rand.Float64() < n.lossRate {
		return
	}
	copies := 1
	if n.rand.Float64() < n.dupRate {
		copies++
	}
	for range copies {
		delay := n.delay/2 + time.Duration(n.rand.Int64N(int64(n.delay)))
		time.AfterFunc(delay, func() { n.deliver(to, m) })
	}
}

func (n *network) deliver(to string, m Message) {
	n.mu.Lock()
	v := n.voters[to]
	separated := n.partition[to] != n.partition[m.FromAddr]
	n.mu.Unlock()
	if v != nil && !separated {
		v.Deliver(m)
	}
}

func (n *network) setPartition(addr string, partition int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition[addr] = partition
}

// setFaultRates sets the fractions of messages to lose and to duplicate.
func (n *network) setFaultRates(loss, dup float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate, n.dupRate = loss, dup
}

// listMachine is a Machine that keeps the data of all applied entries in order.
type listMachine struct {
	mu   sync.Mutex
	list []string
}

func (m *listMachine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, string(data))
	return strconv.AppendInt(nil, int64(len(m.list)), 10)
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []byte
	for _, s := range m.list {
		out = binary.AppendUvarint(out, uint64(len(s)))
		out = append(out, s...)
	}
	return out, nil
}

func (m *listMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = nil
	for len(data) > 0 {
		size, n := binary.Uvarint(data)
		if n <= 0 || uint64(len(data)-n) < size {
			return errors.New("malformed snapshot")
		}
		m.list = append(m.list, string(data[n:n+int(size)]))
		data = data[n+int(size):]
	}
	return nil
}

func (m *listMachine) applied() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.list)
}

// runningVoter is a voter with its machine and the goroutine of Run.
type runningVoter struct {
	*Voter
	machine *listMachine
	cancel  context.CancelFunc
	group   errgroup.Group
}

// cluster runs voters that are connected by a network.
type cluster struct {
	t       testing.TB
	net     *network
	addrs   []string
	stores  map[string]Store
	voters  map[string]*runningVoter
	options func(*Options)
}

func newCluster(t testing.TB, addrs ...string) *cluster {
	c := &cluster{t: t, net: newNetwork(1), addrs: addrs, stores: map[string]Store{}, voters: map[string]*runningVoter{}}
	for _, addr := range addrs {
		c.stores[addr] = NewMemoryStore()
	}
	return c
}

func (c *cluster) startAll() {
	for _, addr := range c.addrs {
		c.start(addr)
	}
}

func (c *cluster) start(addr string) *runningVoter {
	r := &runningVoter{machine: &listMachine{}}
	o := Options{
		Addr: addr, Peers: c.addrs, Transport: c.net, Store: c.stores[addr], Machine: r.machine,
		Seed: uint64(len(addr)),
	}
	if c.options != nil {
		c.options(&o)
	}
	var err error
	r.Voter, err = New(o)
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.group.Go(func() error { return r.Run(ctx) })
	c.voters[addr] = r
	c.net.mu.Lock()
	c.net.voters[addr] = r.Voter
	c.net.mu.Unlock()
	return r
}

func (c *cluster) stop(addr string) error {
	r := c.voters[addr]
	delete(c.voters, addr)
	c.net.mu.Lock()
	delete(c.net.voters, addr)
	c.net.mu.Unlock()
	r.cancel()
	return r.group.Wait()
}

func (c *cluster) stopAll() {
	for addr := range c.voters {
		_ = c.stop(addr)
	}
}

// leader waits until a quorum confirms a leader and returns it.
func (c *cluster) leader() *runningVoter {
	for range 200 {
		for _, addr := range c.addrs {
			r := c.voters[addr]
			if r == nil || !r.Status().IsLeader() {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := r.Confirm(ctx)
			cancel()
			if err == nil {
				return r
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return nil
}

// follower returns the address of a running voter that is not the leader.
func (c *cluster) follower() string {
	leader := c.leader()
	for _, addr := range c.addrs {
		if r := c.voters[addr]; r != nil && r != leader {
			return addr
		}
	}
	c.t.Fatal("no follower")
	return ""
}

func (c *cluster) propose(data string) {
	_, err := c.leader().Propose(context.Background(), []byte(data))
	require.NoError(c.t, err)
}

// inBubble runs f on a cluster in a synctest bubble, whose time is fake.
func inBubble(t *testing.T, addrs []string, f func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, addrs...)
		defer c.stopAll()
		f(c)
	})
}

var threeVoters = []string{"a", "b", "c"}
