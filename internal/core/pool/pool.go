// Package pool decides about the connections of one entry instance to one
// upstream: which request gets which connection, when one is opened, and when
// one is closed. Never more connections exist, those being opened included,
// than the cap allowed when they were opened.
//
// The driver carries out the actions that each call returns, in their order:
//
//	for _, a := range p.Acquire(waiter, term) { perform(a) }
//
// The package is pure: no I/O, no clock, no goroutine; time is an argument.
package pool

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// IdleLimit is how long a connection may usually lie idle before it is closed.
const IdleLimit = 60 * time.Second

// ConnID numbers a connection, WaiterID a request that waits for one. The
// driver chooses the numbers.
type (
	ConnID   uint64
	WaiterID uint64
)

// Action is one thing for the driver to do.
type Action interface{ action() }

// Give hands a connection to a waiting request.
type Give struct {
	Waiter WaiterID
	Conn   ConnID
}

// Open opens a connection that writes under a term; Opened or OpenFailed must
// follow.
type Open struct{ Term topo.Term }

// Close closes a connection that no request uses.
type Close struct{ Conn ConnID }

// Cut closes a connection under a request that uses it; Release must follow.
type Cut struct{ Conn ConnID }

// Fail ends a wait with the error of the last OpenFailed.
type Fail struct{ Waiter WaiterID }

func (Give) action()  {}
func (Open) action()  {}
func (Close) action() {}
func (Cut) action()   {}
func (Fail) action()  {}

// Reason tells why a wait was in vain.
type Reason int

// Reasons of Withdraw.
const (
	// Exhausted: all connections that the cap allows are in use.
	Exhausted Reason = iota + 1
	// Slow: no connection was opened in time.
	Slow
)

type conn struct {
	term      topo.Term
	idleSince time.Time
}

type waiter struct {
	id   WaiterID
	term topo.Term
}

// Pool is the state of the connections.
type Pool struct {
	limit int
	// conns holds the connections that exist, idle the order in which they
	// became idle, the latest last.
	conns   map[ConnID]conn
	idle    []ConnID
	opening int
	waiters []waiter
	closed  bool
	// full says that the upstream refused a connection because it has too
	// many. Until fullUntil no further one is opened.
	full      bool
	fullUntil time.Time
}

// New returns a pool without connections.
func New(limit int) *Pool { return &Pool{limit: limit, conns: map[ConnID]conn{}} }

// Stats are the present numbers of connections.
type Stats struct{ Limit, Open, Idle, Waiting int }

// Stats returns the present numbers. Open counts those being opened.
func (p *Pool) Stats() Stats { return Stats{p.limit, p.open(), len(p.idle), len(p.waiters)} }

// Closed reports whether the pool hands out connections no more.
func (p *Pool) Closed() bool { return p.closed }

func (p *Pool) open() int { return len(p.conns) + p.opening }

// Acquire asks for a connection that writes under a term. A waiter that gets
// no Give at once waits for one. short tells that it waits for the cap.
func (p *Pool) Acquire(id WaiterID, term topo.Term) (actions []Action, short bool) {
	for len(p.idle) > 0 {
		latest := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if p.conns[latest].term == term {
			return append(actions, Give{id, latest}), false
		}
		// A connection of another term is of no more use.
		actions = append(actions, p.drop(latest))
	}
	p.waiters = append(p.waiters, waiter{id, term})
	actions = append(actions, p.openForWaiters()...)
	return actions, p.open() >= p.limit
}

// Withdraw ends a wait. waiting is false when the waiter was given a
// connection or an error already.
func (p *Pool) Withdraw(id WaiterID) (r Reason, waiting bool) {
	r = Exhausted
	if p.opening > 0 || p.open() < p.limit {
		r = Slow
	}
	at := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.id == id })
	if at < 0 {
		return r, false
	}
	p.waiters = slices.Delete(p.waiters, at, at+1)
	return r, true
}

// Opened takes in a connection that Open asked for.
func (p *Pool) Opened(id ConnID, term topo.Term, now time.Time) []Action {
	p.opening--
	p.conns[id] = conn{term: term}
	return append(p.put(id, now), p.openForWaiters()...)
}

