package engine

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Session is one caller's connection. One goroutine uses it at a time.
type Session[C Conn] struct {
	engine   *Engine[C]
	database string
	name     string
	// values and prepared are what the caller was told to be set.
	values   map[string]string
	prepared map[string]Definition
	// last has for each group the point of the session's latest commit.
	last map[topo.GroupID]commitPoint
	// tx is the open transaction, nil without one. failed says that it was
	// rolled back and the caller has not ended it yet.
	tx     *transaction[C]
	failed bool
	// told is what Events learns of the present statement.
	told Ended
}

// commitPoint is the point of a commit and when it was known.
type commitPoint struct {
	point topo.Point
	at    time.Time
}

func newSession[C Conn](e *Engine[C], database string) *Session[C] {
	return &Session[C]{
		engine: e, database: database, name: strconv.FormatUint(e.callerName(), 10),
		values: map[string]string{}, prepared: map[string]Definition{}, last: map[topo.GroupID]commitPoint{},
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

// Close ends the session and rolls an open transaction back.
func (s *Session[C]) Close() { s.endTransaction() }

// Handle answers one statement through deliver. An error is that of deliver.
func (s *Session[C]) Handle(ctx context.Context, st Statement, deliver func(Reply) error) error {
	arrived := time.Now()
	s.told = Ended{ID: st.ID, Database: s.database, Verb: st.Verb}
	if c := s.engine.opts.Catalog(); c != nil {
		s.told.Config = c.Version
	}
	r := s.serve(ctx, st, arrived)
	r.State = s.State()
	err := s.deliver(&r, deliver)
	s.told.Outcome, s.told.Took = r.Outcome, time.Since(arrived)
	s.engine.opts.Events.Ended(s.told)
	return err
}

// deliver hands the reply out. One that depends on the primary goes out only
// while the lease holds, which is not given back meanwhile.
func (s *Session[C]) deliver(r *Reply, deliver func(Reply) error) error {
	if r.guard == nil {
		return deliver(*r)
	}
	release, ok := s.engine.opts.Control.Hold(r.guard.group, r.guard.term)
	defer release()
	if !ok {
		*r = s.lapsed(*r)
	}
	return deliver(*r)
}

// lapsed is the reply instead of one whose lease has ended.
func (s *Session[C]) lapsed(r Reply) Reply {
	const reason = "the lease on the primary's term ended before the answer could be given"
	if r.guard.writes {
		return Reply{Outcome: outcome.Undecided(reason), State: r.State}
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

// withValue returns a changed copy: connections compare with the map.
func withValue(values map[string]string, name, value string) map[string]string {
	next := maps.Clone(values)
	next[name] = value
	return next
}

// serveFailed answers while the caller has not ended a transaction that was
// rolled back.
func (s *Session[C]) serveFailed(st Statement) Reply {
	switch st.Verb {
	case Rollback:
		s.failed = false
		return done()
	case Commit:
		s.failed = false
		return refused(outcome.Refused(outcome.CodeRolledBack, "the transaction had failed and is rolled back"))
	}
	return protocolError("the transaction has failed; end it first")
}

// work is a statement on its way to an upstream.
type work struct {
	request
	statement Statement
	// def is set for an Execute.
	def    *Definition
	writes bool
}

// serveUpstream serves a statement that an upstream must run.
func (s *Session[C]) serveUpstream(ctx context.Context, st Statement, arrived time.Time) Reply {
	route, ok := s.route()
	if !ok {
		s.failIfOpen()
		return refused(noDatabase(s.database))
	}
	s.told.Route = route
	w := work{request: request{route: route, caller: s.name, arrived: arrived}, statement: st, writes: st.Verb == Write}
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

// route returns how the session is served now. A transaction keeps the route
// under which it began.
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

// committed records the point of the session's latest commit.
func (s *Session[C]) committed(g topo.GroupID, p topo.Point) {
	if p.Compare(s.last[g].point) > 0 {
		s.last[g] = commitPoint{p, clock.Now()}
	}
}

// IdleTooLong rolls an open transaction back whose caller has paused for too
// long. The caller is told by its next statement.
func (s *Session[C]) IdleTooLong() { s.failIfOpen() }

// Malformed is the reply to a statement that can't be understood.
func (s *Session[C]) Malformed(reason string) Reply {
	s.failIfOpen()
	r := protocolError(reason)
	r.State = s.State()
	return r
}
