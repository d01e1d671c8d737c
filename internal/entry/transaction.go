package entry

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/core/attempt"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/statement"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/core/unit"
	"github.com/cicadacove/cicadacove/internal/statechart"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// States of the transaction chart that the code refers to.
const (
	stateIdle = "idle"
	stateLost = "lost"
)

var transactionChart = statechart.MustLoad(charts.Read("transaction.toml"), statechart.Vocabulary{
	Events:  []string{"begin", "end", "upstream_lost", "idle_limit", "caller_gone"},
	Actions: []string{"pin_connection", "release_connection", "close_connection"},
})

// transaction is an open transaction of a caller, pinned to one connection.
type transaction struct {
	access *access
	// id is the request id that the transaction stores, or empty if it stores
	// none.
	id     string
	writes bool
	status byte
}

// step applies an event to the transaction chart and performs its actions.
func (c *callerSession) step(event string) {
	to, actions, ok := transactionChart.Next(c.txState, event)
	if !ok {
		return
	}
	c.txState = to
	for _, a := range actions {
		switch a {
		case "close_connection":
			c.tx.access.conn.Close()
			c.tx.access.close()
			c.tx = nil
		case "release_connection":
			c.tx.access.close()
			c.tx = nil
		}
	}
}

// pin pins the transaction to its connection and marks it as begun.
func (c *callerSession) pin(tx *transaction) {
	c.tx = tx
	c.step("begin")
}

// abortTransaction rolls the open transaction back. The caller learns this
// from the answer to its next statement.
func (c *callerSession) abortTransaction(event, _ string) {
	if c.tx != nil {
		c.step(event)
	}
}

// rollbackOnDisconnect rolls the transaction back when the caller has
// disconnected.
func (c *callerSession) rollbackOnDisconnect() { c.abortTransaction("caller_gone", "") }

// beginWrite opens a transaction on the primary and claims the request id.
func (c *callerSession) beginWrite(ctx context.Context, req *request) (result, error) {
	return c.runWrite(ctx, &write{req: req, mode: attempt.Begin})
}

// runBegin sends the BEGIN unit and the claim of the request id, and pins the
// connection if both succeed.
func (w *write) runBegin() attempt.Event {
	ctx, cancel := w.runContext()
	defer cancel()
	if e := w.sendBegin(ctx); e != attempt.Answered || w.result.outcome.Kind != outcome.Done {
		return e
	}
	tx := &transaction{access: w.access, writes: true, status: 'T'}
	if !w.req.service.Repeatable {
		tx.id = w.req.id
		if e, claimed := w.claimInTransaction(ctx); !claimed {
			if e == attempt.NoEffect {
				w.result = result{} // BEGIN succeeded, but its transaction no longer exists
			}
			return e
		}
	}
	w.access.releaseSlot()
	w.access = nil
	w.session.pin(tx)
	return attempt.Answered
}

// sendBegin sends the BEGIN unit and reads its answer.
func (w *write) sendBegin(ctx context.Context) attempt.Event {
	out, err := w.req.unit.Rewrite(w.session.prepared, w.access.conn.Prepared)
	if err != nil {
		w.result = result{outcome: refusalOutcome(err)}
		return attempt.Answered
	}
	sentAt := time.Now()
	if err := w.access.conn.Send(1, out.Msgs...); err != nil {
		w.access.recordFailure(err)
		return attempt.NoEffect
	}
	ans := &answer{account: w.session.account, limit: maxWriteAnswer}
	a, err := w.access.conn.Receive(ctx, out.Filter(ans.collect))
	if err != nil {
		w.access.recordFailure(err)
		return attempt.NoEffect
	}
	w.access.recordAnswer(sentAt, a.Point)
	if a.Err != nil {
		return w.handleDatabaseError(a.Err, ans.buf)
	}
	markPrepared(out, w.access.conn)
	w.result = result{outcome: outcome.Outcome{Kind: outcome.Done}, body: ans.buf, upstream: w.access.announcement.ID, role: topo.RolePrimary}
	return attempt.Answered
}

// claimInTransaction claims the request id inside the open transaction.
func (w *write) claimInTransaction(ctx context.Context) (e attempt.Event, claimed bool) {
	claim := &pgproto3.Query{String: w.claimSQL("")}
	if err := w.access.conn.Send(1, claim); err != nil {
		w.access.recordFailure(err)
		return attempt.NoEffect, false
	}
	claimed, refused, err := receiveClaim(ctx, w.access)
	if err != nil {
		return attempt.NoEffect, false
	}
	if refused == nil && claimed {
		return "", true
	}
	w.rollback()
	e = w.handleClaimFailure(ctx, refused)
	if e == attempt.AlreadyRan && w.lookUp() == attempt.NoEffect {
		return attempt.NoEffect, false
	}
	if e == attempt.AlreadyRan {
		w.result = result{outcome: outcome.Refused(outcome.CodeDuplicate, "cicadacove.request_id: the transaction has already run")}
		e = attempt.Answered
	}
	return e, false
}

