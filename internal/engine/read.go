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
	// maxReadAttempts bounds the placements of one read or transaction begin.
	maxReadAttempts = 4
	// crossZoneCost is added to the cost of an upstream in another availability
	// zone when upstreams are compared: latency and cross-zone traffic.
	crossZoneCost = 12 * time.Millisecond
	// firstAttemptShare is the fraction of the target after which the engine
	// retries an unanswered read at another upstream.
	firstAttemptShare = 0.6
	// minAttemptDivisor divides the statement timeout; the result is the minimum
	// timeout of the first attempt.
	minAttemptDivisor = 3
)

// placement is the upstream chosen for a statement, and the condition under
// which its answer is consistent.
type placement struct {
	upstream topo.Announcement
	// term is the term of the primary's lease if the answer is consistent only
	// under that lease, else zero.
	term topo.Term
	// required is the point that the upstream must prove to have reached if term
	// is zero; age is the minimum time since the primary reached it.
	required topo.Point
	age      time.Duration
}

// readOnce serves a read outside of transactions. It tries upstreams in turn
// until one answers.
func (s *Session[C]) readOnce(ctx context.Context, w workItem) Reply {
	last := outcome.Refused(outcome.CodeNoUpstream, "no upstream can serve the read now")
	avoid := map[topo.UpstreamID]bool{}
	for attempt := 1; attempt <= maxReadAttempts && ctx.Err() == nil; attempt++ {
		s.event.Attempts = attempt
		at, o, ok := s.placeUncongested(ctx, w, avoid)
		if !ok && attempt > 1 {
			return refused(last) // report why the attempted upstreams failed
		}
		if !ok {
			return refused(o)
		}
		r, retry := s.readAt(ctx, w, at, attempt)
		if !retry {
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

// readAt runs a read at one upstream. retry reports whether another upstream may
// serve the read.
func (s *Session[C]) readAt(ctx context.Context, w workItem, at placement, attempt int) (r Reply, retry bool) {
	s.recordPlacement(at)
	if attempt == 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, w.arrived.Add(firstAttemptTimeout(w.route)))
		defer cancel()
	}
	a := s.engine.newAccess(at, w.request)
	defer a.close()
	o, err := a.open(ctx, w.request)
	s.event.Waited = time.Since(w.arrived)
	if err != nil {
		return refused(unavailable(err)), true
	}
	if o.Kind != "" {
		return refused(o), false
	}
	result, err := s.execute(ctx, a, w, at.required)
	if o, final := finalRefusal(err); final {
		return refused(o), false
	}
	if err != nil {
		return refused(unavailable(err)), true
	}
	if retry, o := retryableRead(result.Code); retry {
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

// firstAttemptTimeout returns the timeout of the first attempt.
func firstAttemptTimeout(r catalog.Route) time.Duration {
	share := time.Duration(firstAttemptShare * float64(r.Service.Target))
	return max(share, r.StatementTimeout/minAttemptDivisor)
}

// recordPlacement records where the statement runs.
func (s *Session[C]) recordPlacement(at placement) {
	s.event.Upstream, s.event.Term = at.upstream.ID, at.term
	s.event.Required, s.event.RequiredAge = at.required, at.age
}

// retryableRead reports whether another upstream may serve a read that ended
// with the code, and the outcome for the caller if none is left.
func retryableRead(c Code) (bool, outcome.Outcome) {
	switch c {
	case CodeLagging:
		return true, outcome.Refused(outcome.CodeLagging, "no upstream has reached the position that the read requires")
	case CodeBusy, CodeNoStatement, CodeReadOnly, CodeTooMany, CodeMisrouted:
		return true, outcome.Refused(outcome.CodeNoUpstream, "the upstream refused: "+string(c))
	}
	return false, outcome.Outcome{}
}

// execute runs the statement with the session's state.
func (s *Session[C]) execute(ctx context.Context, a access, w workItem, after topo.Point) (Result, error) {
	st := w.statement
	if !w.writes {
		st.After = after
	}
	r, err := a.execute(ctx, connState{s.values, w.def}, st)
	s.event.Via = a.via()
	return r, err
}

// answer converts an upstream's answer into a reply.
func (s *Session[C]) answer(r Result, at placement, writes bool) Reply {
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
	return outcome.UnknownResult(reason)
}

// unavailable returns the outcome of a statement that an upstream can't serve and
// that cannot have taken effect.
func unavailable(err error) outcome.Outcome {
	var refusedBy *RefusedError
	var notRun *NotRunError
	switch {
	case errors.As(err, &notRun):
		return notRun.Outcome
	case errors.As(err, &refusedBy):
		return outcome.Refused(outcome.CodeNoUpstream, err.Error())
	case errors.Is(err, connpool.ErrExhausted), errors.Is(err, connpool.ErrSlow):
		return outcome.Refused(outcome.CodeOverloaded, "no connection to an upstream is free")
	}
	return outcome.Refused(outcome.CodeNoUpstream, "the upstream cannot be reached: "+err.Error())
}

// place chooses the upstream for a read or a read-only transaction.
func (s *Session[C]) place(w workItem, avoid map[topo.UpstreamID]bool) (placement, outcome.Outcome, bool) {
	ctl := s.engine.opts.Control
	group := w.route.Group
	auth, leads := ctl.Authority(group)
	if w.route.Consistency == catalog.Primary {
		return primaryPlacement(auth, leads && !avoid[auth.Primary.ID])
	}
	g := s.engine.groups.Get(group)
	now := clock.Now()
	g.RecordRead(w.route.Service.MaxAge, now)
	state, _ := ctl.Group(group)
	required, known := g.RequirementWithin(w.route.Service.MaxAge, now)
	if !known && leads {
		required, known = s.engine.awaitSample(w)
	}
	if !known {
		return primaryPlacement(auth, leads && !avoid[auth.Primary.ID])
	}
	now = clock.Now()
	required.Point = state.Clamp(required.Point)
	if w.route.Consistency == catalog.OwnWrites {
		required, known = s.withOwnCommit(required, group, state, now)
	}
	if !known {
		return primaryPlacement(auth, leads && !avoid[auth.Primary.ID])
	}
	var offers []routing.Offer
	upstreams := map[topo.UpstreamID]topo.Announcement{}
	for _, u := range ctl.Upstreams(group) {
		if avoid[u.ID] || formerPrimary(u, state) {
			continue
		}
		if !s.engine.pools.Get(u.Announcement).Available(time.Now()) {
			g.ObserveUnavailable(u.ID)
			continue
		}
		upstreams[u.ID] = u.Announcement
		offers = append(offers, s.offer(w, u.Announcement, u.ID == state.Primary))
	}
	best, ok := routing.Select(required, routing.Paced(offers, jitter()))
	if !ok {
		return placement{}, outcome.Refused(outcome.CodeNoUpstream, "no upstream can serve the read now"), false
	}
	return placement{upstream: upstreams[best.ID], required: required.Point, age: required.Age}, outcome.Outcome{}, true
}

// withOwnCommit raises the requirement to the session's latest commit. known is false if
// only the primary can be shown to have that commit.
func (s *Session[C]) withOwnCommit(r routing.Requirement, id topo.GroupID, state topo.Group, now time.Time) (raised routing.Requirement, known bool) {
	own, ok := s.lastCommits[id]
	if !ok {
		return r, true
	}
	g := s.engine.groups.Get(id)
	own = own.Covered(func(maxAge time.Duration) (routing.Requirement, bool) { return g.RequirementWithin(maxAge, now) }, now)
	s.lastCommits[id] = own
	return own.Raise(r, state, now)
}

func (s *Session[C]) offer(w workItem, a topo.Announcement, primary bool) routing.Offer {
	g := s.engine.groups.Get(w.route.Group)
	c := g.Candidate(a, time.Time{}, w.route.Service.Rank)
	o := routing.Offer{
		ID: a.ID, Point: c.Point, Lag: c.Lag, ResponseTime: c.RoundTrip, QueueWait: c.QueueWait,
		Primary: primary, FailureRate: g.FailureRate(a.ID, clock.Now()),
		Pace: s.engine.pace(w, a),
	}
	if a.Zone != s.engine.opts.Zone {
		o.ZonePenalty = crossZoneCost
	}
	return o
}

func primaryPlacement(auth ctlview.Authority, usable bool) (placement, outcome.Outcome, bool) {
	if !usable {
		return placement{}, outcome.Refused(outcome.CodeNoPrimary, "no primary is available under a valid lease"), false
	}
	return placement{upstream: auth.Primary, term: auth.Term}, outcome.Outcome{}, true
}

// formerPrimary reports whether the upstream still claims the primary role but has
// been replaced: the end of its log may never become part of the group's log.
func formerPrimary(u ctlview.Upstream, state topo.Group) bool {
	return u.Role == topo.RolePrimary && u.ID != state.Primary
}
