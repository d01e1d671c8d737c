package entry

import (
	"context"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/attempt"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

const (
	// noPrimaryRetryHint is the retry hint of a write that was refused because
	// no primary was available.
	noPrimaryRetryHint = 500 * time.Millisecond
	// retryPause is the delay before a retry.
	retryPause = 20 * time.Millisecond
)

// write is one write request in progress. It performs the actions that the
// state machine of core/attempt selects.
type write struct {
	session *callerSession
	req     *request
	mode    attempt.Mode
	machine *attempt.Machine

	// runCtx ends with the request's target. finalCtx ends later, when the
	// server stops resolving a lost answer. leaseCtx ends with finalCtx or
	// with the lease on the term.
	runCtx, finalCtx context.Context
	leaseCtx         context.Context
	cancelLease      context.CancelFunc

	auth     Authority
	access   *access
	attempts int
	// takeOver is the nonce of a cancelled request id that the next attempt
	// takes over, or empty if the id is not stored.
	takeOver string
	body     []byte
	point    topo.Point
	// slotReleasedAt is the time at which the write released its slot.
	slotReleasedAt time.Time
	// result is the result that sendOutcome or deliver sends.
	result result
	// err is set if the result could not be sent to the caller.
	err error
}

// writeOnce serves a unit that must not run twice. The transaction of the unit
// also stores its request id.
func (c *callerSession) writeOnce(ctx context.Context, req *request) (result, error) {
	return c.runWrite(ctx, &write{req: req, mode: attempt.AtMostOnce})
}

// writeRepeatable serves a unit that is safe to repeat, or one that only
// prepares statements.
func (c *callerSession) writeRepeatable(ctx context.Context, req *request) (result, error) {
	return c.runWrite(ctx, &write{req: req, mode: attempt.Repeatable})
}

// runWrite runs a write to completion and sends the result to the caller. It
// returns the result that was sent; an error means that it could not be sent.
func (c *callerSession) runWrite(ctx context.Context, w *write) (result, error) {
	w.session = c
	w.machine = attempt.New(w.mode)
	var cancelFinal, cancelRun context.CancelFunc
	w.finalCtx, cancelFinal = context.WithDeadline(ctx, w.req.deadline.Add(c.server.opts.Limits.Resolve))
	defer cancelFinal()
	w.runCtx, cancelRun = context.WithDeadline(w.finalCtx, w.req.deadline)
	defer cancelRun()
	defer w.release()
	c.server.countAttempt()
	for action := w.machine.Start(); action != attempt.None; {
		event, ended := w.perform(action)
		if ended {
			break
		}
		action = w.machine.Step(event, attempt.Limits{TargetPassed: w.runCtx.Err() != nil, MayRetry: c.server.mayRetry})
	}
	return w.result, w.err
}

// perform performs one action. ended reports whether the request has ended.
func (w *write) perform(a attempt.Action) (e attempt.Event, ended bool) {
	switch a {
	case attempt.Await:
		return w.awaitLease(), false
	case attempt.Open:
		return w.open(), false
	case attempt.Run:
		return w.runUnit(), false
	case attempt.Commit:
		if w.mode == attempt.AtMostOnce {
			return w.commitClaimed(), false
		}
		return w.commitPinned(), false
	case attempt.LookUp:
		return w.lookUp(), false
	case attempt.Confirm:
		return w.confirm(), false
	case attempt.Deliver:
		return w.deliver(), false
	case attempt.Resolve:
		return w.resolve(), false
	case attempt.Refuse:
		w.setRefusal()
	case attempt.Unknown:
		w.result = result{outcome: outcome.UnknownResult("the answer was lost and the outcome of the request could not be determined in time")}
	}
	w.sendOutcome()
	return "", true
}

func (w *write) runUnit() attempt.Event {
	switch w.mode {
	case attempt.Begin:
		return w.runBegin()
	case attempt.Repeatable:
		return w.runWithoutClaim()
	}
	return w.runWithClaim()
}

// sendOutcome sends an outcome that does not acknowledge a write.
func (w *write) sendOutcome() {
	w.endPinned()
	w.release()
	w.result.term = 0
	w.err = w.session.deliver(w.req, w.result)
}

// endPinned ends the caller's transaction if the request is its COMMIT.
func (w *write) endPinned() {
	if w.mode == attempt.CommitStored || w.mode == attempt.CommitPlain {
		w.session.step("end")
	}
}

// setRefusal sets the outcome of a request that did not run. If the last
// attempt gave a reason, that reason is kept.
func (w *write) setRefusal() {
	if kind := w.result.outcome.Kind; kind == outcome.NotRun || kind == outcome.Failed {
		return
	}
	o := outcome.RefusedWithRetry(outcome.CodeNoPrimary, "no primary was available; the write did not run", noPrimaryRetryHint)
	if w.mode == attempt.CommitStored || w.mode == attempt.CommitPlain {
		o = rolledBackOutcome()
	}
	w.result = result{outcome: o}
}

// awaitLease waits until a lease covers the group. It pauses before each
// repeated attempt.
func (w *write) awaitLease() attempt.Event {
	w.release()
	if w.attempts++; w.attempts > 1 {
		w.session.pause(w.runCtx)
	}
	auth, ok := w.session.awaitAuthority(w.runCtx)
	if !ok || w.runCtx.Err() != nil {
		return attempt.TimedOut
	}
	w.bindLease(auth)
	return attempt.Authority
}

// bindLease binds the write to the lease on a term.
func (w *write) bindLease(auth Authority) {
	w.auth = auth
	w.leaseCtx, w.cancelLease = w.session.underLease(w.finalCtx, auth.Term)
}

// release releases the resources of the last attempt.
func (w *write) release() {
	if w.access != nil {
		w.access.close()
		w.access = nil
	}
	if w.cancelLease != nil {
		w.cancelLease()
		w.cancelLease = nil
	}
}

// runContext returns a context that ends with the request's target or with the
// lease.
func (w *write) runContext() (context.Context, context.CancelFunc) {
	return w.session.underLease(w.runCtx, w.auth.Term)
}

func (w *write) open() attempt.Event {
	ctx, cancel := w.runContext()
	defer cancel()
	w.access = w.session.newAccess(w.auth.Primary, w.auth.Term)
	w.result = result{}
	o, err := w.access.open(ctx, w.req, false)
	switch {
	case err != nil:
		return attempt.Unopened
	case o.Kind != "":
		w.result = result{outcome: o}
		return attempt.Refused
	}
	return attempt.Opened
}

// setDone sets the result of a write that may be acknowledged under the term.
func (w *write) setDone() {
	w.result = result{
		outcome: outcome.Outcome{Kind: outcome.Done}, body: w.body,
		upstream: w.auth.Primary.ID, role: topo.RolePrimary, term: w.auth.Term,
	}
	if w.req.unit.Executes {
		w.result.point = w.point
	}
}

// confirm waits until the write may be acknowledged: it must be as durable as
// its service requires and registered with the session's holder.
func (w *write) confirm() attempt.Event {
	if w.access != nil {
		w.access.close()
	}
	w.slotReleasedAt = time.Now()
	if w.req.unit.Executes {
		if err := w.session.confirmWrite(w.leaseCtx, w.req, w.auth.Term, w.point); err != nil {
			return attempt.Lost
		}
	}
	w.setDone()
	return attempt.Confirmed
}

// deliver sends the acknowledgement.
func (w *write) deliver() attempt.Event {
	w.endPinned()
	err := w.session.deliver(w.req, w.result)
	if err == errLeaseEnded {
		return attempt.Lost
	}
	w.session.server.groups.Get(w.session.group).ObservePostSlotTime(time.Since(w.slotReleasedAt))
	w.err = err
	return attempt.Delivered
}

// pause waits for retryPause or until the control state changes.
func (c *callerSession) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.server.opts.Control.Changed():
	case <-time.After(retryPause):
	}
}

