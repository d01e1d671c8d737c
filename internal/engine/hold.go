package engine

import (
	"context"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// holdPollInterval is the longest pause before held work checks the upstream again.
	holdPollInterval = 25 * time.Millisecond
	// maxHoldShare is the fraction of its target after which the engine refuses
	// held work.
	maxHoldShare = 0.7
)

// serviceTimes is an admission.ServiceTimes that is safe for concurrent use.
type serviceTimes struct {
	mu    sync.Mutex
	times admission.ServiceTimes
}

// observe records the time of a statement and returns the estimate of its
// service time without queueing.
func (t *serviceTimes) observe(k admission.ServiceTimeKey, took time.Duration) (unqueued time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times.Observe(k, took)
	return t.times.Unqueued(k)
}

func (t *serviceTimes) unqueued(k admission.ServiceTimeKey) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.times.Unqueued(k)
}

// pauseIfCongested holds work back for a short time if the upstream's queue delays
// more urgent work. held is false when the statement may be sent now. Otherwise
// the caller checks the placement again, unless the outcome is a refusal.
func (s *Session[C]) pauseIfCongested(ctx context.Context, w workItem, a topo.Announcement) (o outcome.Outcome, held bool) {
	began := time.Now()
	held, wait := s.engine.shouldHold(w, a)
	if !held {
		return outcome.Outcome{}, false
	}
	s.event.UpstreamWait = wait
	defer func() { s.event.Held += time.Since(began) }()
	limit := maxHoldShare * float64(w.route.Service.Target)
	if time.Since(w.arrived) > time.Duration(limit) {
		retryAfter := time.Duration((jitter() + 0.5) * limit) // randomized so that callers do not retry at the same time
		return outcome.RefusedWithRetry(outcome.CodeOverloaded, "the upstream is congested and serves only more urgent work", retryAfter), true
	}
	if !clock.Sleep(ctx, time.Duration((1+jitter())/2*float64(holdPollInterval))) {
		return outcome.Refused(outcome.CodeTimeout, "the caller's deadline passed while the request was held back"), true
	}
	return outcome.Outcome{}, true
}

// placeUncongested places a read. While the chosen upstream is congested, it holds
// the read back and then repeats the placement.
func (s *Session[C]) placeUncongested(ctx context.Context, w workItem, avoid map[topo.UpstreamID]bool) (placement, outcome.Outcome, bool) {
	for {
		at, o, ok := s.place(w, avoid)
		if !ok {
			return at, o, false
		}
		o, held := s.pauseIfCongested(ctx, w, at.upstream)
		if !held {
			return at, o, true
		}
		if o.Kind != "" {
			return placement{}, o, false
		}
	}
}

// awaitUncongested waits until the upstream is not congested. ok is false when the
// work is refused.
func (s *Session[C]) awaitUncongested(ctx context.Context, w workItem, a topo.Announcement) (o outcome.Outcome, ok bool) {
	for {
		o, held := s.pauseIfCongested(ctx, w, a)
		if !held || o.Kind != "" {
			return o, !held
		}
	}
}

// shouldHold reports whether work must wait for an upstream, and the mean wait in
// the upstream's queue.
func (e *Engine[C]) shouldHold(w workItem, a topo.Announcement) (held bool, wait time.Duration) {
	c := e.opts.Catalog()
	if c == nil {
		return false, 0
	}
	h := admission.Hold{
		Rank: w.route.Service.Rank, UrgentTarget: c.UrgentTarget(w.route.Group, w.route.Service.Rank),
		ServiceTime: e.serviceTimes.unqueued(admission.KeyOf(w.route.Service)), Slots: float64(a.Slots) * e.opts.Share(),
	}
	g, now := e.groups.Get(w.route.Group), clock.Now()
	held, wait = g.ShouldHold(a.ID, h, now)
	if !held && e.pace(w, a) < 1 {
		target := min(w.route.Service.Target, w.route.StatementTimeout)
		held = g.HoldForPace(a.ID, h, time.Since(w.arrived), target, now)
	}
	return held, wait
}

// pace returns the fraction of its usual work that an upstream may be sent, and
// reports a change of its state.
func (e *Engine[C]) pace(w workItem, a topo.Announcement) float64 {
	value, change, changed := e.groups.Get(w.route.Group).Pace(a, clock.Now())
	if changed {
		e.opts.Events.UpstreamPaced(a.ID, change)
	}
	return value
}
