package connpool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/retry"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Set holds the pools of all upstreams that the entry instance has used.
type Set[C Conn] struct {
	open  func(topo.Announcement) OpenFunc[C]
	limit func(topo.Announcement) int
	// OnExhausted is called when a request waits for a connection because the limit
	// is reached. It must be set before the first use.
	OnExhausted func(topo.UpstreamID)

	mu    sync.Mutex
	pools map[topo.UpstreamID]*Member[C]
}

// Member is one upstream's pool with its circuit breaker.
type Member[C Conn] struct {
	*Pool[C]
	upstream topo.Announcement
	// connections is the number of connections that the upstream last announced,
	// 0 before its first announcement.
	connections int

	mu      sync.Mutex
	circuit retry.CircuitBreaker
	// up is cancelled when the circuit opens and replaced when it closes.
	up       context.Context
	cancelUp context.CancelCauseFunc
}

// ErrCircuitOpen is the cause of cancelled waits for an upstream whose circuit
// has opened.
var ErrCircuitOpen = errors.New("connection pool: the upstream's circuit breaker is open")

// Upstream returns the announcement with which the pool was created.
func (m *Member[C]) Upstream() topo.Announcement { return m.upstream }

// Up returns a context that is cancelled when the circuit opens.
func (m *Member[C]) Up() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up
}

func (m *Member[C]) resetUp() {
	m.up, m.cancelUp = context.WithCancelCause(context.Background())
}

// NewSet returns an empty set. open returns the function that opens connections
// to an upstream, limit how many of them this instance may hold.
func NewSet[C Conn](open func(topo.Announcement) OpenFunc[C], limit func(topo.Announcement) int) *Set[C] {
	return &Set[C]{open: open, limit: limit, pools: map[topo.UpstreamID]*Member[C]{}}
}

// Get returns the pool of an upstream and creates it at its first use. If the
// upstream's address has changed, Get closes the old pool. If the announced number
// of connections has changed, for example because only the address was known
// before, Get updates the pool's limit.
func (s *Set[C]) Get(a topo.Announcement) *Member[C] {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.pools[a.ID]
	if ok && m.upstream.Addr == a.Addr {
		if a.Connections > 0 && a.Connections != m.connections {
			m.connections = a.Connections
			m.SetLimit(s.limit(a))
		}
		return m
	}
	if ok {
		m.Close()
	}
	m = &Member[C]{Pool: NewPool(s.open(a), s.limit(a)), upstream: a, connections: a.Connections}
	m.resetUp()
	m.onExhausted = func() { s.exhausted(a.ID) }
	s.pools[a.ID] = m
	return m
}

// Lookup returns the pool of an upstream, if one exists.
func (s *Set[C]) Lookup(id topo.UpstreamID) (*Member[C], bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.pools[id]
	return m, ok
}

func (s *Set[C]) exhausted(id topo.UpstreamID) {
	if s.OnExhausted != nil {
		s.OnExhausted(id)
	}
}

// Stats returns the numbers of connections to an upstream, zero for one that
// has not been used.
func (s *Set[C]) Stats(id topo.UpstreamID) Stats {
	m, ok := s.Lookup(id)
	if !ok {
		return Stats{}
	}
	return m.Stats()
}

// Each calls f for every pool.
func (s *Set[C]) Each(f func(id topo.UpstreamID, m *Member[C])) {
	s.mu.Lock()
	members := make(map[topo.UpstreamID]*Member[C], len(s.pools))
	for id, m := range s.pools {
		members[id] = m
	}
	s.mu.Unlock()
	for id, m := range members {
		f(id, m)
	}
}

// Close closes all pools.
func (s *Set[C]) Close() {
	s.Each(func(_ topo.UpstreamID, m *Member[C]) { m.Close() })
}

// Available reports whether the circuit would allow a request.
func (m *Member[C]) Available(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.circuit.Open(now)
}

// Allow reports whether the circuit permits one request now. If it does, the caller
// must call Succeeded or FailedAt after the request.
func (m *Member[C]) Allow(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.circuit.Allow(now)
}

// Succeeded records that the upstream answered. closed reports whether this
// closed the circuit.
func (m *Member[C]) Succeeded() (closed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.circuit.Success()
	closed = m.up.Err() != nil
	if closed {
		m.resetUp()
	}
	return closed
}

// FailedAt records that the upstream did not answer. opened reports whether this
// opened the circuit.
func (m *Member[C]) FailedAt(now time.Time, jitter float64) (opened bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.circuit.Failure(now, jitter)
	if !m.circuit.Open(now) {
		return false
	}
	opened = m.up.Err() == nil
	m.cancelUp(ErrCircuitOpen)
	return opened
}
