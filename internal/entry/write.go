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
	// failoverHint is the retry hint of a write refused for want of a primary.
	failoverHint = 500 * time.Millisecond
	// retryPause is the pause before a request is tried again.
	retryPause = 20 * time.Millisecond
)

// write is one write request under way. It carries out the actions that
// core/attempt decides on.
type write struct {
	c    *callerSession
	req  *request
	mode attempt.Mode
	m    *attempt.Machine

	// run ends with the request's target, final some time later, when a
	// lost answer is no longer looked for. leased ends with final or with
	// the lease on the term.
	run, final  context.Context
	leased      context.Context
	cancelLease context.CancelFunc

	auth  Authority
	l     *access
	tries int
	// takeOver is the nonce of a cancelled request id that the next attempt
	// takes over, empty when the id is not stored.
	takeOver string
	body     []byte
	point    topo.Point
	// slotEnd is when the write gave its slot back.
	slotEnd time.Time
	// r is the outcome that Report tells.
	r result
	// err is set when the caller cannot be answered any more.
	err error
}

// writeOnce serves a unit that must not run twice. Its request id is stored
// by the same transaction.
func (c *callerSession) writeOnce(ctx context.Context, req *request) (result, error) {
	return c.runWrite(ctx, &write{req: req, mode: attempt.Once})
}

// writeRepeatable serves a unit whose repetition does no harm, or one that
// only prepares statements.
func (c *callerSession) writeRepeatable(ctx context.Context, req *request) (result, error) {
	return c.runWrite(ctx, &write{req: req, mode: attempt.Repeatable})
}

// runWrite drives a write to its end and tells the caller. The result is what
// the caller was told; an error means that it could not be told.
func (c *callerSession) runWrite(ctx context.Context, w *write) (result, error) {
	w.c = c
	w.m = attempt.New(w.mode)
	var cancelFinal, cancelRun context.CancelFunc
	w.final, cancelFinal = context.WithDeadline(ctx, w.req.deadline.Add(c.server.opts.Limits.Resolve))
	defer cancelFinal()
	w.run, cancelRun = context.WithDeadline(w.final, w.req.deadline)
	defer cancelRun()
	defer w.leave()
	c.server.countAttempt()
	for action := w.m.Start(); action != attempt.None; {
		event, over := w.perform(action)
		if over {
			break
		}
		action = w.m.Step(event, attempt.Limits{TimeOver: w.run.Err() != nil, MayRetry: c.server.mayRetry})
	}
	return w.r, w.err
}

