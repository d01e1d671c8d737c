// Package pool manages the connections of one entry instance to one upstream: it
// decides which request gets which connection, when to open one, and when to
// close one. The number of connections, including those being opened, never
// exceeds the limit at the time they were opened.
//
// The driver performs the actions that each call returns, in order:
//
//	for _, a := range p.Acquire(waiter, key) { perform(a) }
//
// The package is pure: no I/O, no clock, no goroutines. Time is an argument.
package pool

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// IdleLimit is the default for how long a connection may be idle before it is
// closed.
const IdleLimit = 60 * time.Second

// ConnID identifies a connection, WaiterID a request that waits for one. The
// driver assigns the ids.
type (
	ConnID   uint64
	WaiterID uint64
)

// Key describes what a connection is used for. A connection serves only requests with
// its own key.
type Key struct {
	// Term is the term under which the connection writes, zero for reads only.
	Term topo.Term
	// Organisation is the organisation that the upstream knows the connection by, empty
	// if connections are not bound to organisations.
	Organisation string
}

// Action is an action for the driver to perform.
type Action interface{ action() }

// Assign assigns a connection to a waiting request.
type Assign struct {
	Waiter WaiterID
	Conn   ConnID
}

// Open opens a connection with a key. The driver must then call Opened, OpenFailed or
// OpenRefused.
type Open struct{ Key Key }

// Close closes a connection that no request uses.
type Close struct{ Conn ConnID }

// CloseInUse closes a connection while a request uses it. The driver must then call
// Release.
type CloseInUse struct{ Conn ConnID }

// Fail ends the wait of a request with the error of the last failed attempt to
// open a connection.
type Fail struct{ Waiter WaiterID }

func (Assign) action()     {}
func (Open) action()       {}
func (Close) action()      {}
func (CloseInUse) action() {}
func (Fail) action()       {}

// Reason is why a request got no connection.
type Reason int

// Reasons of Withdraw.
const (
	// Exhausted: all connections that the limit allows are in use.
	Exhausted Reason = iota + 1
	// OpenTimeout: no connection was opened in time.
	OpenTimeout
)

type conn struct {
	key       Key
	idleSince time.Time
}

type waiter struct {
	id  WaiterID
	key Key
}

// Pool is the state of the connections.
type Pool struct {
	limit int
	// conns holds the open connections. idle lists the idle ones in the order in
	// which they became idle, the latest last.
	conns map[ConnID]conn
	idle  []ConnID
	// opening is the number of connections being opened, openingFor the same for each
	// key.
	opening    int
	openingFor map[Key]int
	waiters    []waiter
	closed     bool
	// backingOff means that the upstream refused a connection because it has too
	// many. The pool opens no further one until backoffUntil.
	backingOff   bool
	backoffUntil time.Time
}

// New returns a pool without connections.
func New(limit int) *Pool {
	return &Pool{limit: limit, conns: map[ConnID]conn{}, openingFor: map[Key]int{}}
}

// Stats are the current numbers of connections and waiters.
type Stats struct{ Limit, Open, Idle, Waiting int }

// Stats returns the current numbers. Open includes connections being opened.
func (p *Pool) Stats() Stats { return Stats{p.limit, p.open(), len(p.idle), len(p.waiters)} }

// Closed reports whether the pool is closed.
func (p *Pool) Closed() bool { return p.closed }

func (p *Pool) open() int { return len(p.conns) + p.opening }

// Acquire requests a connection with a key. If the actions contain no Assign for the
// request, it waits for one. exhausted reports that the pool has reached its limit.
func (p *Pool) Acquire(id WaiterID, k Key) (actions []Action, exhausted bool) {
	for at := len(p.idle) - 1; at >= 0; at-- {
		latest := p.idle[at]
		switch idle := p.conns[latest].key; {
		case idle == k:
			p.idle = slices.Delete(p.idle, at, at+1)
			return append(actions, Assign{id, latest}), false
		case idle.Term != k.Term:
			// A connection of another term can't be used any more.
			p.idle = slices.Delete(p.idle, at, at+1)
			actions = append(actions, p.drop(latest))
		}
	}
	p.waiters = append(p.waiters, waiter{id, k})
	actions = append(actions, p.openForWaiters()...)
	return actions, p.open() >= p.limit
}

