package entry

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/statement"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

const (
	// maxPatience bounds the wait for a replica that is about to catch up.
	maxPatience = 50 * time.Millisecond
	// spareShare is the part of a service's target that a read may take longer
	// to keep off the primary.
	spareShare = 50
	// askTimeout bounds a question for the primary's position.
	askTimeout = 500 * time.Millisecond
	// provenFor is how long after an answer a connection counts as alive. On
	// a connection that has been silent for longer, the replica proves its
	// position first, which takes no slot and so must come soon.
	provenFor = 100 * time.Millisecond
	// proofGrace is the time a proof may take beyond the wait it was given.
	proofGrace = 250 * time.Millisecond
	// readHint is the retry hint of a read that found no upstream.
	readHint = 100 * time.Millisecond
	// maxReadAttempts bounds how often a read is routed.
	maxReadAttempts = 6
)

var (
	errNotCovered  = errors.New("entry: the replica has not caught up in time")
	errNoAuthority = errors.New("entry: no primary under a lease")
	errBusy        = errors.New("entry: the circuit of the upstream is open")
)

// read serves a unit of a service that only reads. BEGIN opens a transaction
// at the upstream that may serve the session's reads.
func (c *callerSession) read(ctx context.Context, req *request) result {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	want, o, ok := c.readPoint(ctx, req)
	if !ok {
		return result{outcome: o}
	}
	c.server.countAttempt()
	if req.service.MaxAge > 0 {
		c.server.groups.Get(c.group).NoteRead(req.service.MaxAge, req.arrived)
	}
	refused := outcome.Refused(outcome.CodeNoUpstream, "no upstream answered in time")
	avoid := map[topo.UpstreamID]bool{}
	for range maxReadAttempts {
		if ctx.Err() != nil {
			break
		}
		d, choice := c.route(req, want, avoid)
		switch d.Action {
		case routing.Refuse:
			return result{outcome: d.Outcome}
		case routing.AskPrimary:
			if c.askPrimary(ctx) != nil {
				avoid[d.Upstream] = true
			}
			continue
		}
		r, err := c.readAt(ctx, req, d, choice, want.unlocated)
		if err == nil {
			return r
		}
		refused = unanswered(err)
		if !c.server.mayRetry() {
			break
		}
		if d.Action == routing.UseReplica || !errors.Is(err, errNoAuthority) {
			avoid[d.Upstream] = true
		}
	}
	return result{outcome: refused}
}

// unanswered is the outcome of a read that no upstream answered, by the error
// of the last one.
func unanswered(err error) outcome.Outcome {
	if errors.Is(err, connpool.ErrExhausted) || errors.Is(err, connpool.ErrSlow) {
		return outcome.RefusedFor(outcome.CodeOverloaded, "no connection to an upstream is free", readHint)
	}
	return outcome.RefusedFor(outcome.CodeNoUpstream, "no upstream answered in time: "+err.Error(), readHint)
}

// choices are the upstreams behind a routing decision.
type choices struct {
	authority    Authority
	hasAuthority bool
	upstreams    map[topo.UpstreamID]topo.Announcement
}

// route asks the routing decision for the upstream of a read.
func (c *callerSession) route(req *request, want readPoint, avoid map[topo.UpstreamID]bool) (routing.Decision, choices) {
	ctl := c.server.opts.Control
	now := time.Now()
	g := c.server.groups.Get(c.group)
	state, _ := ctl.Group(c.group)
	ch := choices{upstreams: map[topo.UpstreamID]topo.Announcement{}}
	ch.authority, ch.hasAuthority = ctl.Authority(c.group)
	var replicas []routing.Candidate
	var primary *routing.Candidate
	for _, u := range ctl.Upstreams(c.group) {
		if avoid[u.ID] || replaced(u, state) || !c.server.opts.Upstreams.Get(u.Announcement).Available(now) {
			continue
		}
		ch.upstreams[u.ID] = u.Announcement
		if u.ID != state.Primary {
			replicas = append(replicas, g.Candidate(u.Announcement, u.HeardAt, req.service.Rank))
		}
	}
	if ch.hasAuthority && !avoid[ch.authority.Primary.ID] {
		p := g.Candidate(ch.authority.Primary, time.Time{}, req.service.Rank)
		ch.upstreams[p.ID] = ch.authority.Primary
		primary = &p
	}
	r := routing.Read{
		Token:     want.point,
		Unlocated: want.unlocated,
		MaxAge:    req.service.MaxAge,
		Patience:  min(maxPatience, time.Until(req.deadline)/2),
		Spare:     min(maxPatience, req.service.Target/spareShare),
	}
	return g.Choose(c.server.opts.Routing, now, state, r, replicas, primary), ch
}

// replaced reports whether the upstream takes itself for a primary and is not:
// the end of its log may never become part of the group's.
func replaced(u Upstream, state topo.Group) bool {
	return u.Role == topo.RolePrimary && u.ID != state.Primary
}

