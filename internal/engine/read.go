package engine

import (
	"context"
	"errors"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlview"
)

const (
	// maxReadAttempts bounds how often a read is placed.
	maxReadAttempts = 4
	// detour is what the way to another availability zone counts for when
	// upstreams are compared: its latency, and the bytes that cross.
	detour = 12 * time.Millisecond
	// firstAttemptShare is the part of the target after which a read that has
	// no answer yet is tried at another upstream.
	firstAttemptShare = 0.6
	// minAttemptPart of the statement's timeout is the least time for it.
	minAttemptPart = 3
)

// seat is the upstream that was chosen for a statement, and what makes its
// answer safe.
type seat struct {
	upstream topo.Announcement
	// term is set for a read that only the lease on the primary makes safe.
	term topo.Term
	// required is what the upstream must prove to hold otherwise, age how long
	// ago the primary had reached it at least.
	required topo.Point
	age      time.Duration
}

// readOnce serves a read outside of transactions. It may run at several
// upstreams until one answers.
func (s *Session[C]) readOnce(ctx context.Context, w work) Reply {
	last := outcome.Refused(outcome.CodeNoUpstream, "no upstream can serve the read now")
	avoid := map[topo.UpstreamID]bool{}
	for attempt := 1; attempt <= maxReadAttempts && ctx.Err() == nil; attempt++ {
		s.told.Attempts = attempt
		at, o, ok := s.placeWithRoom(ctx, w, avoid)
		if !ok && attempt > 1 {
			return refused(last) // tells why the upstreams that were tried failed
		}
		if !ok {
			return refused(o)
		}
		r, again := s.readAt(ctx, w, at, attempt)
		if !again {
			return r
		}
		last = r.Outcome
		avoid[at.upstream.ID] = true
	}
	if ctx.Err() != nil && last.Kind == outcome.NotRun && last.Code == outcome.CodeNoUpstream {
		last = outcome.Refused(outcome.CodeNoUpstream, "no upstream answered in time")
	}
	return refused(last)
}

// readAt runs a read at one upstream. again says that another one may serve
// it.
func (s *Session[C]) readAt(ctx context.Context, w work, at seat, attempt int) (r Reply, again bool) {
	s.tell(at)
	if attempt == 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, w.arrived.Add(firstAttempt(w.route)))
		defer cancel()
	}
	a := s.engine.newAccess(at.upstream, at.term, w.route)
	defer a.close()
	o, err := a.open(ctx, w.request)
	s.told.Waited = time.Since(w.arrived)
	if err != nil {
		return refused(unusable(err)), true
	}
	if o.Kind != "" {
		return refused(o), false
	}
	result, err := s.execute(ctx, a, w, at.required)
	if err != nil {
		return refused(unusable(err)), true
	}
	if again, o := rereads(result.Code); again {
		return refused(o), true
	}
	if o := outcomeOf(result); o.Kind == outcome.Failed {
		return refused(o), s.engine.retries.take()
	}
	if at.term != 0 && !s.engine.opts.Control.Holds(at.upstream.Group, at.term) {
		return refused(outcome.Refused(outcome.CodeNoPrimary, errNoAuthority.Error())), true
	}
	return s.answer(result, at, false), false
}

// firstAttempt is the time for the first upstream that is tried.
func firstAttempt(r catalog.Route) time.Duration {
	share := time.Duration(firstAttemptShare * float64(r.Service.Target))
	return max(share, r.StatementTimeout/minAttemptPart)
}

// tell notes where the statement runs.
func (s *Session[C]) tell(at seat) {
	s.told.Upstream, s.told.Term = at.upstream.ID, at.term
	s.told.Required, s.told.RequiredAge = at.required, at.age
}

// rereads reports whether a read that ended with the code may be served by
// another upstream, and what the caller is told if none is left.
func rereads(c Code) (bool, outcome.Outcome) {
	switch c {
	case CodeLagging:
		return true, outcome.Refused(outcome.CodeLagging, "no upstream holds what the read must see")
	case CodeBusy, CodeNoStatement, CodeReadOnly, CodeTooMany, CodeMisrouted:
		return true, outcome.Refused(outcome.CodeNoUpstream, "the upstream refused: "+string(c))
	}
	return false, outcome.Outcome{}
}

// execute sets the connection up for the session and runs the statement.
func (s *Session[C]) execute(ctx context.Context, a *access[C], w work, after topo.Point) (Result, error) {
	name, err := a.link.setUp(ctx, s.values, w.def)
	if err != nil {
		return Result{}, err
	}
	st := w.statement
	if w.def != nil {
		st.Name = name
	}
	if !w.writes {
		st.After = after
	}
	return a.run(ctx, st)
}

// answer turns an upstream's answer into the reply.
func (s *Session[C]) answer(r Result, at seat, writes bool) Reply {
	reply := Reply{Outcome: outcomeOf(r), Rows: r.Rows, Signature: r.Signature}
	if at.term != 0 {
		reply.guard = &guard{group: at.upstream.Group, term: at.term, writes: writes}
	}
	return reply
}

