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
	// maxReplicaWait bounds the wait for a replica that has almost caught up.
	maxReplicaWait = 50 * time.Millisecond
	// extraDelayDivisor bounds the extra delay that a read accepts to avoid the
	// primary: the target of its service divided by extraDelayDivisor.
	extraDelayDivisor = 50
	// positionTimeout bounds a query of the primary's position.
	positionTimeout = 500 * time.Millisecond
	// connFreshFor is how long after its last answer a connection is assumed
	// to be alive. On a connection that has been silent for longer, the read
	// first queries the replica's position. That query takes no slot and so
	// returns soon.
	connFreshFor = 100 * time.Millisecond
	// positionGrace is how much longer the position query may take than the
	// wait that it requests from the replica.
	positionGrace = 250 * time.Millisecond
	// readRetryHint is the retry hint of a read for which no upstream was
	// available.
	readRetryHint = 100 * time.Millisecond
	// maxReadAttempts bounds how many times a read is routed.
	maxReadAttempts = 6
)

var (
	errReplicaBehind = errors.New("entry: the replica has not caught up in time")
	errNoAuthority   = errors.New("entry: no primary is available under a valid lease")
	errCircuitOpen   = errors.New("entry: the upstream's circuit breaker is open")
)

// read serves a unit of a read-only service. BEGIN opens a transaction at the
// upstream that routing selects for the session's reads.
func (c *callerSession) read(ctx context.Context, req *request) result {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	required, o, ok := c.findRequiredPoint(ctx, req)
	if !ok {
		return result{outcome: o}
	}
	c.server.countAttempt()
	c.server.groups.Get(c.group).RecordRead(req.service.MaxAge, req.arrived)
	refused := outcome.Refused(outcome.CodeNoUpstream, "no upstream answered in time")
	avoid, queried := map[topo.UpstreamID]bool{}, false
	for range maxReadAttempts {
		if ctx.Err() != nil {
			break
		}
		d, cands := c.route(req, required, queried, avoid)
		switch d.Action {
		case routing.Refuse:
			return result{outcome: d.Outcome}
		case routing.AskPrimary:
			queried = c.refreshPrimaryPosition(ctx) == nil
			avoid[d.Upstream] = !queried
			continue
		}
		r, err := c.readAt(ctx, req, d, cands, required.pointUnknown)
		if err == nil {
			return r
		}
		refused = unansweredOutcome(err)
		if !c.server.mayRetry() {
			break
		}
		if d.Action == routing.UseReplica || !errors.Is(err, errNoAuthority) {
			avoid[d.Upstream] = true
		}
	}
	return result{outcome: refused}
}

// unansweredOutcome returns the outcome of a read that no upstream answered.
// err is the error of the last attempt.
func unansweredOutcome(err error) outcome.Outcome {
	if errors.Is(err, connpool.ErrExhausted) || errors.Is(err, connpool.ErrSlow) {
		return outcome.RefusedWithRetry(outcome.CodeOverloaded, "no connection to an upstream is free", readRetryHint)
	}
	return outcome.RefusedWithRetry(outcome.CodeNoUpstream, "no upstream answered in time: "+err.Error(), readRetryHint)
}

// candidates holds the upstreams that a routing decision may select.
type candidates struct {
	authority    Authority
	hasAuthority bool
	upstreams    map[topo.UpstreamID]topo.Announcement
}

// route selects the upstream of a read. queried reports whether the primary's
// position was queried for it.
func (c *callerSession) route(req *request, required requiredPoint, queried bool, avoid map[topo.UpstreamID]bool) (routing.Decision, candidates) {
	ctl := c.server.opts.Control
	now := time.Now()
	g := c.server.groups.Get(c.group)
	state, _ := ctl.Group(c.group)
	cands := candidates{upstreams: map[topo.UpstreamID]topo.Announcement{}}
	cands.authority, cands.hasAuthority = ctl.Authority(c.group)
	var replicas []routing.Candidate
	var primary *routing.Candidate
	for _, u := range ctl.Upstreams(c.group) {
		if avoid[u.ID] || isFormerPrimary(u, state) || !c.server.opts.Upstreams.Get(u.Announcement).Available(now) {
			continue
		}
		cands.upstreams[u.ID] = u.Announcement
		if u.ID != state.Primary {
			replicas = append(replicas, g.Candidate(u.Announcement, u.ReceivedAt, req.service.Rank))
		}
	}
	if cands.hasAuthority && !avoid[cands.authority.Primary.ID] {
		p := g.Candidate(cands.authority.Primary, time.Time{}, req.service.Rank)
		cands.upstreams[p.ID] = cands.authority.Primary
		primary = &p
	}
	r := routing.Read{
		Token:         required.point,
		PointUnknown:  required.pointUnknown,
		MaxAge:        req.service.MaxAge,
		Queried:       queried,
		MaxWait:       min(maxReplicaWait, time.Until(req.deadline)/2),
		MaxExtraDelay: min(maxReplicaWait, req.service.Target/extraDelayDivisor),
	}
	return g.Choose(c.server.opts.Routing, now, state, r, replicas, primary), cands
}

// isFormerPrimary reports whether the upstream announces itself as primary
// although another upstream is the group's primary. The end of its log may
// never become part of the group's log.
func isFormerPrimary(u Upstream, state topo.Group) bool {
	return u.Role == topo.RolePrimary && u.ID != state.Primary
}