// readAt serves the read at the chosen upstream. An error means that nothing
// of an answer has been passed on, so that the read may be routed again.
func (c *callerSession) readAt(ctx context.Context, req *request, d routing.Decision, ch choices, establish bool) (result, error) {
	ann := ch.upstreams[d.Upstream]
	l := c.newAccess(ann, 0)
	if d.Action == routing.UsePrimary {
		l.term = ch.authority.Term
		var cancel context.CancelFunc
		ctx, cancel = c.underLease(ctx, l.term)
		defer cancel()
	}
	o, err := l.open(ctx, req, false)
	if err != nil {
		return result{}, err
	}
	if o.Kind != "" {
		return result{outcome: o}, nil
	}
	ctx, cancel := l.whileUp(ctx)
	defer cancel()
	r, err := c.readOn(ctx, req, d, l)
	if err != nil {
		l.close()
		return result{}, err
	}
	if req.unit.Stmt.Kind == statement.Begin && r.outcome.Kind == outcome.Done {
		l.releaseSlot()
		c.pin(&transaction{access: l, status: 'T'})
		return r, nil
	}
	defer l.close()
	if d.Action == routing.UsePrimary {
		if !c.server.opts.Control.Holds(c.group, l.term) {
			return result{}, errNoAuthority
		}
		if establish && req.attrs.SessionID != "" {
			c.establish(req.attrs.SessionID, l.conn.Point())
		}
	}
	return r, nil
}

// readOn runs the unit on an open connection. A replica proves first, in the
// same round trip, that it covers the required point.
func (c *callerSession) readOn(ctx context.Context, req *request, d routing.Decision, l *access) (result, error) {
	out, err := req.unit.Rewrite(c.prepared, l.conn.Prepared)
	if err != nil {
		return result{outcome: refusal(err)}, nil
	}
	before := l.conn.Point()
	sentAt := time.Now()
	prove := d.Action == routing.UseReplica && (!topo.Covers(before, d.Require) || sentAt.Sub(l.conn.AnsweredAt()) > provenFor)
	if prove {
		wait := &pgproto3.Query{String: upstream.WaitSQL(d.Require, d.Wait)}
		if err := l.conn.Send(1, wait); err != nil {
			return result{}, l.failed(err)
		}
	}
	if err := l.conn.Send(1, out.Msgs...); err != nil {
		return result{}, l.failed(err)
	}
	if prove {
		if err := c.awaitProof(ctx, d, l); err != nil {
			return result{}, err
		}
	}
	ans := &answer{limit: streamThreshold}
	if d.Action == routing.UseReplica {
		ans.flush = c.write
	} else {
		ans.limit = maxWriteAnswer
		ans.flush = c.writeUnderLease(l.term)
	}
	a, err := l.conn.Receive(ctx, out.Filter(ans.sink))
	if err != nil && ans.streamed {
		c.conn.Close()
		return result{outcome: outcome.Undecided("the answer was cut"), upstream: l.ann.ID}, nil
	}
	if err != nil {
		return result{}, l.failed(err)
	}
	if d.Action == routing.UseReplica && a.Point.Compare(before) < 0 {
		l.conn.Close()
		return result{}, errNotCovered
	}
	l.answered(sentAt, a.Point)
	prepared(out, l.conn)
	r := result{outcome: outcome.Outcome{Kind: outcome.Done}, body: ans.buf, upstream: l.ann.ID, role: l.role()}
	if a.Err != nil {
		r.outcome = failed(a.Err)
	}
	return r, nil
}

// writeUnderLease passes a part of an answer of the primary on, if the lease
// still holds.
func (c *callerSession) writeUnderLease(term topo.Term) func([]byte) error {
	return func(buf []byte) error {
		if !c.server.opts.Control.Holds(c.group, term) {
			return errNoAuthority
		}
		return c.write(buf)
	}
}

// awaitProof reads the replica's position, which it sent before the answer.
func (c *callerSession) awaitProof(ctx context.Context, d routing.Decision, l *access) error {
	var rows [][]string
	ctx, cancel := context.WithTimeout(ctx, d.Wait+proofGrace)
	defer cancel()
	a, err := l.conn.Receive(ctx, upstream.CollectRows(&rows))
	if err != nil {
		return l.failed(err)
	}
	if a.Err != nil {
		return a.Err
	}
	st, err := upstream.ParseStatus(rows)
	if err != nil {
		return err
	}
	c.server.observeStatus(st, time.Now())
	if !topo.Covers(st.Point, d.Require) {
		l.conn.Close()
		return errNotCovered
	}
	return nil
}

// askPrimary learns the primary's position.
func (c *callerSession) askPrimary(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return c.server.samplePrimary(ctx, c.group)
}

// samplePrimary asks the primary for its position, under the lease.
func (s *Server) samplePrimary(ctx context.Context, id topo.GroupID) error {
	auth, ok := s.opts.Control.Authority(id)
	if !ok {
		return errNoAuthority
	}
	m := s.opts.Upstreams.Get(auth.Primary)
	conn, err := m.Acquire(ctx, auth.Term)
	if err != nil {
		return err
	}
	defer m.Release(conn)
	sentAt := time.Now()
	st, err := conn.Wait(ctx, topo.Point{}, 0)
	if err != nil {
		return err
	}
	if st.Role != topo.RolePrimary || !s.opts.Control.Holds(id, auth.Term) {
		return errNoAuthority
	}
	s.groups.Get(id).ObservePrimary(st.Point, sentAt)
	return nil
}
