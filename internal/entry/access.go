package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/gate"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// access is an admission slot and a connection at one upstream, held for one
// request.
type access struct {
	session      *callerSession
	announcement topo.Announcement
	term         topo.Term
	member       *upstream.Member
	permit       *gate.Permit
	conn         *upstream.Conn
}

func (c *callerSession) newAccess(announcement topo.Announcement, term topo.Term) *access {
	c.latest = &access{session: c, announcement: announcement, term: term, member: c.server.opts.Upstreams.Get(announcement)}
	return c.latest
}

// open waits for a slot and a connection. If admission refuses the request,
// open returns the outcome. An error means that the upstream cannot be used
// and that nothing was sent to it.
func (a *access) open(ctx context.Context, req *request, inTransaction bool) (outcome.Outcome, error) {
	s := a.session.server
	ctx, cancel := a.untilCircuitOpens(ctx)
	defer cancel()
	g := s.groups.Get(a.session.group)
	gt := g.Gate(a.announcement)
	service := req.service
	service.Target = g.SlotTarget(service)
	permit, o := gt.Acquire(ctx, gate.Request{
		Service: service, Caller: a.session.callerKey, Arrived: req.arrived, InTransaction: inTransaction,
	})
	if permit == nil {
		return o, upstreamFault(ctx)
	}
	a.permit = permit
	if a.conn != nil {
		a.session.setActiveConn(a.conn)
		return outcome.Outcome{}, nil
	}
	if !a.member.Allow(time.Now()) {
		permit.Release()
		return outcome.Outcome{}, errCircuitOpen
	}
	conn, err := a.member.Acquire(ctx, connpool.Key{Term: a.term})
	if err != nil {
		permit.Release()
		a.recordConnectError(ctx, err)
		return outcome.Outcome{}, err
	}
	a.conn = conn
	a.session.setActiveConn(conn)
	return outcome.Outcome{}, nil
}

// upstreamFault returns the cause of ctx's end if the upstream caused it, and
// nil if the request did.
func upstreamFault(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errLeaseEnded) || errors.Is(cause, connpool.ErrCircuitOpen) {
		return cause
	}
	return nil
}

func (a *access) recordConnectError(ctx context.Context, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.member.Succeeded()
		return
	}
	var ce *upstream.ConnectError
	refusedByDatabase := errors.As(err, &ce) && ce.Code != ""
	switch {
	case refusedByDatabase || errors.Is(err, connpool.ErrExhausted):
		a.member.Succeeded()
	case errors.Is(err, connpool.ErrSlow):
		a.member.FailedAt(time.Now(), rand.Float64())
	default:
		a.reportUnreachable()
	}
}

// recordFailure closes the connection after an upstream failure, records the
// failure and returns err.
func (a *access) recordFailure(err error) error {
	a.conn.Close()
	switch {
	case errors.Is(err, context.Canceled) || errors.Is(err, errLeaseEnded) || errors.Is(err, errAbandoned) || errors.Is(err, clientbudget.ErrShort):
	case errors.Is(err, context.DeadlineExceeded):
		// A slow statement does not show that the primary is unavailable; the
		// agent's probes decide that.
		a.member.FailedAt(time.Now(), rand.Float64())
	default:
		a.reportUnreachable()
	}
	return err
}

func (a *access) reportUnreachable() {
	a.member.FailedAt(time.Now(), rand.Float64())
	if a.term != 0 {
		a.session.server.opts.Control.ReportPrimary(a.session.group, a.term, false)
	}
}

// recordAnswer records a complete answer and the log position that the
// upstream sent with it.
func (a *access) recordAnswer(sentAt time.Time, point topo.Point) {
	now := time.Now()
	a.member.Succeeded()
	g := a.session.server.groups.Get(a.session.group)
	g.ObserveAnswer(a.announcement.ID, now.Sub(sentAt))
	if a.term == 0 {
		g.ObserveReplica(a.announcement.ID, point, now)
		return
	}
	a.session.server.opts.Control.ReportPrimary(a.session.group, a.term, true)
	if a.session.server.opts.Control.Holds(a.session.group, a.term) {
		g.ObservePrimary(point, sentAt)
	}
}

func (a *access) role() topo.Role {
	if a.term != 0 {
		return topo.RolePrimary
	}
	return topo.RoleReplica
}

// untilCircuitOpens returns a context that ends with ctx or when the
// upstream's circuit opens, so that a read does not wait for an upstream that
// other requests have found unavailable.
func (a *access) untilCircuitOpens(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.member.Up(), func() { cancel(connpool.ErrCircuitOpen) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// releaseSlot releases the slot and keeps the connection.
func (a *access) releaseSlot() {
	a.session.setActiveConn(nil)
	if a.permit != nil {
		a.permit.Release()
		a.permit = nil
	}
}

// close releases the slot and the connection.
func (a *access) close() {
	a.releaseSlot()
	if a.conn != nil {
		a.member.Release(a.conn)
		a.conn = nil
	}
}