// continueTransaction runs a unit inside the open transaction.
func (c *callerSession) continueTransaction(ctx context.Context, req *request) result {
	runCtx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	acc := c.tx.access
	if acc.term != 0 {
		var cancelLease context.CancelFunc
		runCtx, cancelLease = c.underLease(runCtx, acc.term)
		defer cancelLease()
	}
	o, err := acc.open(runCtx, req, true)
	if err != nil || o.Kind != "" {
		c.step("upstream_lost")
		if o.Kind == "" {
			o = rolledBackOutcome()
		}
		return result{outcome: o}
	}
	r, a, err := c.runPinned(runCtx, req, acc)
	if err != nil {
		c.step("upstream_lost")
		return r
	}
	acc.releaseSlot()
	c.tx.status = a.Tx
	if a.Tx == 'I' {
		c.step("end")
	}
	return r
}

func rolledBackOutcome() outcome.Outcome {
	return outcome.Refused("40001", "the upstream became unavailable; the transaction has been rolled back")
}

// runPinned runs a unit on the pinned connection. After an error the
// transaction must not run another unit.
func (c *callerSession) runPinned(ctx context.Context, req *request, acc *access) (result, upstream.Answer, error) {
	out, err := req.unit.Rewrite(c.prepared, acc.conn.Prepared)
	if err != nil {
		return result{outcome: refusalOutcome(err)}, upstream.Answer{}, err
	}
	ans := &answer{account: c.account, limit: streamThreshold, flush: c.forwardFunc(acc)}
	before := acc.conn.Point()
	sentAt := time.Now()
	if err := acc.conn.Send(1, out.Msgs...); err != nil {
		return result{outcome: rolledBackOutcome()}, upstream.Answer{}, acc.recordFailure(err)
	}
	a, err := acc.conn.Receive(ctx, out.Filter(ans.collect))
	if err != nil {
		if ans.interrupted {
			c.conn.Close()
		}
		return result{outcome: rolledBackOutcome()}, a, acc.recordFailure(err)
	}
	if acc.term == 0 && a.Point.Compare(before) < 0 {
		return result{outcome: rolledBackOutcome()}, a, errReplicaBehind
	}
	acc.recordAnswer(sentAt, a.Point)
	r := result{outcome: outcome.Outcome{Kind: outcome.Done}, body: ans.buf, upstream: acc.announcement.ID, role: acc.role()}
	if a.Err != nil {
		r.outcome = failedOutcome(a.Err)
		return r, a, nil
	}
	markPrepared(out, acc.conn)
	if acc.term != 0 && !c.server.opts.Control.Holds(c.group, acc.term) {
		return result{outcome: rolledBackOutcome()}, a, errLeaseEnded
	}
	return r, a, nil
}

// forwardFunc returns a function that sends parts of a long answer to the
// caller. The parts from a primary are sent only under the lease.
func (c *callerSession) forwardFunc(acc *access) func([]byte) error {
	if acc.term != 0 {
		return c.writeUnderLease(acc.term)
	}
	return c.write
}

// commitsWrites reports whether the unit commits an open transaction that may
// contain writes.
func (c *callerSession) commitsWrites(u *unit.Unit) bool {
	return u.Stmt.Kind == statement.Commit && c.tx.writes && c.tx.status == 'T'
}

// commit ends a transaction that may contain writes. If the answer is lost,
// the request id that the transaction stored resolves the outcome.
func (c *callerSession) commit(ctx context.Context, req *request) (result, error) {
	w := &write{req: req, mode: attempt.CommitPlain}
	if c.tx.id != "" {
		w.mode = attempt.CommitStored
		req.id = c.tx.id
	}
	return c.runWrite(ctx, w)
}

// commitPinned sends COMMIT on the transaction's connection.
func (w *write) commitPinned() attempt.Event {
	w.access = w.session.tx.access
	w.bindLease(Authority{Term: w.access.term, Primary: w.access.announcement})
	o, err := w.access.open(w.leaseCtx, w.req, true)
	if err != nil || o.Kind != "" || w.finalCtx.Err() != nil || !w.session.server.opts.Control.Holds(w.session.group, w.auth.Term) {
		w.access.conn.Close()
		return attempt.NoEffect
	}
	out, err := w.req.unit.Rewrite(w.session.prepared, w.access.conn.Prepared)
	if err != nil {
		w.access.conn.Close()
		w.result = result{outcome: refusalOutcome(err)}
		return attempt.Answered
	}
	ans := &answer{account: w.session.account, limit: maxWriteAnswer}
	if err := w.access.conn.Send(1, out.Msgs...); err != nil {
		w.access.recordFailure(err)
		return attempt.Lost
	}
	a, err := w.access.conn.Receive(w.leaseCtx, out.Filter(ans.collect))
	if err != nil || a.Tx != 'I' {
		w.access.recordFailure(err)
		return attempt.Lost
	}
	if a.Err != nil {
		w.setDatabaseError(a.Err, ans.buf)
		return attempt.Answered
	}
	w.body, w.point = ans.buf, a.Point
	return attempt.Committed
}