func outcomeOf(r Result) outcome.Outcome {
	reason := string(r.Code) + " " + r.Detail
	switch r.Code {
	case CodeNone:
		return outcome.Outcome{Kind: outcome.Done}
	case CodeFailed:
		return outcome.Outcome{Kind: outcome.Failed, Code: outcome.CodeUpstreamFailed, Reason: reason}
	case CodeTimeout:
		return outcome.Outcome{Kind: outcome.Unknown, Code: outcome.CodeTimeout, Reason: reason}
	case CodeLagging:
		return outcome.Refused(outcome.CodeLagging, reason)
	case CodeReadOnly:
		return outcome.Refused(outcome.CodeReadOnly, reason)
	}
	if r.Code.notRun() {
		return outcome.Refused(outcome.CodeNoUpstream, "the upstream refused: "+reason)
	}
	return outcome.Undecided(reason)
}

// unusable is the outcome of a statement that an upstream can't serve, when
// nothing of it can take effect.
func unusable(err error) outcome.Outcome {
	var refusedBy *RefusedError
	switch {
	case errors.As(err, &refusedBy):
		return outcome.Refused(outcome.CodeNoUpstream, err.Error())
	case errors.Is(err, connpool.ErrExhausted), errors.Is(err, connpool.ErrSlow):
		return outcome.Refused(outcome.CodeOverloaded, "no connection to an upstream is free")
	}
	return outcome.Refused(outcome.CodeNoUpstream, "the upstream cannot be reached: "+err.Error())
}

// place chooses the upstream for a read or for a transaction that only reads.
func (s *Session[C]) place(w work, avoid map[topo.UpstreamID]bool) (seat, outcome.Outcome, bool) {
	ctl := s.engine.opts.Control
	group := w.route.Group
	auth, leads := ctl.Authority(group)
	if w.route.Consistency == catalog.Primary {
		return primarySeat(auth, leads && !avoid[auth.Primary.ID])
	}
	g := s.engine.groups.Get(group)
	now := clock.Now()
	g.NoteRead(w.route.Service.MaxAge, now)
	state, _ := ctl.Group(group)
	required, known := g.RequirementWithin(w.route.Service.MaxAge, now)
	if !known && leads {
		required, known = s.engine.awaitSample(w)
	}
	if !known {
		return primarySeat(auth, leads && !avoid[auth.Primary.ID])
	}
	now = clock.Now()
	required.Point = state.Clamp(required.Point)
	if w.route.Consistency == catalog.OwnWrites {
		required = s.withOwnCommits(required, state, now)
	}
	var offers []routing.Offer
	upstreams := map[topo.UpstreamID]topo.Announcement{}
	for _, u := range ctl.Upstreams(group) {
		if avoid[u.ID] || replaced(u, state) || !s.engine.pools.Get(u.Announcement).Available(time.Now()) {
			continue
		}
		upstreams[u.ID] = u.Announcement
		offers = append(offers, s.offer(w, u.Announcement, u.ID == state.Primary))
	}
	best, ok := routing.Place(required, offers)
	if !ok {
		return seat{}, outcome.Refused(outcome.CodeNoUpstream, "no upstream can serve the read now"), false
	}
	return seat{upstream: upstreams[best.ID], required: required.Point, age: required.Age}, outcome.Outcome{}, true
}

// withOwnCommits raises the requirement to the session's latest commit that
// was not lost in a failover.
func (s *Session[C]) withOwnCommits(r routing.Requirement, state topo.Group, now time.Time) routing.Requirement {
	own, ok := s.last[state.ID]
	if !ok {
		return r
	}
	if p := state.Clamp(own.point); p.Compare(r.Point) > 0 {
		return routing.Requirement{Point: p, Age: now.Sub(own.at)}
	}
	return r
}

func (s *Session[C]) offer(w work, a topo.Announcement, primary bool) routing.Offer {
	g := s.engine.groups.Get(w.route.Group)
	c := g.Candidate(a, time.Time{}, w.route.Service.Rank)
	o := routing.Offer{
		ID: a.ID, Point: c.Point, Lag: c.Lag, Answer: c.RoundTrip, QueueWait: c.QueueWait,
		Primary: primary, FailureRate: g.FailureRate(a.ID, clock.Now()),
	}
	if a.Zone != s.engine.opts.Zone {
		o.Detour = detour
	}
	return o
}

func primarySeat(auth ctlview.Authority, usable bool) (seat, outcome.Outcome, bool) {
	if !usable {
		return seat{}, outcome.Refused(outcome.CodeNoPrimary, "no primary can be used under a lease now"), false
	}
	return seat{upstream: auth.Primary, term: auth.Term}, outcome.Outcome{}, true
}

// replaced reports whether the upstream takes itself for a primary and is not:
// the end of its log may never become part of the group's.
func replaced(u ctlview.Upstream, state topo.Group) bool {
	return u.Role == topo.RolePrimary && u.ID != state.Primary
}
