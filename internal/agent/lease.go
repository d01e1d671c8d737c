package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

// Events and actions of the lease chart.
const (
	eventRegistered    = "registered"
	eventGranted       = "granted"
	eventExpired       = "expired"
	eventUnknownMember = "unknown_member"
	eventLeave         = "leave"

	actionLearnUpstreams = "learn_upstreams"
	actionAnnounceChange = "announce_change"
	actionClose          = "close"

	stateUnregistered = "unregistered"
	stateHeld         = "held"
	stateLeft         = "left"
)

// firstRetry is the pause after a renewal that failed. It doubles with each
// further failure, up to the interval between renewals.
const firstRetry = 50 * time.Millisecond

// unleasedRetry is the longest pause after a failed renewal of an instance
// without a lease.
const unleasedRetry = 100 * time.Millisecond

// expiryCheck is the interval at which the ends of the lease and of
// announcements are looked for, to tell those who wait on Changed.
const expiryCheck = 50 * time.Millisecond

// forgetAfter is how long a silent upstream stays known.
const forgetAfter = time.Hour

func loadLeaseChart(data []byte) *statechart.Chart {
	return statechart.MustLoad(data, statechart.Vocabulary{
		Events:  []string{eventRegistered, eventGranted, eventExpired, eventUnknownMember, eventLeave},
		Actions: []string{actionLearnUpstreams, actionAnnounceChange, actionClose},
	})
}

// step takes an event of the lease chart. It needs the lock.
func (a *Agent) step(event string) {
	to, actions, ok := a.chart.Next(a.state, event)
	if !ok {
		return
	}
	a.state = to
	for _, action := range actions {
		switch action {
		case actionLearnUpstreams:
			go a.learnUpstreams()
		case actionAnnounceChange:
			a.notify()
		case actionClose:
			a.holder.Close()
			a.notify()
		}
	}
}

func (a *Agent) renewLoop(ctx context.Context) error {
	retry := firstRetry
	for {
		pause := a.timing.Renew
		if err := a.exchange(ctx); err != nil {
			klog.V(2).Infof("agent: %s: %v", a.opts.Self.ID, err)
			pause = jitter(retry)
			retry = min(2*retry, a.longestRetry())
		} else {
			retry = firstRetry
		}
		if !a.sleep(ctx, pause) {
			return nil
		}
	}
}

// sleep waits for a time or until wakeRenewal. It returns false when ctx ends.
func (a *Agent) sleep(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-a.wake:
	case <-ctx.Done():
		return false
	}
	return true
}

// wakeRenewal lets the next renewal begin at once.
func (a *Agent) wakeRenewal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// longestRetry bounds the pause between failed renewals: without a lease the
// instance serves nobody, so it asks more often.
func (a *Agent) longestRetry() time.Duration {
	if a.HasLease() {
		return a.timing.Renew
	}
	return unleasedRetry
}

// jitter spreads the retries of many instances over time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// exchange registers or renews, as the state asks for.
func (a *Agent) exchange(ctx context.Context) error {
	a.mu.Lock()
	state := a.state
	a.mu.Unlock()
	switch state {
	case stateLeft:
		return nil
	case stateUnregistered:
		return a.register(ctx)
	}
	return a.renew(ctx)
}

func (a *Agent) register(ctx context.Context) error {
	answer, err := call[ctlwire.Answer](ctx, a, ctlwire.KindRegister, ctlwire.Register{Member: a.self()})
	if err != nil {
		return err
	}
	if !a.accepted(answer) {
		a.outbid(answer)
		return fmt.Errorf("register: %s: %s", answer.Status, answer.Reason)
	}
	a.mu.Lock()
	a.wasRegistered = true
	a.step(eventRegistered)
	a.mu.Unlock()
	return a.renew(ctx)
}

// outbid raises the incarnation of a run that was never registered above that
// of a former run. The incarnation is the time of day at the start, which may
// have gone back since then. A run that was registered once stays superseded.
func (a *Agent) outbid(answer ctlwire.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer.Status != ctlwire.Superseded || a.wasRegistered || answer.Highest < a.incarnation.Load() {
		return
	}
	klog.InfoS("agent: a former run has a higher incarnation", "instance", a.opts.Self.ID,
		"incarnation", a.incarnation.Load(), "former", answer.Highest)
	a.incarnation.Store(answer.Highest + 1)
}

