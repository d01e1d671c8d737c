package entry

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cicadacove/cicadacove/internal/core/attempt"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/requestid"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/core/unit"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// setDatabaseError sets the result to an error that the database returned for
// the caller's statement.
func (w *write) setDatabaseError(err *pgconn.PgError, body []byte) {
	w.result = result{outcome: failedOutcome(err), body: body, upstream: w.access.announcement.ID, role: topo.RolePrimary}
}

// runWithClaim sends BEGIN, the claim of the request id and the unit in one
// round trip.
func (w *write) runWithClaim() attempt.Event {
	ctx, cancel := w.runContext()
	defer cancel()
	conn := w.access.conn
	out, err := w.req.unit.Rewrite(w.session.prepared, conn.Prepared)
	if err != nil {
		w.result = result{outcome: refusalOutcome(err)}
		return attempt.Answered
	}
	begin := &pgproto3.Query{String: "BEGIN"}
	claim := &pgproto3.Query{String: w.claimSQL(w.req.unit.Fingerprint())}
	sentAt := time.Now()
	if err := conn.Send(3, append([]pgproto3.FrontendMessage{begin, claim}, out.Msgs...)...); err != nil {
		w.access.recordFailure(err)
		return attempt.NoEffect
	}
	if _, err := conn.Receive(ctx, nil); err != nil {
		w.access.recordFailure(err)
		return attempt.NoEffect
	}
	claimed, refused, err := receiveClaim(ctx, w.access)
	if err != nil {
		return attempt.NoEffect
	}
	ans := &answer{account: w.session.account, limit: maxWriteAnswer}
	a, err := conn.Receive(ctx, out.Filter(ans.collect))
	if errors.Is(err, errAnswerTooLong) {
		conn.Close()
		w.result = result{outcome: outcome.Refused("54000", err.Error())}
		return attempt.Answered
	}
	if err != nil {
		w.access.recordFailure(err)
		return attempt.NoEffect
	}
	w.access.recordAnswer(sentAt, a.Point)
	if !claimed || refused != nil {
		w.rollback()
		return w.handleClaimFailure(ctx, refused)
	}
	if a.Err != nil {
		w.rollback()
		return w.handleDatabaseError(a.Err, ans.buf)
	}
	markPrepared(out, conn)
	w.body = ans.buf
	return attempt.Ran
}

func (w *write) claimSQL(fingerprint string) string {
	if w.takeOver != "" {
		return requestid.TakeOver(w.req.id, fingerprint, w.takeOver)
	}
	return requestid.Claim(w.req.id, fingerprint, time.Now())
}

// receiveClaim reads the answer to the claim. refused is the error by which the
// database rejected the claim. If claimed is false and refused is nil, a
// request with this id has already run.
func receiveClaim(ctx context.Context, acc *access) (claimed bool, refused error, err error) {
	a, err := acc.conn.Receive(ctx, func(msg pgproto3.BackendMessage) error {
		if m, ok := msg.(*pgproto3.CommandComplete); ok {
			claimed = requestid.Claimed(string(m.CommandTag))
		}
		return nil
	})
	if err != nil {
		acc.recordFailure(err)
		return false, nil, err
	}
	if a.Err != nil {
		return false, a.Err, nil
	}
	return claimed, nil, nil
}

// handleClaimFailure maps a failed claim to an event. The transaction must
// already be rolled back.
func (w *write) handleClaimFailure(ctx context.Context, refused error) attempt.Event {
	if refused == nil {
		return attempt.AlreadyRan
	}
	switch sqlState(refused) {
	case upstream.CodeUndefinedTable:
		w.access.conn.Exec(ctx, requestid.Create)
		return attempt.NoEffect
	case upstream.CodeUniqueViolation:
		return attempt.AlreadyRan
	case upstream.CodeTermRefused, upstream.CodeReadOnly:
		w.access.conn.Close()
		return attempt.NoEffect
	case upstream.CodeSerialization:
		return attempt.NoEffect
	}
	w.result = result{outcome: outcome.Refused(sqlState(refused), "request id: "+refused.Error())}
	return attempt.Answered
}

