package engine

import (
	"context"
	"errors"
	"time"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/gate"
)

// access runs statements at one upstream: on a connection of this instance, or through
// an instance that holds connections to it.
type access interface {
	// open acquires what the next statement needs. An outcome with a kind is a refusal; an
	// error means that the upstream is unavailable. In both cases nothing was sent to it.
	open(ctx context.Context, r request) (outcome.Outcome, error)
	// execute applies the session's state to the connection and runs the statement. With
	// a *NotRunError nothing was sent to the upstream; after any other error the statement
	// may have run.
	execute(ctx context.Context, state connState, st Statement) (Result, error)
	// via returns the instance whose connection the latest statement used, empty for this
	// one.
	via() topo.InstanceID
	// releaseSlot releases the slot and keeps the connection.
	releaseSlot()
	// close releases everything. A transaction that is still open is rolled back, without
	// making the caller wait.
	close()
}

// connState is what a connection must be set up with before a statement.
type connState struct {
	values map[string]string
	// def is set for an Execute.
	def *Definition
}

// request is the input of admission control for a statement.
type request struct {
	service       contract.Service
	organisation  string
	caller        string
	arrived       time.Time
	inTransaction bool
}

// localAccess is an access on a connection of this instance. It holds the admission slot
// and the connection.
type localAccess[C Conn] struct {
	monitor[C]
	key connpool.Key
	// permit is the slot of the running statement. connPermit is the permit of
	// the first statement; it accounts for the connection until its release.
	permit, connPermit *gate.Permit
	conn               *pooledConn[C]
}

func (e *Engine[C]) newLocalAccess(a topo.Announcement, term topo.Term, r request) *localAccess[C] {
	return &localAccess[C]{monitor: e.newMonitor(a, term, r.service), key: connpool.Key{Organisation: r.organisation}}
}

// open implements access. It acquires a slot and, if the access has none yet, a
// connection.
func (a *localAccess[C]) open(ctx context.Context, r request) (outcome.Outcome, error) {
	ctx, cancel := a.withCircuit(ctx)
	defer cancel()
	gt := a.engine.groups.Get(a.upstream.Group).Gate(a.upstream)
	permit, refused := gt.Acquire(ctx, gate.Request{
		Service: r.service, Caller: r.caller, Arrived: r.arrived, InTransaction: r.inTransaction,
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
func (a *localAccess[C]) acquireConn(ctx context.Context) (*pooledConn[C], error) {
	for {
		pc, err := a.member.Acquire(ctx, a.key)
		if err != nil || pc.conn.Alive() {
			return pc, err
		}
		pc.broken = true
		a.member.Release(pc)
	}
}

func (a *localAccess[C]) connectFailed(ctx context.Context, err error) {
	var refused *RefusedError
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled), errors.Is(context.Cause(ctx), ErrStopping), errors.As(err, &refused), errors.Is(err, connpool.ErrExhausted):
		a.reached()
	default:
		a.failed(err)
	}
}

// execute implements access.
func (a *localAccess[C]) execute(ctx context.Context, state connState, st Statement) (Result, error) {
	name, err := a.conn.setUp(ctx, state.values, state.def)
	if err != nil {
		return Result{}, err
	}
	if st.Verb == Execute {
		st.Name = name
	}
	return a.run(ctx, st)
}

// run sends a statement and updates the upstream's state from the answer.
func (a *localAccess[C]) run(ctx context.Context, st Statement) (Result, error) {
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
	a.ended(st, r, sentAt, clock.Now().Sub(sentAt))
	return r, nil
}

// withCircuit returns a context that is cancelled with ctx or when the upstream's
// circuit opens.
func (a *localAccess[C]) withCircuit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.member.Up(), func() { cancel(connpool.ErrCircuitOpen) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// via implements access.
func (a *localAccess[C]) via() topo.InstanceID { return "" }

// releaseSlot implements access.
func (a *localAccess[C]) releaseSlot() {
	if a.permit != nil {
		a.permit.Release()
		a.permit = nil
	}
}

// close implements access.
func (a *localAccess[C]) close() {
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
func (a *localAccess[C]) releaseConn(pc *pooledConn[C], connPermit *gate.Permit) {
	if pc != nil {
		a.member.Release(pc)
	}
	if connPermit != nil {
		connPermit.End()
	}
}

const rollbackTimeout = time.Second

func (a *localAccess[C]) rollBack(pc *pooledConn[C], connPermit *gate.Permit) {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	if _, err := pc.run(ctx, Statement{Verb: Rollback}); err != nil {
		a.failed(err)
	}
	a.releaseConn(pc, connPermit)
}