// readAt serves the read at the selected upstream. An error means that no part
// of the answer has been sent to the caller, so that the read may be routed
// again.
func (c *callerSession) readAt(ctx context.Context, req *request, d routing.Decision, cands candidates, registerPoint bool) (result, error) {
	announcement := cands.upstreams[d.Upstream]
	acc := c.newAccess(announcement, 0)
	if d.Action == routing.UsePrimary {
		acc.term = cands.authority.Term
		var cancel context.CancelFunc
		ctx, cancel = c.underLease(ctx, acc.term)
		defer cancel()
	}
	o, err := acc.open(ctx, req, false)
	if err != nil {
		return result{}, err
	}
	if o.Kind != "" {
		return result{outcome: o}, nil
	}
	ctx, cancel := acc.untilCircuitOpens(ctx)
	defer cancel()
	r, err := c.readOn(ctx, req, d, acc)
	if err != nil {
		acc.close()
		return result{}, err
	}
	if req.unit.Stmt.Kind == statement.Begin && r.outcome.Kind == outcome.Done {
		acc.releaseSlot()
		c.pin(&transaction{access: acc, status: 'T'})
		return r, nil
	}
	defer acc.close()
	if d.Action == routing.UsePrimary {
		if !c.server.opts.Control.Holds(c.group, acc.term) {
			if r.partSent {
				return truncatedResult(acc), nil
			}
			return result{}, errNoAuthority
		}
		if registerPoint && req.attrs.SessionID != "" {
			c.registerPrimaryPoint(req.attrs.SessionID, acc.conn.Point())
		}
	}
	return r, nil
}

// readOn runs the unit on an open connection. If needed, a replica first
// reports, in the same round trip, a position that covers the required point.
func (c *callerSession) readOn(ctx context.Context, req *request, d routing.Decision, acc *access) (result, error) {
	out, err := req.unit.Rewrite(c.prepared, acc.conn.Prepared)
	if err != nil {
		return result{outcome: refusalOutcome(err)}, nil
	}
	before := acc.conn.Point()
	sentAt := time.Now()
	checkPosition := d.Action == routing.UseReplica && (!topo.Covers(before, d.Require) || sentAt.Sub(acc.conn.AnsweredAt()) > connFreshFor)
	if checkPosition {
		wait := &pgproto3.Query{String: upstream.WaitSQL(d.Require, d.Wait)}
		if err := acc.conn.Send(1, wait); err != nil {
			return result{}, acc.recordFailure(err)
		}
	}
	if err := acc.conn.Send(1, out.Msgs...); err != nil {
		return result{}, acc.recordFailure(err)
	}
	if checkPosition {
		if err := c.receivePosition(ctx, d, acc); err != nil {
			return result{}, err
		}
	}
	ans := &answer{account: c.account, limit: streamThreshold}
	if d.Action == routing.UseReplica {
		ans.flush = c.write
	} else {
		ans.limit = maxWriteAnswer
		ans.flush = c.writeUnderLease(acc.term)
	}
	a, err := acc.conn.Receive(ctx, out.Filter(ans.collect))
	if err != nil && ans.streamed {
		if ans.interrupted {
			c.conn.Close()
		}
		return truncatedResult(acc), nil
	}
	if err != nil {
		return result{}, acc.recordFailure(err)
	}
	if d.Action == routing.UseReplica && a.Point.Compare(before) < 0 {
		acc.conn.Close()
		if ans.streamed {
			return truncatedResult(acc), nil
		}
		return result{}, errReplicaBehind
	}
	acc.recordAnswer(sentAt, a.Point)
	markPrepared(out, acc.conn)
	r := result{outcome: outcome.Outcome{Kind: outcome.Done}, body: ans.buf, upstream: acc.announcement.ID, role: acc.role(), partSent: ans.streamed}
	if a.Err != nil {
		r.outcome = failedOutcome(a.Err)
	}
	return r, nil
}

// truncatedResult returns the result of a read that failed after a part of its answer
// was sent to the caller. It ends the answer with an error.
func truncatedResult(acc *access) result {
	return result{outcome: outcome.UnknownResult("the answer was truncated"), upstream: acc.announcement.ID, partSent: true}
}

// writeUnderLease returns a function that sends a part of a primary's answer
// to the caller if the lease is still valid.
func (c *callerSession) writeUnderLease(term topo.Term) func([]byte) error {
	return func(buf []byte) error {
		if !c.server.opts.Control.Holds(c.group, term) {
			return errNoAuthority
		}
		return c.write(buf)
	}
}

// receivePosition reads the position that the replica sends before its answer.
func (c *callerSession) receivePosition(ctx context.Context, d routing.Decision, acc *access) error {
	var rows [][]string
	ctx, cancel := context.WithTimeout(ctx, d.Wait+positionGrace)
	defer cancel()
	a, err := acc.conn.Receive(ctx, upstream.CollectRows(&rows))
	if err != nil {
		return acc.recordFailure(err)
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
		acc.conn.Close()
		return errReplicaBehind
	}
	return nil
}

// refreshPrimaryPosition queries and records the primary's position.
func (c *callerSession) refreshPrimaryPosition(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, positionTimeout)
	defer cancel()
	return c.server.samplePrimary(ctx, c.group)
}

// samplePrimary queries the position of the primary under the lease and
// records it.
func (s *Server) samplePrimary(ctx context.Context, id topo.GroupID) error {
	auth, ok := s.opts.Control.Authority(id)
	if !ok {
		return errNoAuthority
	}
	m := s.opts.Upstreams.Get(auth.Primary)
	conn, err := m.Acquire(ctx, connpool.Key{Term: auth.Term})
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
