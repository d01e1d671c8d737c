package control

import (
	"context"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
)

// registration is a registration that is being committed.
type registration struct {
	done chan struct{}
	err  error
}

// register commits the registration of a member, unless it is registered already.
// Requests for the same member share one entry of the log.
func (l *leadership) register(ctx context.Context, m ctlstate.Member) error {
	if r, known := l.c.opts.State.Member(m.Key()); known && !r.Superseded && r.Member == m {
		return nil
	}
	l.mu.Lock()
	running, ok := l.registrations[m]
	if !ok {
		running = &registration{done: make(chan struct{})}
		l.registrations[m] = running
		go l.commitRegistration(m, running)
	}
	l.mu.Unlock()
	select {
	case <-running.done:
		return running.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *leadership) commitRegistration(m ctlstate.Member, r *registration) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	_, r.err = l.c.propose(ctx, ctlstate.Command{Register: &ctlstate.Register{Member: m}})
	l.mu.Lock()
	delete(l.registrations, m)
	l.mu.Unlock()
	close(r.done)
}

// reconcileMembers updates the view of live members and removes members that no
// longer hold a lease.
func (l *leadership) reconcileMembers(ctx context.Context) {
	candidates, gone := l.evaluateMembers(clock.Now())
	for _, k := range gone {
		l.remove(ctx, k)
	}
	step := membership.NextEpochStep(l.c.opts.State.Epochs(), candidates, clock.Now().Sub(l.preparedAt))
	switch {
	case step.Prepare != nil:
		l.preparedAt = clock.Now()
		l.commit(ctx, ctlstate.Command{Prepare: &ctlstate.PrepareEpoch{Epoch: *step.Prepare}})
		l.publish(ctx, "")
	case step.Activate != 0:
		l.commit(ctx, ctlstate.Command{Activate: &ctlstate.ActivateEpoch{Number: step.Activate}})
		l.publish(ctx, "")
	}
}

func (l *leadership) evaluateMembers(now time.Time) (candidates []membership.MemberStatus, gone []ctlstate.MemberKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.c.opts.State
	return membership.ClassifyMembers(state.Members(), state.Epochs(), l.granter, l.confirmed, now, l.c.timing.Remove)
}

// remove removes a member that holds no lease. Once the removal is decided the
// member gets no new lease, even if the log entry fails to commit.
func (l *leadership) remove(ctx context.Context, k ctlstate.MemberKey) {
	if !l.markRemoving(k) {
		return
	}
	l.commit(ctx, ctlstate.Command{Remove: &ctlstate.Remove{Key: k}})
	if _, still := l.c.opts.State.Member(k); still {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter.Forget(k)
	delete(l.confirmed, k)
	delete(l.sessions, k)
	delete(l.removingMembers, k)
}

// markRemoving returns false if the member has renewed its lease in the meantime.
func (l *leadership) markRemoving(k ctlstate.MemberKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.granter.Held(k, clock.Now()) {
		return false
	}
	l.removingMembers[k] = true
	return true
}
