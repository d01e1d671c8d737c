package engine

import (
	"context"
	"errors"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// transaction is a caller's open transaction. It has a connection from its first
// statement on.
type transaction[C Conn] struct {
	route catalog.Route
	// organisation is the one that the caller's key had when the transaction began.
	organisation string
	readOnly     bool
	access       access
	placement    placement
	// counted means that the transaction has been counted for the rate limit.
	counted bool
	// wrote means that one of its statements may have written.
	wrote bool
	// refusedBusy means that an upstream without a free slot refused its latest
	// statement.
	refusedBusy bool
}

// begin opens a transaction. BEGIN is sent to the upstream with the first
// statement, so that a caller that pauses before it holds no connection.
func (s *Session[C]) begin(st Statement) Reply {
	if s.tx != nil {
		return protocolError("a transaction is open already")
	}
	trust := s.engine.opts.Control.ConfigTrust()
	route, ok := s.route()
	if !ok {
		return refused(trust.Deny(noDatabase(s.database)))
	}
	s.event.Route = route
	organisation, ok := s.authorize(route)
	if !ok {
		return refused(trust.Deny(unauthenticated()))
	}
	if !trust.MayServe {
		return refused(outcome.ConfigUnconfirmed())
	}
	s.tx = &transaction[C]{route: route, organisation: organisation, readOnly: st.ReadOnly}
	return done()
}

func (s *Session[C]) rollback() Reply {
	if s.tx == nil {
		return protocolError("no transaction is open")
	}
	s.endTransaction()
	return done()
}

// endTransaction rolls back the open transaction and releases its connection.
func (s *Session[C]) endTransaction() {
	if s.tx != nil && s.tx.access != nil {
		s.tx.access.close()
	}
	s.tx = nil
}

// failTransaction rolls back the transaction. The caller still has to end it.
func (s *Session[C]) failTransaction() {
	s.endTransaction()
	s.failed = true
}

// failWith rolls back the transaction and returns the outcome as the reply.
func (s *Session[C]) failWith(o outcome.Outcome) Reply {
	s.failTransaction()
	return refused(o)
}

// continueTransaction runs a statement of the open transaction.
func (s *Session[C]) continueTransaction(ctx context.Context, w workItem) Reply {
	tx := s.tx
	if tx.access == nil {
		return s.firstStatement(ctx, w)
	}
	s.recordPlacement(tx.placement)
	w.inTransaction = true
	o, err := tx.access.open(ctx, w.request)
	if err != nil {
		o = unavailable(err)
	}
	if o.Kind != "" {
		return s.failWith(o)
	}
	defer tx.access.releaseSlot()
	s.event.Waited = time.Since(w.arrived)
	return s.runStatement(ctx, w)
}

// firstStatement opens the transaction at an upstream and runs its first
// statement. If the upstream is too busy, nothing has run, and the transaction
// is retried.
func (s *Session[C]) firstStatement(ctx context.Context, w workItem) Reply {
	tx := s.tx
	for attempt := 1; ; attempt++ {
		if o := s.startTransaction(ctx, w); o.Kind != "" {
			return s.failWith(o)
		}
		s.event.Waited = time.Since(w.arrived)
		r := s.runStatement(ctx, w)
		tx.access.releaseSlot()
		if !tx.refusedBusy || !s.engine.retryBusy(ctx, w, attempt) {
			return r
		}
		s.tx, s.failed = &transaction[C]{route: tx.route, organisation: tx.organisation, readOnly: tx.readOnly, counted: tx.counted}, false
		tx = s.tx
	}
}

func (s *Session[C]) runStatement(ctx context.Context, w workItem) Reply {
	if w.statement.Verb == Commit {
		return s.commit(ctx, w)
	}
	return s.runInTransaction(ctx, w)
}

// startTransaction opens the transaction at an upstream. An outcome with a kind
// is the reason for the failure.
func (s *Session[C]) startTransaction(ctx context.Context, w workItem) outcome.Outcome {
	last := noPrimary()
	avoid := map[topo.UpstreamID]bool{}
	for attempt := 1; attempt <= maxReadAttempts && ctx.Err() == nil; attempt++ {
		s.event.Attempts = attempt
		at, o, ok := s.placeTransaction(ctx, w, avoid)
		if !ok && attempt > 1 {
			return last // report why the attempted upstreams failed
		}
		if !ok {
			return o
		}
		s.tx.access, s.tx.placement = s.engine.newAccess(at, w.request), at
		s.recordPlacement(at)
		o, retry := s.beginAt(ctx, w, s.tx.access, at)
		s.event.Via = s.tx.access.via()
		if o.Kind == "" {
			return o
		}
		s.tx.access.close()
		s.tx.access = nil
		if !retry {
			return o
		}
		last = o
		avoid[at.upstream.ID] = true
	}
	return last
}

func (s *Session[C]) placeTransaction(ctx context.Context, w workItem, avoid map[topo.UpstreamID]bool) (placement, outcome.Outcome, bool) {
	if s.tx.readOnly {
		return s.placeUncongested(ctx, w, avoid)
	}
	auth, ok := s.awaitPrimary(ctx, w)
	if ok {
		if o, free := s.awaitUncongested(ctx, w, auth.Primary); !free {
			return placement{}, o, false
		}
	}
	return primaryPlacement(auth, ok && !avoid[auth.Primary.ID])
}

func (s *Session[C]) beginAt(ctx context.Context, w workItem, a access, at placement) (o outcome.Outcome, retry bool) {
	o, err := a.open(ctx, w.request)
	if err != nil {
		return unavailable(err), true
	}
	if o.Kind != "" {
		return o, false
	}
	begin := Statement{Verb: Begin, ReadOnly: s.tx.readOnly, After: at.required}
	r, err := a.execute(ctx, connState{s.values, w.def}, begin)
	if o, final := finalRefusal(err); final {
		return o, false
	}
	if err != nil {
		return unavailable(err), true
	}
	if r.Code == CodeNone {
		return outcome.Outcome{}, false
	}
	if retry, o := retryableRead(r.Code); retry {
		return o, true
	}
	return outcomeOf(r), false
}

// runInTransaction runs a read or a write of the transaction. If the answer is
// lost, the transaction is rolled back and has no effect.
func (s *Session[C]) runInTransaction(ctx context.Context, w workItem) Reply {
	tx := s.tx
	tx.wrote = tx.wrote || w.writes
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(w.route))
	defer cancel()
	result, err := s.execute(ctx, tx.access, w, topo.Point{})
	if err != nil {
		return s.failWith(rolledBack(err.Error()))
	}
	if result.Code == CodeNone {
		return s.answer(result, tx.placement, false)
	}
	tx.refusedBusy = result.Code == CodeBusy
	o := outcomeOf(result)
	if result.Code.notRun() || o.Kind == outcome.Unknown {
		o = rolledBack(string(result.Code) + " " + result.Detail)
	}
	return s.failWith(o)
}

