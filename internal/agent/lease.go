package agent

import (
	"context"
	"errors"
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

// initialBackoff is the delay after the first failed renewal. It doubles with each
// further failure, up to maxBackoff.
const initialBackoff = 50 * time.Millisecond

// maxUnleasedBackoff is the longest delay after a failed renewal of an instance
// without a lease.
const maxUnleasedBackoff = 100 * time.Millisecond

// expiryCheckInterval is the interval at which the agent checks whether the lease or
// announcements have expired, to wake waiters on Changed.
const expiryCheckInterval = 50 * time.Millisecond

// forgetAfter is how long the registry keeps an upstream that is silent.
const forgetAfter = time.Hour

func loadLeaseChart(data []byte) *statechart.Chart {
	return statechart.MustLoad(data, statechart.Vocabulary{
		Events:  []string{eventRegistered, eventGranted, eventExpired, eventUnknownMember, eventLeave},
		Actions: []string{actionLearnUpstreams, actionAnnounceChange, actionClose},
	})
}

// handleLeaseEvent applies an event to the lease chart. The caller holds a.mu.
func (a *Agent) handleLeaseEvent(event string) {
	to, actions, ok := a.chart.Next(a.leaseState, event)
	if !ok {
		return
	}
	a.leaseState = to
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
	backoff := initialBackoff
	for {
		delay := a.timing.Renew
		err := a.attemptRenewal(ctx)
		_, unusable := errors.AsType[*ConfigError](err)
		switch {
		case err == nil:
			backoff = initialBackoff
		case errors.Is(err, errLeaderFound):
			continue
		case errors.Is(err, errUnanswered):
			delay = jitter(initialBackoff)
		case !unusable: // a retry gets the same configuration
			delay = jitter(backoff)
			backoff = min(2*backoff, a.maxBackoff())
		}
		if err != nil {
			a.recordFailedRenewal(err)
		}
		if !a.sleep(ctx, delay) {
			return nil
		}
	}
}

// recordFailedRenewal keeps the error for the lines about the expired lease.
func (a *Agent) recordFailedRenewal(err error) {
	klog.V(2).Infof("agent: %s: failed to register or to renew the lease: %v", a.opts.Self.ID, err)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failedRenewals++
	a.renewalError = err
}

// errLeaderFound ends an attempt to get a lease because a leader announced itself
// meanwhile. The attempt may wait for voters that do not answer.
var errLeaderFound = errors.New("agent: a leader has announced itself")

// errUnanswered means that an attempt to get a lease has no answer yet. It goes on beside
// the next one.
var errUnanswered = errors.New("agent: not answered yet")

// attemptRenewal registers or renews. It returns errLeaderFound as soon as a new
// leader announces itself, and errUnanswered after the timeout of a call. On a slow link
// each answer takes longer than that, but comes in time for its lease.
func (a *Agent) attemptRenewal(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	done := make(chan error, 1)
	go func() {
		defer cancel(nil)
		done <- a.registerOrRenew(ctx)
	}()
	slow := time.NewTimer(a.timing.Call)
	defer slow.Stop()
	select {
	case err := <-done:
		return err
	case <-a.leaderFound:
		cancel(errLeaderFound)
		<-done
		return errLeaderFound
	case <-slow.C:
		return errUnanswered
	}
}

// sleep waits until the delay is over or wakeRenewal is called. It returns false if
// ctx ends.
func (a *Agent) sleep(ctx context.Context, delay time.Duration) bool {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-a.wake:
	case <-ctx.Done():
		return false
	}
	return true
}

// wakeRenewal starts the next renewal at once.
func (a *Agent) wakeRenewal() { signal(a.wake) }

// signal sends to a channel with a buffer of one, unless a value waits there.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// maxBackoff returns the longest delay between failed renewals. Without a lease the
// instance serves no caller, so it retries more often.
func (a *Agent) maxBackoff() time.Duration {
	if a.HasLease() {
		return a.timing.Renew
	}
	return maxUnleasedBackoff
}

// jitter returns a random delay between d/2 and 3d/2, which spreads the retries of
// many instances over time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// registerOrRenew registers or renews, depending on the state of the lease.
func (a *Agent) registerOrRenew(ctx context.Context) error {
	a.mu.Lock()
	state := a.leaseState
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
	answer, err := callForLease[ctlwire.Answer](ctx, a, ctlwire.KindRegister, ctlwire.Register{Member: a.self()})
	if err != nil {
		return err
	}
	if !a.handleStatus(answer) {
		a.raiseIncarnation(answer)
		return fmt.Errorf("register: %s: %s", answer.Status, answer.Reason)
	}
	a.mu.Lock()
	a.wasRegistered = true
	a.handleLeaseEvent(eventRegistered)
	a.mu.Unlock()
	return a.renew(ctx)
}

// raiseIncarnation raises the incarnation of an agent that was never registered above
// that of a previous run. The incarnation is the wall-clock time at the start, which
// may have been set back since then. An agent that was registered once stays
// superseded.
func (a *Agent) raiseIncarnation(answer ctlwire.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer.Status != ctlwire.Superseded || a.wasRegistered || answer.Highest < a.incarnation.Load() {
		return
	}
	klog.InfoS("agent: a previous run has a higher incarnation; raising this one", "instance", a.opts.Self.ID,
		"incarnation", a.incarnation.Load(), "former", answer.Highest)
	a.incarnation.Store(answer.Highest + 1)
}