// OpenFailed records that a connection could not be opened.
func (p *Pool) OpenFailed(term topo.Term) []Action {
	p.opening--
	var actions []Action
	at := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.term == term })
	if at >= 0 {
		actions = append(actions, Fail{p.waiters[at].id})
		p.waiters = slices.Delete(p.waiters, at, at+1)
	}
	return append(actions, p.openForWaiters()...)
}

// fullFor is how long no connection is opened after the upstream has refused
// one because it has too many.
const fullFor = 200 * time.Millisecond

// OpenRefused records that the upstream has too many connections. The waiters
// go on waiting for those that exist; without any, one waiter fails.
func (p *Pool) OpenRefused(term topo.Term, now time.Time) []Action {
	p.full, p.fullUntil = true, now.Add(fullFor)
	if p.open() > 1 {
		p.opening--
		return nil
	}
	return p.OpenFailed(term)
}

// DropIdleSince closes the connections that have been idle since before a time:
// a statement sent then got no answer, and they may be silent like the one that
// carried it.
func (p *Pool) DropIdleSince(before time.Time) []Action {
	var actions []Action
	for len(p.idle) > 0 && p.conns[p.idle[0]].idleSince.Before(before) {
		actions = append(actions, p.dropOldest())
	}
	return actions
}

// Retry opens connections for waiters again once an upstream that had too many
// may have room.
func (p *Pool) Retry(now time.Time) []Action {
	if !p.full || now.Before(p.fullUntil) {
		return nil
	}
	p.full = false
	return p.openForWaiters()
}

// Release takes a connection back. One that is not clean is closed.
func (p *Pool) Release(id ConnID, clean bool, now time.Time) []Action {
	var actions []Action
	if clean {
		actions = p.put(id, now)
	} else {
		actions = []Action{p.drop(id)}
	}
	return append(actions, p.openForWaiters()...)
}

// SetLimit changes the cap. Connections in use beyond it are closed as they
// come back.
func (p *Pool) SetLimit(n int) []Action {
	p.limit = n
	var actions []Action
	for p.open() > p.limit && len(p.idle) > 0 {
		actions = append(actions, p.dropOldest())
	}
	return append(actions, p.openForWaiters()...)
}

// Warm opens connections ahead, so that n lie idle or are being opened, as far
// as the cap allows.
func (p *Pool) Warm(n int, term topo.Term) []Action {
	var actions []Action
	for len(p.idle)+p.opening < n && p.open() < p.limit && !p.closed {
		actions = append(actions, p.startOpen(term))
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

// Cut closes n connections at once, idle ones first.
func (p *Pool) Cut(n int) []Action {
	var actions []Action
	for ; n > 0 && len(p.idle) > 0; n-- {
		actions = append(actions, p.dropOldest())
	}
	for _, id := range p.busy() {
		if n <= 0 {
			return actions
		}
		actions = append(actions, Cut{id})
		n--
	}
	return actions
}

// busy returns the connections that requests use, in a fixed order.
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
// closed as they come back.
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

// put hands a clean connection to a waiter, keeps it idle, or closes it.
func (p *Pool) put(id ConnID, now time.Time) []Action {
	if p.closed || p.open() > p.limit {
		return []Action{p.drop(id)}
	}
	c := p.conns[id]
	at := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.term == c.term })
	if at >= 0 {
		w := p.waiters[at]
		p.waiters = slices.Delete(p.waiters, at, at+1)
		return []Action{Give{w.id, id}}
	}
	if len(p.waiters) > 0 {
		return []Action{p.drop(id)}
	}
	c.idleSince = now
	p.conns[id] = c
	p.idle = append(p.idle, id)
	return nil
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

// openForWaiters opens a connection for each waiter that none is being opened
// for. A waiter takes whichever comes first, a new connection or a released one.
func (p *Pool) openForWaiters() []Action {
	var actions []Action
	for p.opening < len(p.waiters) && p.open() < p.limit && !p.closed && !p.full {
		actions = append(actions, p.startOpen(p.waiters[p.opening].term))
	}
	return actions
}

func (p *Pool) startOpen(term topo.Term) Action {
	p.opening++
	return Open{term}
}
