package quota

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	corequota "github.com/cicadacove/cicadacove/internal/core/quota"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// shareLife is how long the computed share of the tolerance is used.
const shareLife = 100 * time.Millisecond

// organisation is the state of one organisation at this instance.
type organisation struct {
	quota *Quota
	name  string

	mu     sync.Mutex
	holder *corequota.Holder
	// asked is closed when the request in flight has ended; nil without one.
	asked chan struct{}
	// waiting is the number of operations that wait for an answer.
	waiting int
	owner   cachedOwner
	share   cachedShare
	counts  Counts
	log     refusalLog
}

// cachedOwner is the owner in the view of members.
type cachedOwner struct {
	members []ctlstate.Member
	owner   ctlstate.Member
}

type cachedShare struct {
	size  float64
	until time.Time
}

func newOrganisation(q *Quota, name string, holder *corequota.Holder) *organisation {
	return &organisation{quota: q, name: name, holder: holder}
}

// take decides on one operation that arrives at now. It reads the clock only after a
// wait, since a reading is a system call.
func (o *organisation) take(ctx context.Context, now time.Time, limit corequota.Limit) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holder.Arrive(now)
	for range maxRounds {
		decision := o.decide(now, limit)
		if decision.Verdict != corequota.AskOwner {
			return o.finish(now, decision)
		}
		answered := o.wait(ctx)
		now = o.quota.options.Now()
		if !answered {
			break
		}
	}
	return o.finish(now, corequota.Decision{Verdict: corequota.Refuse, RetryAfter: roundsRetryAfter})
}

// decide decides with the current view. The caller holds the lock.
func (o *organisation) decide(now time.Time, limit corequota.Limit) corequota.Decision {
	owner := o.currentOwner()
	decision := o.holder.Decide(now, owner.ID, func() float64 { return o.currentShare(now, limit) },
		limit, o.quota.options.Tolerance)
	if decision.Prefetch {
		o.ask()
	}
	return decision
}

// currentOwner returns the owner in the current view, with an empty ID if there is
// none. The caller holds the lock.
func (o *organisation) currentOwner() ctlstate.Member {
	members := o.quota.options.Members()
	if len(members) == 0 {
		return ctlstate.Member{}
	}
	// The cached slice is kept, so its address cannot be reused for another view.
	if len(members) != len(o.owner.members) || &members[0] != &o.owner.members[0] {
		owner, _ := corequota.Owner(o.name, members)
		o.owner = cachedOwner{members, owner}
	}
	return o.owner.owner
}

func (o *organisation) currentShare(now time.Time, limit corequota.Limit) float64 {
	if now.After(o.share.until) {
		options := &o.quota.options
		size := corequota.Share(options.Self, o.name, options.Members(), limit, options.Tolerance)
		o.share = cachedShare{size, now.Add(shareLife)}
	}
	return o.share.size
}

// wait waits for an answer of the owner and asks for one if none is awaited. It
// returns false if ctx ends first. The caller holds the lock.
func (o *organisation) wait(ctx context.Context) bool {
	o.waiting++
	o.ask()
	asked := o.asked
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.waiting--
	}()
	select {
	case <-asked:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends a request to the owner unless one is in flight. The caller holds the
// lock.
func (o *organisation) ask() {
	if o.asked != nil {
		return
	}
	o.asked = make(chan struct{})
	now := o.quota.options.Now()
	go o.exchange(now, o.currentOwner(), o.holder.Ask(now, o.waiting))
}

// exchange sends a request to the owner and applies the answer.
func (o *organisation) exchange(sentAt time.Time, owner ctlstate.Member, ask corequota.Ask) {
	answer, err := o.call(owner, ask)
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.asked)
	o.asked = nil
	now := o.quota.options.Now()
	if err != nil {
		klog.V(1).Infof("quota: %s: no answer from owner %s: %v", o.name, owner.ID, err)
		o.holder.Unanswered(now, owner.ID)
		return
	}
	o.holder.Answered(now, sentAt, owner.ID, ask, answer)
}

// call sends the request. It is independent of the contexts of the operations that
// wait for the answer.
func (o *organisation) call(owner ctlstate.Member, ask corequota.Ask) (corequota.Answer, error) {
	request := takeRequest{o.name, ask}
	if owner.ID == o.quota.options.Self {
		return o.quota.answer(request), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), corequota.AnswerTimeout)
	defer cancel()
	return peer.Call[corequota.Answer](ctx, o.quota.options.Client, owner.PeerAddr, KindTake, request)
}

// finish counts the decision. The caller holds the lock.
func (o *organisation) finish(now time.Time, d corequota.Decision) (time.Duration, bool) {
	if d.Verdict == corequota.Refuse {
		o.counts.Refused++
		o.refused(now, d)
		return d.RetryAfter, false
	}
	o.counts.Taken++
	if d.WithoutOwner {
		o.counts.Fallback++
	}
	return 0, true
}