func (a *Agent) renew(ctx context.Context) error {
	a.mu.Lock()
	request := ctlwire.Renew{
		Key:       a.key(),
		Index:     a.controlState.Index,
		Revision:  a.config.Revision(),
		Confirmed: membership.ConfirmedEpoch(a.controlState.Epochs),
		Epochs:    a.controlState.Epochs.Changed,
	}
	a.mu.Unlock()
	if a.opts.Sessions != nil {
		request.Sessions = a.opts.Sessions()
	}
	sentAt := a.now()
	renewed, err := callForLease[ctlwire.Renewed](ctx, a, ctlwire.KindRenew, request)
	if err != nil {
		return err
	}
	if !a.handleStatus(renewed.Answer) {
		return fmt.Errorf("renew: %s: %s", renewed.Answer.Status, renewed.Answer.Reason)
	}
	return a.applyRenewal(sentAt, renewed)
}

// applyRenewal applies the delta and the configuration before it extends the lease, so that
// the lease never covers a term whose failover had begun, nor an older configuration than
// the latest, when it was granted.
func (a *Agent) applyRenewal(sentAt time.Time, renewed ctlwire.Renewed) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	before, formerRevision := membership.ConfirmedEpoch(a.controlState.Epochs), a.config.Revision()
	updated := a.controlState.Apply(renewed.Delta, true)
	err := a.applyConfig(sentAt, renewed.Config)
	if err == nil {
		a.extendLease(sentAt, formerRevision)
	}
	a.share = renewed.Share
	if len(renewed.Voters) > 0 {
		a.setVoters(renewed.Voters)
	}
	if updated || len(renewed.Config) > 0 {
		a.notify()
	}
	if membership.ConfirmedEpoch(a.controlState.Epochs) != before {
		go a.confirmEpoch()
	}
	return err
}

// extendLease extends the lease after a renewal sent at sentAt was granted. The caller
// holds a.mu.
func (a *Agent) extendLease(sentAt time.Time, formerRevision uint64) {
	a.holder.Renew(sentAt)
	a.logRegained(a.renewedAt, formerRevision)
	a.renewedAt = a.now()
	a.handleLeaseEvent(eventGranted)
}

// ConfigError means that the latest configuration can't be applied here, for example
// because this build is older than what it holds.
type ConfigError struct{ Err error }

// Error implements error.
func (e *ConfigError) Error() string {
	return "agent: configuration can't be applied: " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *ConfigError) Unwrap() error { return e.Err }

// applyConfig applies the configuration of the answer to a renewal sent at sentAt; an
// empty update means that the current one is the latest. The caller holds a.mu.
func (a *Agent) applyConfig(sentAt time.Time, update []byte) error {
	if len(update) > 0 {
		if err := a.config.Apply(update); err != nil {
			klog.ErrorS(err, "agent: configuration can't be applied", "instance", a.opts.Self.ID, "revision", a.config.Revision())
			return &ConfigError{err}
		}
	}
	if sentAt.After(a.configConfirmedAt) {
		a.configConfirmedAt = sentAt
	}
	return nil
}

// logRegained logs that the lease has been renewed after it had expired. The caller
// holds a.mu.
func (a *Agent) logRegained(formerRenewal time.Time, formerRevision uint64) {
	without := a.now().Sub(formerRenewal)
	if !formerRenewal.IsZero() && without > a.timing.Lease {
		reason := ""
		if a.renewalError != nil {
			reason = a.renewalError.Error()
		}
		klog.InfoS("agent: lease regained", "instance", a.opts.Self.ID, "renewed_ms_ago", without.Milliseconds(),
			"failed_renewals", a.failedRenewals, "last_error", reason, "former_revision", formerRevision, "revision", a.config.Revision())
	}
	a.failedRenewals, a.renewalError = 0, nil
}

// confirmEpoch confirms a new epoch to the leader without waiting for the next
// scheduled renewal.
func (a *Agent) confirmEpoch() {
	ctx, cancel := context.WithTimeout(context.Background(), a.timing.Call)
	defer cancel()
	if err := a.renew(ctx); err != nil {
		klog.V(2).Infof("agent: %s: failed to confirm the epoch: %v", a.opts.Self.ID, err)
	}
}

// handleStatus handles the status of a controller's answer and reports whether it is
// OK.
func (a *Agent) handleStatus(answer ctlwire.Answer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch answer.Status {
	case ctlwire.OK:
		return true
	case ctlwire.UnknownMember, ctlwire.Superseded:
		a.handleLeaseEvent(eventUnknownMember)
	case ctlwire.Failed:
		// A leader that cannot reach a quorum may have been replaced.
		a.leader = ""
	}
	return false
}

func (a *Agent) expiryLoop(ctx context.Context) error {
	for clock.Sleep(ctx, expiryCheckInterval) {
		a.mu.Lock()
		now := a.now()
		if a.leaseState == stateHeld && !a.holder.Valid(now) {
			klog.InfoS("agent: lease expired", "instance", a.opts.Self.ID, "renewed_ms_ago", now.Sub(a.renewedAt).Milliseconds(), "leader", a.leader,
				"failed_renewals", a.failedRenewals, "revision", a.config.Revision())
			a.handleLeaseEvent(eventExpired)
		}
		a.registry.Prune(now, forgetAfter)
		if a.tracker.update(a.registry, now) {
			a.notify()
		}
		a.mu.Unlock()
	}
	return nil
}

// Leave releases the lease for good and notifies the leader. After that the agent
// has no authority to acknowledge writes.
func (a *Agent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.handleLeaseEvent(eventLeave)
	var pending []<-chan struct{}
	for g := range a.controlState.Groups {
		pending = append(pending, a.pendingAcks.whenIdle(g))
	}
	a.mu.Unlock()
	for _, idle := range pending {
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
