// Package connpool holds the connections of an entry instance to upstreams,
// whatever protocol they speak.
//
// Pool keeps the connections to one upstream under a hard cap, as core/pool
// decides. Set keeps the pools of all upstreams with their circuits.
package connpool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/pool"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Errors of Acquire. Nothing has been sent to the upstream.
var (
	// ErrPoolClosed means that the pool no longer hands out connections.
	ErrPoolClosed = errors.New("connection pool: closed")
	// ErrExhausted means that all connections that the pool may hold are in use.
	ErrExhausted = errors.New("connection pool: all connections are in use")
	// ErrSlow means that no connection could be opened in time.
	ErrSlow = errors.New("connection pool: no connection opened in time")
)

const (
	// connectTimeout bounds the opening of one connection, acquireTimeout the
	// wait of one request for a connection.
	connectTimeout = time.Second
	acquireTimeout = 400 * time.Millisecond
)

// Stats describes a pool.
type Stats = pool.Stats

// Conn is one connection to an upstream.
type Conn interface {
	comparable
	// Clean reports whether the connection may serve another transaction.
	Clean() bool
	// Close closes the connection, also one that is in use.
	Close()
	// Abort makes what runs on the connection fail.
	Abort()
}

// OpenFunc opens a connection that writes under a term; term 0 only reads.
type OpenFunc[C Conn] func(ctx context.Context, term topo.Term) (C, error)

// Pool holds the connections of this entry instance to one upstream. It
// carries out what core/pool decides.
type Pool[C Conn] struct {
	open OpenFunc[C]
	// onShort is called when a request waits because the cap is reached.
	onShort func()

	mu      sync.Mutex
	core    *pool.Pool
	conns   map[pool.ConnID]C
	ids     map[C]pool.ConnID
	waits   map[pool.WaiterID]chan handover[C]
	nextID  uint64
	lastErr error
}

type handover[C Conn] struct {
	conn C
	err  error
}

// NewPool returns a pool without connections.
func NewPool[C Conn](open OpenFunc[C], limit int) *Pool[C] {
	return &Pool[C]{
		open: open, core: pool.New(limit), conns: map[pool.ConnID]C{}, ids: map[C]pool.ConnID{},
		waits: map[pool.WaiterID]chan handover[C]{},
	}
}

// Acquire returns a clean connection that writes under term (0: reads only).
// Errors: CectError, ErrPoolClosed, ErrExhausted, ErrSlow or the context's
// error; nothing has been sent to the upstream in any of these cases.
func (p *Pool[C]) Acquire(ctx context.Context, term topo.Term) (C, error) {
	var none C
	id, got, short, err := p.ask(term)
	if err != nil {
		return none, err
	}
	if short && p.onShort != nil {
		p.onShort()
	}
	timer := time.NewTimer(acquireTimeout)
	defer timer.Stop()
	select {
	case h := <-got:
		return h.conn, h.err
	case <-ctx.Done():
		p.withdraw(id, got)
		return none, ctx.Err()
	case <-timer.C:
		return none, p.withdraw(id, got)
	}
}

func (p *Pool[C]) ask(term topo.Term) (id pool.WaiterID, got chan handover[C], short bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core.Closed() {
		return 0, nil, false, ErrPoolClosed
	}
	p.nextID++
	id, got = pool.WaiterID(p.nextID), make(chan handover[C], 1)
	p.waits[id] = got
	actions, short := p.core.Acquire(id, term)
	p.perform(actions)
	return id, got, short, nil
}

// withdraw ends a wait and returns why it was in vain.
func (p *Pool[C]) withdraw(id pool.WaiterID, got chan handover[C]) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	reason, waiting := p.core.Withdraw(id)
	delete(p.waits, id)
	if !waiting {
		if h := <-got; h.err == nil {
			p.release(h.conn)
		}
	}
	if reason == pool.Slow {
		return ErrSlow
	}
	return ErrExhausted
}

// Release takes a connection back. One that is not clean is closed.
func (p *Pool[C]) Release(c C) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(c)
}

func (p *Pool[C]) release(c C) { p.perform(p.core.Release(p.ids[c], c.Clean(), time.Now())) }

// Cut closes n connections at once, idle ones first. What runs on a busy one
// fails; the pool takes it back as broken.
func (p *Pool[C]) Cut(n int) { p.do(func() []pool.Action { return p.core.Cut(n) }) }

// SetLimit changes the cap. Connections in use beyond it are closed as they
// come back.
func (p *Pool[C]) SetLimit(n int) { p.do(func() []pool.Action { return p.core.SetLimit(n) }) }

// Warm opens connections ahead, so that up to n lie idle, as far as the cap
// allows.
func (p *Pool[C]) Warm(n int, term topo.Term) {
	p.do(func() []pool.Action { return p.core.Warm(n, term) })
}

// Reap closes connections that have been idle for longer than limit.
func (p *Pool[C]) Reap(now time.Time, limit time.Duration) {
	p.do(func() []pool.Action { return p.core.Reap(now, limit) })
}

// DropIdleSince closes the connections that have been idle since before a time.
func (p *Pool[C]) DropIdleSince(before time.Time) {
	p.do(func() []pool.Action { return p.core.DropIdleSince(before) })
}

// Retry opens connections again where an upstream that had too many may have
// room. It is to be called several times a second.
func (p *Pool[C]) Retry(now time.Time) { p.do(func() []pool.Action { return p.core.Retry(now) }) }

// Close closes idle connections and refuses new work. Connections in use are
// closed as they come back.
func (p *Pool[C]) Close() {
	p.do(func() []pool.Action {
		p.lastErr = ErrPoolClosed
		return p.core.Close()
	})
}

// Stats returns the present numbers of connections.
func (p *Pool[C]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Stats()
}

func (p *Pool[C]) do(decide func() []pool.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(decide())
}

// perform carries out actions. It needs the lock.
func (p *Pool[C]) perform(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.Give:
			p.hand(a.Waiter, handover[C]{conn: p.conns[a.Conn]})
		case pool.Fail:
			p.hand(a.Waiter, handover[C]{err: p.lastErr})
		case pool.Open:
			go p.openOne(a.Term)
		case pool.Close:
			p.conns[a.Conn].Close()
			delete(p.ids, p.conns[a.Conn])
			delete(p.conns, a.Conn)
		case pool.Cut:
			p.conns[a.Conn].Abort()
		}
	}
}

func (p *Pool[C]) hand(id pool.WaiterID, h handover[C]) {
	p.waits[id] <- h
	delete(p.waits, id)
}

// TooManyError is implemented by errors of an OpenFunc that tell whether the
// upstream refused the connection because it has too many.
type TooManyError interface {
	error
	TooMany() bool
}

// openFailed needs the lock.
func (p *Pool[C]) openFailed(err error, term topo.Term) []pool.Action {
	var refused TooManyError
	if errors.As(err, &refused) && refused.TooMany() {
		return p.core.OpenRefused(term, time.Now())
	}
	return p.core.OpenFailed(term)
}

func (p *Pool[C]) openOne(term topo.Term) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	c, err := p.open(ctx, term)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.lastErr = err
		p.perform(p.openFailed(err, term))
		return
	}
	p.nextID++
	id := pool.ConnID(p.nextID)
	p.conns[id], p.ids[c] = c, id
	p.perform(p.core.Opened(id, term, time.Now()))
}
