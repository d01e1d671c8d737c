package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/gate"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// access is a slot and a connection at one upstream for one request.
type access struct {
	session *callerSession
	ann     topo.Announcement
	term    topo.Term
	member  *upstream.Member
	permit  *gate.Permit
	conn    *upstream.Conn
}

func (c *callerSession) newAccess(ann topo.Announcement, term topo.Term) *access {
	return &access{session: c, ann: ann, term: term, member: c.server.opts.Upstreams.Get(ann)}
}

// open waits for a slot and a connection. A refusal is an outcome; an error
// means that the upstream cannot be used, and nothing was sent to it.
func (l *access) open(ctx context.Context, req *request, inTransaction bool) (outcome.Outcome, error) {
	s := l.session.server
	ctx, cancel := l.whileUp(ctx)
	defer cancel()
	g := s.groups.Get(l.session.group)
	gt := g.Gate(l.ann)
	service := req.service
	service.Target = g.SlotTarget(service)
	permit, o := gt.Acquire(ctx, gate.Request{
		Service: service, Caller: l.session.name, Arrived: req.arrived, InTransaction: inTransaction,
	})
	if permit == nil {
		return o, unusable(ctx)
	}
	l.permit = permit
	if l.conn != nil {
		l.session.setActive(l.conn)
		return outcome.Outcome{}, nil
	}
	if !l.member.Allow(time.Now()) {
		permit.Release()
		return outcome.Outcome{}, errBusy
	}
	conn, err := l.member.Acquire(ctx, l.term)
	if err != nil {
		permit.Release()
		l.connectFailed(ctx, err)
		return outcome.Outcome{}, err
	}
	l.conn = conn
	l.session.setActive(conn)
	return outcome.Outcome{}, nil
}

// unusable returns the cause of ctx's end if it lies with the upstream and
// not with the request.
func unusable(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errLeaseEnded) || errors.Is(cause, connpool.ErrCircuitOpen) {
		return cause
	}
	return nil
}

func (l *access) connectFailed(ctx context.Context, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		l.member.Succeeded()
		return
	}
	var ce *upstream.ConnectError
	refusedByDatabase := errors.As(err, &ce) && ce.Code != ""
	switch {
	case refusedByDatabase || errors.Is(err, connpool.ErrExhausted):
		l.member.Succeeded()
	case errors.Is(err, connpool.ErrSlow):
		l.member.FailedAt(time.Now(), rand.Float64())
	default:
		l.reportUnreachable()
	}
}

// failed records that the upstream broke off and returns err.
func (l *access) failed(err error) error {
	l.conn.Close()
	switch {
	case errors.Is(err, context.Canceled) || errors.Is(err, errLeaseEnded):
	case errors.Is(err, context.DeadlineExceeded):
		// A slow statement is no evidence that the primary is gone; the
		// agent's probes tell.
		l.member.FailedAt(time.Now(), rand.Float64())
	default:
		l.reportUnreachable()
	}
	return err
}

func (l *access) reportUnreachable() {
	l.member.FailedAt(time.Now(), rand.Float64())
	if l.term != 0 {
		l.session.server.opts.Control.ReportPrimary(l.session.group, l.term, false)
	}
}

// answered records a whole answer and the position that came with it.
func (l *access) answered(sentAt time.Time, point topo.Point) {
	now := time.Now()
	l.member.Succeeded()
	g := l.session.server.groups.Get(l.session.group)
	g.ObserveAnswer(l.ann.ID, now.Sub(sentAt))
	if l.term == 0 {
		g.ObserveReplica(l.ann.ID, point, now)
		return
	}
	l.session.server.opts.Control.ReportPrimary(l.session.group, l.term, true)
	if l.session.server.opts.Control.Holds(l.session.group, l.term) {
		g.ObservePrimary(point, sentAt)
	}
}

func (l *access) role() topo.Role {
	if l.term != 0 {
		return topo.RolePrimary
	}
	return topo.RoleReplica
}

// whileUp returns a context that ends with ctx or when the upstream's circuit
// opens, so that a read does not wait for an upstream that others know to be
// gone.
func (l *access) whileUp(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(l.member.Up(), func() { cancel(connpool.ErrCircuitOpen) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// releaseSlot gives the slot back and keeps the connection.
func (l *access) releaseSlot() {
	l.session.setActive(nil)
	if l.permit != nil {
		l.permit.Release()
		l.permit = nil
	}
}

// close gives the slot and the connection back.
func (l *access) close() {
	l.releaseSlot()
	if l.conn != nil {
		l.member.Release(l.conn)
		l.conn = nil
	}
}
