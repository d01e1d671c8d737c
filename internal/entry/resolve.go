package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/attempt"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/requestid"
	"github.com/cicadacove/cicadacove/internal/core/unit"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// resolve makes one attempt, at the current primary, to determine the outcome
// of a request whose answer was lost.
func (w *write) resolve() attempt.Event {
	w.release()
	w.session.pause(w.finalCtx)
	auth, ok := w.session.awaitAuthority(w.finalCtx)
	if !ok || w.finalCtx.Err() != nil {
		return attempt.TimedOut
	}
	w.bindLease(auth)
	m := w.session.server.opts.Upstreams.Get(auth.Primary)
	conn, err := m.Acquire(w.leaseCtx, connpool.Key{Term: auth.Term})
	if err != nil {
		return attempt.Unresolved
	}
	defer m.Release(conn)
	if err := cancelRequestID(w.leaseCtx, conn, w.req.id); err != nil {
		return attempt.Unresolved
	}
	return w.readStoredState(conn, attempt.Unresolved)
}

// lookUp reads the state that another execution of the same request has stored
// under the request id.
func (w *write) lookUp() attempt.Event {
	e := w.readStoredState(w.access.conn, attempt.Lost)
	if e == attempt.FoundCancelled {
		w.result = result{}
		return attempt.NoEffect
	}
	return e
}

// readStoredState reads the state that is stored under the request id. It
// returns onError if the read fails, or if the id is cancelled and the lease
// has ended.
func (w *write) readStoredState(conn *upstream.Conn, onError attempt.Event) attempt.Event {
	row, err := lookUpRequestID(w.leaseCtx, conn, w.req.id)
	switch {
	case errors.Is(err, requestid.ErrUnknown):
		if w.result.outcome.Kind == outcome.Failed {
			return attempt.Answered // the caller's own statement violated a unique constraint
		}
		w.takeOver = ""
		return attempt.FoundCancelled
	case err != nil:
		return onError
	case row.State == requestid.Cancelled && !w.session.server.opts.Control.Holds(w.session.group, w.auth.Term):
		return onError
	case row.State == requestid.Cancelled:
		w.takeOver = row.Fingerprint
		w.result = result{outcome: outcome.RefusedWithRetry(outcome.CodeNoPrimary, "the answer was lost; the request did not run", noPrimaryRetryHint)}
		return attempt.FoundCancelled
	}
	return w.applyStoredAnswer(conn, row)
}

// applyStoredAnswer answers with the stored answer of a request that has
// already run.
func (w *write) applyStoredAnswer(conn *upstream.Conn, row requestid.Row) attempt.Event {
	w.point = conn.Point()
	if w.mode == attempt.CommitStored {
		w.body = commitAnswer(w.req.unit)
		return attempt.FoundDone
	}
	if row.Fingerprint != w.req.unit.Fingerprint() {
		w.result = result{outcome: outcome.Refused(outcome.CodeDuplicate, "cicadacove.request_id: used for another request")}
		return attempt.Answered
	}
	body, ok := requestid.Decode(w.req.unit.Shape(), row.Stored)
	if !ok {
		w.result = result{outcome: outcome.Outcome{Kind: outcome.Failed, Code: outcome.CodeDuplicate, Reason: "the request has run; its answer cannot be sent again"}}
		return attempt.Answered
	}
	w.body = body
	return attempt.FoundDone
}

// cancelRequestID stores the request id as cancelled unless the id is already
// stored.
func cancelRequestID(ctx context.Context, conn *upstream.Conn, id string) error {
	_, a, err := conn.Exec(ctx, requestid.Cancel(id, newRequestID(), time.Now()))
	if err != nil {
		return err
	}
	if a.Err != nil && a.Err.Code == upstream.CodeUndefinedTable {
		conn.Exec(ctx, requestid.Create)
	}
	if a.Err != nil {
		return a.Err
	}
	return nil
}

func lookUpRequestID(ctx context.Context, conn *upstream.Conn, id string) (requestid.Row, error) {
	rows, a, err := conn.Exec(ctx, requestid.LookUp(id))
	if err != nil {
		return requestid.Row{}, err
	}
	if a.Err != nil {
		return requestid.Row{}, a.Err
	}
	return requestid.ParseRow(rows)
}

// commitAnswer returns the answer to a COMMIT that is known to have succeeded.
func commitAnswer(u *unit.Unit) []byte {
	var buf []byte
	for _, msg := range u.Answer("COMMIT") {
		buf = appendMessage(buf, msg)
	}
	return buf
}