func (a *Agent) renew(ctx context.Context) error {
	a.mu.Lock()
	request := ctlwire.Renew{
		Key:       a.key(),
		Index:     a.known.Index,
		Revision:  a.config.Revision(),
		Confirmed: membership.ConfirmedEpoch(a.known.Epochs),
	}
	a.mu.Unlock()
	if a.opts.Sessions != nil {
		request.Sessions = a.opts.Sessions()
	}
	sentAt := a.now()
	renewed, err := call[ctlwire.Renewed](ctx, a, ctlwire.KindRenew, request)
	if err != nil {
		return err
	}
	if !a.accepted(renewed.Answer) {
		return fmt.Errorf("renew: %s: %s", renewed.Answer.Status, renewed.Answer.Reason)
	}
	return a.takeRenewal(sentAt, renewed)
}

// takeRenewal learns first what has changed, then extends the lease: so the
// lease never covers a term whose failover had begun when it was granted.
func (a *Agent) takeRenewal(sentAt time.Time, renewed ctlwire.Renewed) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := membership.ConfirmedEpoch(a.known.Epochs)
	news := a.known.Apply(renewed.Delta, true)
	a.holder.Renew(sentAt)
	a.renewedAt = a.now()
	a.step(eventGranted)
	var err error
	if len(renewed.Config) > 0 {
		err = a.config.Apply(renewed.Config)
	}
	a.share = renewed.Share
	if len(renewed.Voters) > 0 {
		a.voters = renewed.Voters
	}
	if news || len(renewed.Config) > 0 {
		a.notify()
	}
	if membership.ConfirmedEpoch(a.known.Epochs) != before {
		go a.confirmEpoch()
	}
	return err
}

// confirmEpoch tells the leader at once that a new epoch is known.
func (a *Agent) confirmEpoch() {
	ctx, cancel := context.WithTimeout(context.Background(), a.timing.Call)
	defer cancel()
	if err := a.renew(ctx); err != nil {
		klog.V(2).Infof("agent: %s: epoch not confirmed: %v", a.opts.Self.ID, err)
	}
}

// accepted acts on the status of a controller's answer and reports whether it
// is OK.
func (a *Agent) accepted(answer ctlwire.Answer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch answer.Status {
	case ctlwire.OK:
		return true
	case ctlwire.UnknownMember, ctlwire.Superseded:
		a.step(eventUnknownMember)
	case ctlwire.Failed:
		// A leader that can't reach a quorum may have been replaced.
		a.leader = ""
	}
	return false
}

func (a *Agent) expiryLoop(ctx context.Context) error {
	for clock.Sleep(ctx, expiryCheck) {
		a.mu.Lock()
		now := a.now()
		if a.state == stateHeld && !a.holder.Valid(now) {
			klog.InfoS("agent: lease expired", "instance", a.opts.Self.ID, "renewed_ms_ago", now.Sub(a.renewedAt).Milliseconds(), "leader", a.leader)
			a.step(eventExpired)
		}
		a.registry.Prune(now, forgetAfter)
		if a.tracker.update(a.registry, now) {
			a.notify()
		}
		a.mu.Unlock()
	}
	return nil
}

// Leave gives the lease back for good and tells the leader. The agent
// acknowledges nothing any more.
func (a *Agent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.step(eventLeave)
	var busy []<-chan struct{}
	for g := range a.known.Groups {
		busy = append(busy, a.guards.whenIdle(g))
	}
	a.mu.Unlock()
	for _, idle := range busy {
		if err := wait(ctx, idle); err != nil {
			return fmt.Errorf("agent: leave: %w", err)
		}
	}
	_, err := call[ctlwire.Answer](ctx, a, ctlwire.KindLeave, ctlwire.Leave{Key: a.key()})
	if err != nil {
		return fmt.Errorf("agent: leave: %w", err)
	}
	return nil
}
