package engine

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/gate"
)

// access holds the admission slot and the connection that statements use at one
// upstream.
type access[C Conn] struct {
	engine   *Engine[C]
	upstream topo.Announcement
	// term is the term of the lease under which the primary is used. It is zero
	// when the upstream proves its position in its answer.
	term   topo.Term
	member *connpool.Member[*pooledConn[C]]
	// serviceTimeKey selects the estimate of the statements' service time.
	serviceTimeKey admission.ServiceTimeKey
	// permit is the slot of the running statement. connPermit is the permit of
	// the first statement; it accounts for the connection until its release.
	permit, connPermit *gate.Permit
	conn               *pooledConn[C]
}

func (e *Engine[C]) newAccess(a topo.Announcement, term topo.Term, r catalog.Route) *access[C] {
	return &access[C]{engine: e, upstream: a, term: term, member: e.pools.Get(a), serviceTimeKey: admission.KeyOf(r.Service)}
}

// request is the input of admission control for a statement.
type request struct {
	route         catalog.Route
	caller        string
	arrived       time.Time
	inTransaction bool
}

// open acquires a slot and, if the access has none yet, a connection. An outcome
// with a kind is a refusal; an error means that the upstream is unavailable. In
// both cases open has sent no statement.
func (a *access[C]) open(ctx context.Context, r request) (outcome.Outcome, error) {
	ctx, cancel := a.withCircuit(ctx)
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
	if a.conn != nil {
		return outcome.Outcome{}, nil
	}
	a.connPermit = permit
	if !a.member.Allow(time.Now()) {
		a.close()
		return outcome.Outcome{}, errCircuitOpen
	}
	pc, err := a.acquireConn(ctx)
	if err != nil {
		a.close()
		a.connectFailed(ctx, err)
		return outcome.Outcome{}, err
	}
	a.conn = pc
	if !a.engine.opts.Control.AcceptsWork(a.upstream.Group, a.upstream.ID) {
		a.close()
		return outcome.Outcome{}, errLeaving
	}
	return outcome.Outcome{}, nil
}

// acquireConn returns a connection that the upstream has not closed.
func (a *access[C]) acquireConn(ctx context.Context) (*pooledConn[C], error) {
	for {
		pc, err := a.member.Acquire(ctx, 0)
		if err != nil || pc.conn.Alive() {
			return pc, err
		}
		pc.broken = true
		a.member.Release(pc)
	}
}

func (a *access[C]) connectFailed(ctx context.Context, err error) {
	var refused *RefusedError
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled), errors.Is(context.Cause(ctx), ErrStopping), errors.As(err, &refused), errors.Is(err, connpool.ErrExhausted):
		a.reached()
	default:
		a.failed(err)
	}
}

// isTimeout reports whether the upstream did not answer in time, as opposed to a
// closed or refused connection.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// reached records that the upstream responded.
func (a *access[C]) reached() {
	if a.member.Succeeded() {
		a.engine.opts.Events.UpstreamRecovered(a.upstream.ID)
	}
}

// failed records that the upstream did not respond.
func (a *access[C]) failed(err error) {
	if a.member.FailedAt(time.Now(), jitter()) {
		a.engine.opts.Events.UpstreamLost(a.upstream.ID, err)
	}
	switch {
	case a.term == 0:
	case isTimeout(err), errors.Is(err, connpool.ErrSlow):
		a.engine.opts.Control.RequestProbe(a.upstream.Group)
	default:
		a.engine.opts.Control.ReportPrimary(a.upstream.Group, a.term, false)
	}
}

// run sends a statement and updates the upstream's state from the answer.
func (a *access[C]) run(ctx context.Context, st Statement) (Result, error) {
	sentAt, before := clock.Now(), time.Now()
	results, err := a.conn.run(ctx, st)
	if isTimeout(err) {
		a.member.DropIdleSince(before)
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) && !errors.Is(err, clientbudget.ErrShort) {
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

// withCircuit returns a context that is cancelled with ctx or when the upstream's
// circuit opens.
func (a *access[C]) withCircuit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.member.Up(), func() { cancel(connpool.ErrCircuitOpen) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// releaseSlot releases the slot and keeps the connection.
func (a *access[C]) releaseSlot() {
	if a.permit != nil {
		a.permit.Release()
		a.permit = nil
	}
}

// close releases the slot and the connection. A transaction that is still open
// is rolled back first, asynchronously, so that the caller does not wait.
func (a *access[C]) close() {
	a.releaseSlot()
	pc, connPermit := a.conn, a.connPermit
	a.conn, a.connPermit = nil, nil
	if pc != nil && pc.inTransaction && !pc.broken {
		go a.rollBack(pc, connPermit)
		return
	}
	a.releaseConn(pc, connPermit)
}

// releaseConn returns the connection, if there is one, to its pool.
func (a *access[C]) releaseConn(pc *pooledConn[C], connPermit *gate.Permit) {
	if pc != nil {
		a.member.Release(pc)
	}
	if connPermit != nil {
		connPermit.End()
	}
}

const rollbackTimeout = time.Second

func (a *access[C]) rollBack(pc *pooledConn[C], connPermit *gate.Permit) {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	if _, err := pc.run(ctx, Statement{Verb: Rollback}); err != nil {
		a.failed(err)
	}
	a.releaseConn(pc, connPermit)
}