// Withdraw ends a wait. waiting is false if the request has already received a
// connection or an error.
func (p *Pool) Withdraw(id WaiterID) (r Reason, waiting bool) {
	r = Exhausted
	if p.opening > 0 || p.open() < p.limit {
		r = OpenTimeout
	}
	at := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.id == id })
	if at < 0 {
		return r, false
	}
	p.waiters = slices.Delete(p.waiters, at, at+1)
	return r, true
}

// Opened adds a connection that Open requested.
func (p *Pool) Opened(id ConnID, k Key, now time.Time) []Action {
	p.endOpen(k)
	p.conns[id] = conn{key: k}
	return append(p.put(id, now), p.openForWaiters()...)
}

// OpenFailed records that a connection could not be opened.
func (p *Pool) OpenFailed(k Key) []Action {
	p.endOpen(k)
	var actions []Action
	at := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.key == k })
	if at >= 0 {
		actions = append(actions, Fail{p.waiters[at].id})
		p.waiters = slices.Delete(p.waiters, at, at+1)
	}
	return append(actions, p.openForWaiters()...)
}

// openBackoff is how long the pool opens no connection after the upstream has
// refused one because it has too many.
const openBackoff = 200 * time.Millisecond

// OpenRefused records that the upstream refused a connection because it has too
// many. The waiters keep waiting for existing connections, and one that is idle with
// another key makes room; if there are none, one waiter fails.
func (p *Pool) OpenRefused(k Key, now time.Time) []Action {
	p.backingOff, p.backoffUntil = true, now.Add(openBackoff)
	if p.open() > 1 {
		p.endOpen(k)
		return p.makeRoom(k)
	}
	return p.OpenFailed(k)
}

// makeRoom closes the connection that is idle longest if a request with the key waits. Idle
// connections then have other keys, and the upstream has no room for one more.
func (p *Pool) makeRoom(k Key) []Action {
	if len(p.idle) == 0 || !slices.ContainsFunc(p.waiters, func(w waiter) bool { return w.key == k }) {
		return nil
	}
	return []Action{p.dropOldest()}
}

// DropIdleSince closes the connections that have been idle since before the given
// time. A statement sent at that time got no answer, and these connections may be
// broken like the one that carried it.
func (p *Pool) DropIdleSince(before time.Time) []Action {
	var actions []Action
	for len(p.idle) > 0 && p.conns[p.idle[0]].idleSince.Before(before) {
		actions = append(actions, p.dropOldest())
	}
	return actions
}

// Retry opens connections for waiters again once the backoff after a refusal has
// ended.
func (p *Pool) Retry(now time.Time) []Action {
	if !p.backingOff || now.Before(p.backoffUntil) {
		return nil
	}
	p.backingOff = false
	return p.openForWaiters()
}

// Release returns a connection to the pool. A connection that is not clean is
// closed.
func (p *Pool) Release(id ConnID, clean bool, now time.Time) []Action {
	var actions []Action
	if clean {
		actions = p.put(id, now)
	} else {
		actions = []Action{p.drop(id)}
	}
	return append(actions, p.openForWaiters()...)
}

// SetLimit changes the limit. Connections in use beyond it are closed when they
// are released.
func (p *Pool) SetLimit(n int) []Action {
	p.limit = n
	var actions []Action
	for p.open() > p.limit && len(p.idle) > 0 {
		actions = append(actions, p.dropOldest())
	}
	return append(actions, p.openForWaiters()...)
}