// awaitAuthority waits until a lease covers the group.
func (c *callerSession) awaitAuthority(ctx context.Context) (Authority, bool) {
	for {
		changed := c.server.opts.Control.Changed()
		if auth, ok := c.server.opts.Control.Authority(c.group); ok {
			return auth, true
		}
		select {
		case <-changed:
		case <-time.After(retryPause):
		case <-ctx.Done():
			return Authority{}, false
		}
	}
}

// confirmWrite waits until a committed write is as durable as its service
// requires and registered with the session's holder. ctx ends with the lease.
func (c *callerSession) confirmWrite(ctx context.Context, req *request, term topo.Term, point topo.Point) error {
	if req.service.Durability >= 2 {
		if err := c.confirmSecondCopy(ctx, term, point); err != nil {
			return err
		}
	}
	if !c.register(ctx, req.attrs.SessionID, point) {
		return context.Cause(ctx)
	}
	return nil
}

// confirmSecondCopy waits until a second database has the write.
func (c *callerSession) confirmSecondCopy(ctx context.Context, term topo.Term, point topo.Point) error {
	replicas := map[topo.UpstreamID]*upstream.Pool{}
	state, _ := c.server.opts.Control.Group(c.group)
	for _, u := range c.server.opts.Control.Upstreams(c.group) {
		if u.ID != state.Primary {
			replicas[u.ID] = c.server.opts.Upstreams.Get(u.Announcement).Pool
		}
	}
	return c.server.confirmer.Wait(ctx, term, point, replicas)
}