// perform carries out one action. over tells that the request has ended.
func (w *write) perform(a attempt.Action) (e attempt.Event, over bool) {
	switch a {
	case attempt.Await:
		return w.await(), false
	case attempt.Open:
		return w.open(), false
	case attempt.Run:
		return w.runUnit(), false
	case attempt.Commit:
		if w.mode == attempt.Once {
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
		w.refuse()
	case attempt.Unknown:
		w.r = result{outcome: outcome.Undecided("the answer was lost and the request's fate could not be found out in time")}
	}
	w.tell()
	return "", true
}

func (w *write) runUnit() attempt.Event {
	switch w.mode {
	case attempt.Begin:
		return w.runBegin()
	case attempt.Repeatable:
		return w.runPlain()
	}
	return w.runClaimed()
}

// tell sends the outcome, which acknowledges nothing.
func (w *write) tell() {
	w.endPinned()
	w.leave()
	w.r.term = 0
	w.err = w.c.deliver(w.req, w.r)
}

// endPinned ends the caller's transaction when the request is its COMMIT.
func (w *write) endPinned() {
	if w.mode == attempt.CommitStored || w.mode == attempt.CommitPlain {
		w.c.step("end")
	}
}

// refuse sets the outcome of a request that did not run. What the last
// attempt gave says why, if it gave anything.
func (w *write) refuse() {
	if kind := w.r.outcome.Kind; kind == outcome.NotRun || kind == outcome.Failed {
		return
	}
	o := outcome.RefusedFor(outcome.CodeNoPrimary, "no primary took the write; it did not run", failoverHint)
	if w.mode == attempt.CommitStored || w.mode == attempt.CommitPlain {
		o = rolledBack()
	}
	w.r = result{outcome: o}
}

// await waits until the lease covers the group. Before a repetition it pauses.
func (w *write) await() attempt.Event {
	w.leave()
	if w.tries++; w.tries > 1 {
		w.c.pause(w.run)
	}
	auth, ok := w.c.awaitAuthority(w.run)
	if !ok || w.run.Err() != nil {
		return attempt.TimeOver
	}
	w.enter(auth)
	return attempt.Authority
}

// enter binds the write to the lease on a term.
func (w *write) enter(auth Authority) {
	w.auth = auth
	w.leased, w.cancelLease = w.c.underLease(w.final, auth.Term)
}

// leave gives back what the last attempt holds.
func (w *write) leave() {
	if w.l != nil {
		w.l.close()
		w.l = nil
	}
	if w.cancelLease != nil {
		w.cancelLease()
		w.cancelLease = nil
	}
}

// runContext ends with the request's target or with the lease.
func (w *write) runContext() (context.Context, context.CancelFunc) {
	return w.c.underLease(w.run, w.auth.Term)
}

func (w *write) open() attempt.Event {
	ctx, cancel := w.runContext()
	defer cancel()
	w.l = w.c.newAccess(w.auth.Primary, w.auth.Term)
	w.r = result{}
	o, err := w.l.open(ctx, w.req, false)
	switch {
	case err != nil:
		return attempt.Unopened
	case o.Kind != "":
		w.r = result{outcome: o}
		return attempt.Refused
	}
	return attempt.Opened
}

// done is the result of a write that may be acknowledged under the term.
func (w *write) done() {
	w.r = result{
		outcome: outcome.Outcome{Kind: outcome.Done}, body: w.body,
		upstream: w.auth.Primary.ID, role: topo.RolePrimary, term: w.auth.Term,
	}
	if w.req.unit.Executes {
		w.r.point = w.point
	}
}

// confirm waits until the write may be acknowledged: durable as its service
// asks, and known to the session's holder.
func (w *write) confirm() attempt.Event {
	if w.l != nil {
		w.l.close()
	}
	w.slotEnd = time.Now()
	if w.req.unit.Executes {
		if err := w.c.confirmWrite(w.leased, w.req, w.auth.Term, w.point); err != nil {
			return attempt.Lost
		}
	}
	w.done()
	return attempt.Confirmed
}

// deliver sends the acknowledgement.
func (w *write) deliver() attempt.Event {
	w.endPinned()
	err := w.c.deliver(w.req, w.r)
	if err == errLeaseEnded {
		return attempt.Lost
	}
	w.c.server.groups.Get(w.c.group).NoteTail(time.Since(w.slotEnd))
	w.err = err
	return attempt.Delivered
}

// pause waits a moment, or for a change of control state.
func (c *callerSession) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.server.opts.Control.Changed():
	case <-time.After(retryPause):
	}
}

// awaitAuthority waits until the lease covers the group.
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
// asks and the session's holder knows of it. ctx ends with the lease.
func (c *callerSession) confirmWrite(ctx context.Context, req *request, term topo.Term, point topo.Point) error {
	if req.service.Durability >= 2 {
		if err := c.confirmSecond(ctx, term, point); err != nil {
			return err
		}
	}
	if !c.register(ctx, req.attrs.SessionID, point) {
		return context.Cause(ctx)
	}
	return nil
}

// confirmSecond waits until a second database holds the write.
func (c *callerSession) confirmSecond(ctx context.Context, term topo.Term, point topo.Point) error {
	replicas := map[topo.UpstreamID]*upstream.Pool{}
	state, _ := c.server.opts.Control.Group(c.group)
	for _, u := range c.server.opts.Control.Upstreams(c.group) {
		if u.ID != state.Primary {
			replicas[u.ID] = c.server.opts.Upstreams.Get(u.Announcement).Pool
		}
	}
	return c.server.confirmer.Wait(ctx, term, point, replicas)
}