// Warm opens connections in advance, so that n are idle or being opened, as far
// as the limit allows.
func (p *Pool) Warm(n int, k Key) []Action {
	var actions []Action
	for len(p.idle)+p.opening < n && p.open() < p.limit && !p.closed {
		actions = append(actions, p.startOpen(k))
	}
	return actions
}

// Reap closes connections that have been idle for longer than limit.
func (p *Pool) Reap(now time.Time, limit time.Duration) []Action {
	var actions []Action
	for len(p.idle) > 0 && now.Sub(p.conns[p.idle[0]].idleSince) > limit {
		actions = append(actions, p.dropOldest())
	}
	return actions
}

// CloseNow closes n connections at once, idle ones first.
func (p *Pool) CloseNow(n int) []Action {
	var actions []Action
	for ; n > 0 && len(p.idle) > 0; n-- {
		actions = append(actions, p.dropOldest())
	}
	for _, id := range p.busy() {
		if n <= 0 {
			return actions
		}
		actions = append(actions, CloseInUse{id})
		n--
	}
	return actions
}

// busy returns the connections in use, ordered by id.
func (p *Pool) busy() []ConnID {
	var ids []ConnID
	for id := range p.conns {
		if !slices.Contains(p.idle, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Close closes the idle connections and ends all waits. Connections in use are
// closed when they are released.
func (p *Pool) Close() []Action {
	p.closed = true
	var actions []Action
	for len(p.idle) > 0 {
		actions = append(actions, p.dropOldest())
	}
	for _, w := range p.waiters {
		actions = append(actions, Fail{w.id})
	}
	p.waiters = nil
	return actions
}

// put assigns a clean connection to a waiter, keeps it idle, or closes it.
func (p *Pool) put(id ConnID, now time.Time) []Action {
	if p.closed || p.open() > p.limit {
		return []Action{p.drop(id)}
	}
	c := p.conns[id]
	at := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.key == c.key })
	if at >= 0 {
		w := p.waiters[at]
		p.waiters = slices.Delete(p.waiters, at, at+1)
		return []Action{Assign{w.id, id}}
	}
	if p.blocksWaiter(c.key) {
		return []Action{p.drop(id)}
	}
	c.idleSince = now
	p.conns[id] = c
	p.idle = append(p.idle, id)
	return nil
}

// blocksWaiter reports whether an idle connection with the key would keep a request
// waiting: the request needs its place, or a connection of another term.
func (p *Pool) blocksWaiter(k Key) bool {
	if len(p.waiters) == 0 {
		return false
	}
	return p.open() >= p.limit || slices.ContainsFunc(p.waiters, func(w waiter) bool { return w.key.Term != k.Term })
}

func (p *Pool) drop(id ConnID) Action {
	delete(p.conns, id)
	return Close{id}
}

func (p *Pool) dropOldest() Action {
	id := p.idle[0]
	p.idle = p.idle[1:]
	return p.drop(id)
}

// openForWaiters opens connections until one is being opened for each waiter. A
// waiter gets whichever is available first, a new connection or a released one. At the
// limit, an idle connection with another key makes room, the one that is idle longest.
func (p *Pool) openForWaiters() []Action {
	if p.closed || p.backingOff {
		return nil
	}
	var actions []Action
	needed := map[Key]int{}
	for _, w := range p.waiters {
		needed[w.key]++
		if needed[w.key] <= p.openingFor[w.key] {
			continue
		}
		if p.open() >= p.limit && len(p.idle) > 0 {
			actions = append(actions, p.dropOldest())
		}
		if p.open() >= p.limit {
			return actions
		}
		actions = append(actions, p.startOpen(w.key))
	}
	return actions
}

func (p *Pool) startOpen(k Key) Action {
	p.opening++
	p.openingFor[k]++
	return Open{k}
}

func (p *Pool) endOpen(k Key) {
	p.opening--
	if p.openingFor[k]--; p.openingFor[k] <= 0 {
		delete(p.openingFor, k)
	}
}
