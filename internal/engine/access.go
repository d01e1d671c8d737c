package engine

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/gate"
)

// access is a slot and a connection at one upstream.
type access[C Conn] struct {
	engine   *Engine[C]
	upstream topo.Announcement
	// term is that of the lease under which the primary is used, zero where
	// the upstream proves its position by itself.
	term   topo.Term
	member *connpool.Member[*link[C]]
	// work tells how long the statements usually take.
	work admission.WorkKey
	// permit holds the slot of the statement under way, first that of the first
	// statement, which counts for the connection until that is given back.
	permit, first *gate.Permit
	link          *link[C]
}

func (e *Engine[C]) newAccess(a topo.Announcement, term topo.Term, r catalog.Route) *access[C] {
	return &access[C]{engine: e, upstream: a, term: term, member: e.pools.Get(a), work: admission.KeyOf(r.Service)}
}

// request is what admission needs to know of a statement.
type request struct {
	route         catalog.Route
	caller        string
	arrived       time.Time
	inTransaction bool
}

// open waits for a slot and, if there is none yet, a connection. A refusal is
// an outcome; an error means that the upstream cannot be used now. Nothing was
// sent in either case.
func (a *access[C]) open(ctx context.Context, r request) (outcome.Outcome, error) {
	ctx, cancel := a.whileUp(ctx)
	defer cancel()
	gt := a.engine.groups.Get(a.upstream.Group).Gate(a.upstream)
	permit, refused := gt.Acquire(ctx, gate.Request{
		Service: r.route.Service, Caller: r.caller, Arrived: r.arrived, InTransaction: r.inTransaction,
	})
	if permit == nil {
		if cause := context.Cause(ctx); errors.Is(cause, connpool.ErrCircuitOpen) {
			return outcome.Outcome{}, cause
		}
		return refused, nil
	}
	a.permit = permit
	if a.link != nil {
		return outcome.Outcome{}, nil
	}
	a.first = permit
	if !a.member.Allow(time.Now()) {
		a.close()
		return outcome.Outcome{}, errBusy
	}
	l, err := a.acquireLink(ctx)
	if err != nil {
		a.close()
		a.connectFailed(ctx, err)
		return outcome.Outcome{}, err
	}
	a.link = l
	return outcome.Outcome{}, nil
}

// acquireLink returns a connection that the upstream has not closed.
func (a *access[C]) acquireLink(ctx context.Context) (*link[C], error) {
	for {
		l, err := a.member.Acquire(ctx, 0)
		if err != nil || l.conn.Alive() {
			return l, err
		}
		l.broken = true
		a.member.Release(l)
	}
}

func (a *access[C]) connectFailed(ctx context.Context, err error) {
	var refused *RefusedError
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled), errors.As(err, &refused), errors.Is(err, connpool.ErrExhausted):
		a.reached()
	default:
		a.failed(err)
	}
}

// isTimeout reports whether an upstream was silent rather than gone.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// reached records that the upstream answered.
func (a *access[C]) reached() {
	if a.member.Succeeded() {
		a.engine.opts.Events.UpstreamBack(a.upstream.ID)
	}
}

// failed records that the upstream did not answer.
func (a *access[C]) failed(err error) {
	if a.member.FailedAt(time.Now(), jitter()) {
		a.engine.opts.Events.UpstreamLost(a.upstream.ID, err)
	}
	switch {
	case a.term == 0:
	case isTimeout(err), errors.Is(err, connpool.ErrSlow):
		a.engine.opts.Control.DoubtPrimary(a.upstream.Group)
	default:
		a.engine.opts.Control.ReportPrimary(a.upstream.Group, a.term, false)
	}
}

// run sends a statement and takes in what its answer tells of the upstream.
func (a *access[C]) run(ctx context.Context, st Statement) (Result, error) {
	sentAt, before := clock.Now(), time.Now()
	results, err := a.link.run(ctx, st)
	if isTimeout(err) {
		a.member.DropIdleSince(before)
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			a.observe(false)
			a.failed(err)
		}
		return Result{}, err
	}
	r := results[0]
	a.observe(r.Code.served())
	a.answered(sentAt, r.Point)
	if r.Code == CodeNone {
		now := clock.Now()
		a.observeTime(st, now.Sub(sentAt), now)
	}
	return r, nil
}

// observe records whether the upstream served a statement.
func (a *access[C]) observe(served bool) {
	rate, failing, changed := a.engine.groups.Get(a.upstream.Group).ObserveOutcome(a.upstream.ID, served, clock.Now())
	if changed {
		a.engine.opts.Events.UpstreamFailing(a.upstream.ID, rate, failing)
	}
}

func (a *access[C]) answered(sentAt time.Time, point topo.Point) {
	now := clock.Now()
	a.reached()
	g := a.engine.groups.Get(a.upstream.Group)
	g.ObserveAnswer(a.upstream.ID, now.Sub(sentAt))
	g.ObserveReplica(a.upstream.ID, point, now)
	if a.term == 0 {
		return
	}
	a.engine.opts.Control.ReportPrimary(a.upstream.Group, a.term, true)
	if a.engine.opts.Control.Holds(a.upstream.Group, a.term) {
		g.ObservePrimary(point, sentAt)
	}
}

// whileUp returns a context that ends with ctx or when the upstream's circuit
// opens.
func (a *access[C]) whileUp(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.member.Up(), func() { cancel(connpool.ErrCircuitOpen) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// releaseSlot gives the slot back and keeps the connection.
func (a *access[C]) releaseSlot() {
	if a.permit != nil {
		a.permit.Release()
		a.permit = nil
	}
}

// close gives the slot and the connection back. A transaction that is still
// open is rolled back first, without keeping the caller waiting.
func (a *access[C]) close() {
	a.releaseSlot()
	l, first := a.link, a.first
	a.link, a.first = nil, nil
	if l != nil && l.inTransaction && !l.broken {
		go a.rollBack(l, first)
		return
	}
	a.giveBack(l, first)
}

// giveBack returns the connection, if there is one, to its pool.
func (a *access[C]) giveBack(l *link[C], first *gate.Permit) {
	if l != nil {
		a.member.Release(l)
	}
	if first != nil {
		first.End()
	}
}

// rollbackTimeout bounds the wait for the answer to a rollback.
const rollbackTimeout = time.Second

func (a *access[C]) rollBack(l *link[C], first *gate.Permit) {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	if _, err := l.run(ctx, Statement{Verb: Rollback}); err != nil {
		a.failed(err)
	}
	a.giveBack(l, first)
}