// rolledBack is the outcome of a transaction whose COMMIT was never sent.
func rolledBack(reason string) outcome.Outcome {
	return outcome.Refused(outcome.CodeRolledBack, "the transaction is rolled back: "+reason)
}

// commit ends the transaction and returns the connection to its pool.
func (s *Session[C]) commit(ctx context.Context, w workItem) Reply {
	tx := s.tx
	if tx.placement.term != 0 && !s.engine.opts.Control.Holds(w.route.Group, tx.placement.term) {
		s.endTransaction()
		return refused(rolledBack("the lease on the primary's term has ended"))
	}
	result, err := s.execute(ctx, tx.access, w, topo.Point{})
	s.endTransaction()
	switch {
	case err != nil && tx.wrote:
		return refused(lostCommit(ctx, err))
	case err != nil:
		return refused(rolledBack(err.Error())) // a read-only transaction has no effect to lose
	case result.Code == CodeNone && tx.wrote:
		s.committed(w.route.Group, result.Point)
	case result.Code != CodeNone && (result.Code.notRun() || !tx.wrote):
		return refused(rolledBack(string(result.Code) + " " + result.Detail))
	}
	return s.answer(result, tx.placement, tx.wrote)
}

const (
	// answerShare is the fraction of the target after which the engine abandons an
	// unanswered statement of a transaction. The transaction then has no effect,
	// and the caller can still retry it within the target.
	answerShare = 0.75
	// minAnswerTimeout is the lower bound of the resulting timeout. It covers the
	// longest usual statements with some queueing.
	minAnswerTimeout = 250 * time.Millisecond
)

func answerTimeout(r catalog.Route) time.Duration {
	return max(time.Duration(answerShare*float64(r.Service.Target)), minAnswerTimeout)
}

func lostCommit(ctx context.Context, err error) outcome.Outcome {
	var setUp *SetUpError
	var notRun *NotRunError
	if errors.As(err, &setUp) || errors.As(err, &notRun) {
		return rolledBack(err.Error())
	}
	return lostWrite(ctx, err)
}
