package engine

import (
	"cmp"
	"context"
	"maps"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/contain"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Session is one caller's connection. It is used by one goroutine at a time.
type Session[C Conn] struct {
	engine   *Engine[C]
	database string
	// key is the digest of the caller's key.
	key  catalog.KeyDigest
	name string
	// values and prepared are the state that the caller has set.
	values   map[string]string
	prepared map[string]Definition
	// lastCommits is the session's latest commit in each group.
	lastCommits map[topo.GroupID]routing.OwnCommit
	// tx is the open transaction, nil if none. failed means that the engine has
	// rolled back a transaction that the caller has not ended yet.
	tx     *transaction[C]
	failed bool
	// event describes the current statement for Events.
	event StatementEnd
}

func newSession[C Conn](e *Engine[C], database string, key catalog.KeyDigest) *Session[C] {
	return &Session[C]{
		engine: e, database: database, key: key, name: strconv.FormatUint(e.nextCallerID(), 10),
		values: map[string]string{}, prepared: map[string]Definition{}, lastCommits: map[topo.GroupID]routing.OwnCommit{},
	}
}

// State returns the state of the session's transaction.
func (s *Session[C]) State() TxState {
	switch {
	case s.failed:
		return TxFailed
	case s.tx != nil:
		return TxOpen
	}
	return TxNone
}

// Close ends the session and rolls back an open transaction.
func (s *Session[C]) Close() { s.endTransaction() }

// Handle serves one statement and passes the reply to deliver, whose error it
// returns.
func (s *Session[C]) Handle(ctx context.Context, st Statement, deliver func(Reply) error) error {
	arrived := time.Now()
	s.event = s.newEvent(st)
	r := s.serveContained(ctx, st, arrived)
	r.State = s.State()
	err := s.deliver(&r, deliver)
	s.event.Outcome, s.event.Took = r.Outcome, time.Since(arrived)
	if r.Outcome.Kind == outcome.NotRun {
		s.event.Basis = s.engine.basis()
	}
	if err != nil {
		s.event.Undelivered = err.Error()
	}
	s.engine.opts.Events.StatementEnded(s.event)
	return err
}

func (s *Session[C]) newEvent(st Statement) StatementEnd {
	e := StatementEnd{ID: st.ID, Database: s.database, Verb: st.Verb}
	if c := s.engine.opts.Catalog(); c != nil {
		e.Config = c.Version
	}
	return e
}

// Refuse records a statement that was answered with the outcome without being served.
func (s *Session[C]) Refuse(st Statement, o outcome.Outcome) {
	s.event = s.newEvent(st)
	s.event.Outcome, s.event.Basis = o, s.engine.basis()
	if route, ok := s.route(); ok {
		s.event.Route = route
	}
	s.engine.opts.Events.StatementEnded(s.event)
}

// deliver sends the reply to the caller. A reply that depends on the primary is
// sent only while the lease is valid; the lease is not released meanwhile.
func (s *Session[C]) deliver(r *Reply, deliver func(Reply) error) error {
	if r.guard == nil {
		return deliver(*r)
	}
	release, ok := s.engine.opts.Control.Hold(r.guard.group, r.guard.term)
	defer release()
	if !ok {
		*r = s.leaseExpired(*r)
	}
	return deliver(*r)
}

// leaseExpired returns the replacement of a reply whose lease has ended.
func (s *Session[C]) leaseExpired(r Reply) Reply {
	const reason = "the lease on the primary's term ended before the answer could be delivered"
	if r.guard.writes {
		return Reply{Outcome: outcome.UnknownResult(reason), State: r.State}
	}
	if s.tx != nil {
		s.failTransaction()
	}
	return Reply{Outcome: outcome.Refused(outcome.CodeNoPrimary, reason), State: s.State()}
}

func done() Reply { return Reply{Outcome: outcome.Outcome{Kind: outcome.Done}} }

func refused(o outcome.Outcome) Reply { return Reply{Outcome: o} }

func protocolError(reason string) Reply {
	return refused(outcome.Refused(outcome.CodeProtocol, reason))
}

// serveContained is serve, except that an unexpected error ends only the statement.
func (s *Session[C]) serveContained(ctx context.Context, st Statement, arrived time.Time) (r Reply) {
	err := contain.Run(func() { r = s.serve(ctx, st, arrived) })
	if err == nil {
		return r
	}
	klog.ErrorS(err, "engine: unexpected error", "request", st.ID, "database", s.database, "verb", st.Verb.String(), "stack", contain.Stack(err))
	if st.Verb == Commit {
		s.endTransaction()
	} else {
		s.failIfOpen()
	}
	return refused(outcome.UnknownResult("an unexpected error occurred in the entry instance"))
}

func (s *Session[C]) serve(ctx context.Context, st Statement, arrived time.Time) Reply {
	if s.failed {
		return s.serveFailed(st)
	}
	switch st.Verb {
	case Begin:
		return s.begin(st)
	case Rollback:
		return s.rollback()
	case Set:
		s.values = withValue(s.values, st.Name, st.Value)
		return done()
	case Prepare:
		s.prepared[st.Name] = st.Definition
		return done()
	case Deallocate:
		delete(s.prepared, st.Name)
		return done()
	case Commit, Read, Write, Execute:
		return s.serveUpstream(ctx, st, arrived)
	}
	return protocolError("unknown statement")
}

// withValue returns a copy of the map with one value changed. It does not modify
// the map itself, with which connections compare their own values.
func withValue(values map[string]string, name, value string) map[string]string {
	next := maps.Clone(values)
	next[name] = value
	return next
}

// serveFailed serves statements until the caller ends a transaction that was
// rolled back.
func (s *Session[C]) serveFailed(st Statement) Reply {
	switch st.Verb {
	case Rollback:
		s.failed = false
		return done()
	case Commit:
		s.failed = false
		return refused(outcome.Refused(outcome.CodeRolledBack, "the transaction had failed and was rolled back"))
	}
	return protocolError("the transaction has failed; end it first")
}

// workItem is a statement that is to run at an upstream.
type workItem struct {
	request
	route     catalog.Route
	statement Statement
	// def is set for an Execute.
	def    *Definition
	writes bool
}

// serveUpstream serves a statement that an upstream must run.
func (s *Session[C]) serveUpstream(ctx context.Context, st Statement, arrived time.Time) Reply {
	trust := s.engine.opts.Control.ConfigTrust()
	route, ok := s.route()
	if !ok {
		s.failIfOpen()
		return refused(trust.Deny(noDatabase(s.database)))
	}
	s.event.Route = route
	organisation, ok := s.authorize(route)
	if !ok {
		return s.refuseUnauthenticated(st, trust)
	}
	s.event.Organisation = organisation
	if s.tx == nil && !trust.MayServe {
		return refused(outcome.ConfigUnconfirmed())
	}
	r := request{service: route.Service, organisation: organisation, caller: cmp.Or(organisation, s.name), arrived: arrived}
	w := workItem{request: r, route: route, statement: st, writes: st.Verb == Write}
	if st.Verb == Execute {
		def, known := s.prepared[st.Name]
		if !known {
			s.failIfOpen()
			return refused(outcome.Refused(outcome.CodeNoStatement, "no prepared statement "+st.Name))
		}
		w.def, w.writes = &def, def.Writes
	}
	s.engine.retries.attempt()
	ctx, cancel := context.WithDeadline(ctx, arrived.Add(route.StatementTimeout))
	defer cancel()
	if o, admitted := s.admitOperation(ctx, organisation); !admitted {
		s.failIfOpen()
		return refused(o)
	}
	switch {
	case s.tx != nil:
		return s.continueTransaction(ctx, w)
	case st.Verb == Commit:
		return protocolError("no transaction is open")
	case w.writes:
		return s.writeOnce(ctx, w)
	}
	return s.readOnce(ctx, w)
}

// route returns the current route of the session's database. A transaction
// keeps the route with which it began.
func (s *Session[C]) route() (catalog.Route, bool) {
	if s.tx != nil {
		return s.tx.route, true
	}
	c := s.engine.opts.Catalog()
	if c == nil {
		return catalog.Route{}, false
	}
	r, ok := c.Routes[s.database]
	return r, ok
}

func (s *Session[C]) failIfOpen() {
	if s.tx != nil {
		s.failTransaction()
	}
}

// committed records the session's latest commit.
func (s *Session[C]) committed(g topo.GroupID, reported topo.ReportedPoint) {
	s.lastCommits[g] = s.lastCommits[g].Followed(reported, clock.Now())
}

// RollBackIdle rolls back an open transaction that was idle for too long. The
// reply to the caller's next statement reports it.
func (s *Session[C]) RollBackIdle() { s.failIfOpen() }

// Malformed returns the reply to a statement that can't be parsed. It rolls back
// an open transaction.
func (s *Session[C]) Malformed(reason string) Reply {
	s.failIfOpen()
	r := protocolError(reason)
	r.State = s.State()
	return r
}
