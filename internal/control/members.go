package control

import (
	"context"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
)

// tickMembers brings the live view up to date and removes members that hold
// no lease any more.
func (r *reign) tickMembers(ctx context.Context) {
	candidates, gone := r.judgeMembers(clock.Now())
	for _, k := range gone {
		r.remove(ctx, k)
	}
	step := membership.NextEpochStep(r.c.opts.State.Epochs(), candidates)
	switch {
	case step.Prepare != nil:
		r.commit(ctx, ctlstate.Command{Prepare: &ctlstate.PrepareEpoch{Epoch: *step.Prepare}})
		r.publish(ctx, "")
	case step.Activate != 0:
		r.commit(ctx, ctlstate.Command{Activate: &ctlstate.ActivateEpoch{Number: step.Activate}})
		r.publish(ctx, "")
	}
}

func (r *reign) judgeMembers(now time.Time) (candidates []membership.Candidate, gone []ctlstate.MemberKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.c.opts.State
	return membership.Judge(state.Members(), state.Epochs(), r.granter, r.confirmed, now, r.c.timing.Remove)
}

// remove deletes a member that holds no lease. From the decision on it gets no
// other one, whatever becomes of the entry.
func (r *reign) remove(ctx context.Context, k ctlstate.MemberKey) {
	if !r.markRemoved(k) {
		return
	}
	r.commit(ctx, ctlstate.Command{Remove: &ctlstate.Remove{Key: k}})
	if _, still := r.c.opts.State.Member(k); still {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.granter.Forget(k)
	delete(r.confirmed, k)
	delete(r.sessions, k)
	delete(r.removing, k)
}

// markRemoved returns false when the member has renewed its lease meanwhile.
func (r *reign) markRemoved(k ctlstate.MemberKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.granter.Held(k, clock.Now()) {
		return false
	}
	r.removing[k] = true
	return true
}
