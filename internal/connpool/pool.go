// Package connpool pools the connections of an entry instance to upstreams,
// independent of their protocol.
//
// Pool holds the connections to one upstream under a hard limit; core/pool makes
// its decisions. Set holds the pools of all upstreams with their circuit breakers.
package connpool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/pool"
)

// Errors of Acquire. Nothing has been sent to the upstream.
var (
	// ErrPoolClosed means that the pool no longer hands out connections.
	ErrPoolClosed = errors.New("connection pool: closed")
	// ErrExhausted means that the pool is at its limit with all connections in
	// use.
	ErrExhausted = errors.New("connection pool: all connections are in use")
	// ErrSlow means that no connection could be opened in time.
	ErrSlow = errors.New("connection pool: no connection opened in time")
)

const (
	// connectTimeout bounds the opening of one connection, acquireTimeout the
	// wait of a request for a connection.
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
	// Close closes the connection, even while it is in use.
	Close()
	// Abort makes the running statement fail.
	Abort()
}

// Key describes what a connection is used for.
type Key = pool.Key

// OpenFunc opens a connection with a key.
type OpenFunc[C Conn] func(ctx context.Context, k Key) (C, error)

// Pool holds the connections of this entry instance to one upstream. It performs
// the actions of core/pool.
type Pool[C Conn] struct {
	open OpenFunc[C]
	// onExhausted is called when a request waits because the limit is reached.
	onExhausted func()

	mu      sync.Mutex
	core    *pool.Pool
	conns   map[pool.ConnID]C
	ids     map[C]pool.ConnID
	waiters map[pool.WaiterID]chan acquireResult[C]
	nextID  uint64
	lastErr error
}

type acquireResult[C Conn] struct {
	conn C
	err  error
}

// NewPool returns a pool without connections.
func NewPool[C Conn](open OpenFunc[C], limit int) *Pool[C] {
	return &Pool[C]{
		open: open, core: pool.New(limit), conns: map[pool.ConnID]C{}, ids: map[C]pool.ConnID{},
		waiters: map[pool.WaiterID]chan acquireResult[C]{},
	}
}

// Acquire returns a clean connection with the key. Errors: the error of the OpenFunc, ErrPoolClosed, ErrExhausted, ErrSlow or the
// context's error; in all of these cases nothing was sent to the upstream.
func (p *Pool[C]) Acquire(ctx context.Context, k Key) (C, error) {
	var none C
	id, got, exhausted, err := p.enqueue(k)
	if err != nil {
		return none, err
	}
	if exhausted && p.onExhausted != nil {
		p.onExhausted()
	}
	timer := time.NewTimer(acquireTimeout)
	defer timer.Stop()
	select {
	case h := <-got:
		return h.conn, h.err
	case <-ctx.Done():
		p.cancelWait(id, got)
		return none, ctx.Err()
	case <-timer.C:
		return none, p.cancelWait(id, got)
	}
}

func (p *Pool[C]) enqueue(k Key) (id pool.WaiterID, got chan acquireResult[C], exhausted bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core.Closed() {
		return 0, nil, false, ErrPoolClosed
	}
	p.nextID++
	id, got = pool.WaiterID(p.nextID), make(chan acquireResult[C], 1)
	p.waiters[id] = got
	actions, exhausted := p.core.Acquire(id, k)
	p.perform(actions)
	return id, got, exhausted, nil
}

// cancelWait ends a wait and returns the reason why no connection was free.
func (p *Pool[C]) cancelWait(id pool.WaiterID, got chan acquireResult[C]) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	reason, waiting := p.core.Withdraw(id)
	delete(p.waiters, id)
	if !waiting {
		if h := <-got; h.err == nil {
			p.release(h.conn)
		}
	}
	if reason == pool.OpenTimeout {
		return ErrSlow
	}
	return ErrExhausted
}

// Release returns a connection to the pool, which closes it if it is not clean.
func (p *Pool[C]) Release(c C) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(c)
}

func (p *Pool[C]) release(c C) { p.perform(p.core.Release(p.ids[c], c.Clean(), time.Now())) }

// CloseNow closes n connections at once, idle ones first. A statement on a busy one
// fails, and the connection is released as broken.
func (p *Pool[C]) CloseNow(n int) { p.do(func() []pool.Action { return p.core.CloseNow(n) }) }

// SetLimit changes the limit. Connections in use beyond it are closed on their
// release.
func (p *Pool[C]) SetLimit(n int) { p.do(func() []pool.Action { return p.core.SetLimit(n) }) }

// Warm opens connections in advance, so that up to n are idle, within the limit.
func (p *Pool[C]) Warm(n int, k Key) {
	p.do(func() []pool.Action { return p.core.Warm(n, k) })
}

// Reap closes connections that have been idle for longer than limit.
func (p *Pool[C]) Reap(now time.Time, limit time.Duration) {
	p.do(func() []pool.Action { return p.core.Reap(now, limit) })
}

// DropIdleSince closes the connections that have been idle since before the given
// time.
func (p *Pool[C]) DropIdleSince(before time.Time) {
	p.do(func() []pool.Action { return p.core.DropIdleSince(before) })
}

// Retry opens connections again after an upstream refused them because it had
// too many. It must be called several times a second.
func (p *Pool[C]) Retry(now time.Time) { p.do(func() []pool.Action { return p.core.Retry(now) }) }

// Close closes idle connections and refuses new requests. Connections in use are
// closed on their release.
func (p *Pool[C]) Close() {
	p.do(func() []pool.Action {
		p.lastErr = ErrPoolClosed
		return p.core.Close()
	})
}

// Stats returns the current numbers of connections.
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

// perform performs actions. The caller holds p.mu.
func (p *Pool[C]) perform(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.Assign:
			p.deliver(a.Waiter, acquireResult[C]{conn: p.conns[a.Conn]})
		case pool.Fail:
			p.deliver(a.Waiter, acquireResult[C]{err: p.lastErr})
		case pool.Open:
			go p.openConn(a.Key)
		case pool.Close:
			p.conns[a.Conn].Close()
			delete(p.ids, p.conns[a.Conn])
			delete(p.conns, a.Conn)
		case pool.CloseInUse:
			p.conns[a.Conn].Abort()
		}
	}
}

func (p *Pool[C]) deliver(id pool.WaiterID, result acquireResult[C]) {
	p.waiters[id] <- result
	delete(p.waiters, id)
}

// TooManyError is implemented by errors of an OpenFunc that report whether the
// upstream refused the connection because it has too many.
type TooManyError interface {
	error
	TooMany() bool
}

// openFailed returns the actions after a failed open. The caller holds p.mu.
func (p *Pool[C]) openFailed(err error, k Key) []pool.Action {
	var refused TooManyError
	if errors.As(err, &refused) && refused.TooMany() {
		return p.core.OpenRefused(k, time.Now())
	}
	return p.core.OpenFailed(k)
}

func (p *Pool[C]) openConn(k Key) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	c, err := p.open(ctx, k)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.lastErr = err
		p.perform(p.openFailed(err, k))
		return
	}
	p.nextID++
	id := pool.ConnID(p.nextID)
	p.conns[id], p.ids[c] = c, id
	p.perform(p.core.Opened(id, k, time.Now()))
}