// handleDatabaseError maps a database error that aborted the transaction to an
// event.
func (w *write) handleDatabaseError(err *pgconn.PgError, body []byte) attempt.Event {
	switch err.Code {
	case upstream.CodeTermRefused, upstream.CodeReadOnly:
		w.access.conn.Close()
		return attempt.NoEffect
	case upstream.CodeSerialization:
		w.setDatabaseError(err, body)
		return attempt.NoEffect
	}
	w.setDatabaseError(err, body)
	return attempt.Answered
}

// commitClaimed stores the answer with the request id and commits.
func (w *write) commitClaimed() attempt.Event {
	conn := w.access.conn
	if w.finalCtx.Err() != nil || !w.session.server.opts.Control.Holds(w.session.group, w.auth.Term) {
		w.rollback()
		return attempt.NoEffect
	}
	store := &pgproto3.Query{String: requestid.StoreAnswer(w.req.id, requestid.Encode(w.req.unit.Shape(), w.body))}
	if err := conn.Send(2, store, &pgproto3.Query{String: "COMMIT"}); err != nil {
		w.access.recordFailure(err)
		return attempt.Lost
	}
	if _, err := conn.Receive(w.leaseCtx, nil); err != nil {
		w.access.recordFailure(err)
		return attempt.Lost
	}
	rolledBack := false
	a, err := conn.Receive(w.leaseCtx, func(msg pgproto3.BackendMessage) error {
		if m, ok := msg.(*pgproto3.CommandComplete); ok {
			rolledBack = string(m.CommandTag) != "COMMIT"
		}
		return nil
	})
	switch {
	case err != nil:
		w.access.recordFailure(err)
		return attempt.Lost
	case a.Err != nil && a.Err.Code == upstream.CodeUniqueViolation:
		w.setDatabaseError(a.Err, nil)
		return attempt.AlreadyRan
	case a.Err != nil:
		return w.handleDatabaseError(a.Err, nil)
	case rolledBack:
		return attempt.NoEffect
	}
	w.point = a.Point
	return attempt.Committed
}

// rollback rolls the open transaction back. If that fails it closes the
// connection.
func (w *write) rollback() { rollback(w.finalCtx, w.access.conn) }

func rollback(ctx context.Context, conn *upstream.Conn) {
	if !conn.InTransaction() {
		return
	}
	if _, _, err := conn.Exec(ctx, "ROLLBACK"); err != nil {
		conn.Close()
	}
}

// runWithoutClaim runs the unit unchanged, without a claim of a request id.
func (w *write) runWithoutClaim() attempt.Event {
	ctx, cancel := w.runContext()
	defer cancel()
	conn := w.access.conn
	out, err := w.req.unit.Rewrite(w.session.prepared, conn.Prepared)
	if err != nil {
		w.result = result{outcome: refusalOutcome(err)}
		return attempt.Answered
	}
	sentAt := time.Now()
	if err := conn.Send(1, out.Msgs...); err != nil {
		w.access.recordFailure(err)
		return attempt.Lost
	}
	ans := &answer{account: w.session.account, limit: maxWriteAnswer}
	a, err := conn.Receive(ctx, out.Filter(ans.collect))
	if errors.Is(err, errAnswerTooLong) {
		conn.Close()
		w.result = result{outcome: outcome.UnknownResult(err.Error())}
		return attempt.Answered
	}
	if err != nil {
		w.access.recordFailure(err)
		return attempt.Lost
	}
	w.access.recordAnswer(sentAt, a.Point)
	if a.Err != nil {
		return w.handleDatabaseError(a.Err, ans.buf)
	}
	markPrepared(out, conn)
	w.body, w.point = ans.buf, a.Point
	return attempt.Committed
}

// markPrepared records which statements a successful unit has prepared on the
// connection.
func markPrepared(out unit.Outgoing, conn *upstream.Conn) {
	for _, name := range out.Names {
		conn.MarkPrepared(name)
	}
}
