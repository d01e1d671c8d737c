// Package rotation drains the callers of an entry instance when it stops and
// while it is isolated from the others. The load balancer routes callers
// elsewhere once its readiness probes fail; callers whose sessions are closed
// before that would reconnect to the same instance.
package rotation

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/drain"
)

const (
	// MinFailedProbes is the number of consecutive failed readiness probes after
	// which the load balancer sends no new callers.
	MinFailedProbes = 2
	// maxDetectionTime bounds the time until the load balancer has sent that many
	// probes, at one per second.
	maxDetectionTime = 2200 * time.Millisecond
	// pollInterval is the interval of checks of the session count and the state.
	pollInterval = 20 * time.Millisecond
)

// Sessions are the sessions of an entry instance.
type Sessions interface {
	// Advance applies a step of the drain to all sessions, including later ones. A
	// step before the current one has no effect.
	Advance(drain.Step)
	// CloseCurrent ends the sessions that are open now: those at such a boundary at
	// once, the others at their next one. Later sessions are not affected.
	CloseCurrent()
	Count() int
}

// Rotation tracks whether the load balancer sends callers to this instance. It
// is safe for concurrent use.
type Rotation struct {
	sessions     Sessions
	failedProbes atomic.Int64
}

// New returns the Rotation of an instance with the given sessions.
func New(s Sessions) *Rotation { return &Rotation{sessions: s} }

// RecordProbe records the answer to a readiness probe of the load balancer.
func (r *Rotation) RecordProbe(ready bool) {
	if ready {
		r.failedProbes.Store(0)
		return
	}
	r.failedProbes.Add(1)
}

// OutOfRotation reports whether the load balancer sends no new callers to this
// instance, which has been unready for the given time.
func (r *Rotation) OutOfRotation(unready time.Duration) bool {
	return r.failedProbes.Load() >= MinFailedProbes || unready > maxDetectionTime
}

// Drain waits until the load balancer sends no new callers, and then ends the sessions
// step by step. It returns when none is left or at the last step of the schedule.
// Meanwhile the instance must report that it is not ready.
func (r *Rotation) Drain(schedule drain.Schedule) {
	began := time.Now()
	klog.InfoS("rotation: drain started", "sessions", r.sessions.Count())
	step := drain.Serve
	for step != drain.Close && (step == drain.Serve || r.sessions.Count() > 0) {
		time.Sleep(pollInterval)
		elapsed := time.Since(began)
		if schedule.StepAt(elapsed, r.OutOfRotation(elapsed)) > step {
			step++ // also after a stall, so that no session misses a step
			klog.InfoS("rotation: drain advances", "step", step.String(), "sessions", r.sessions.Count(), "took_ms", elapsed.Milliseconds())
			r.sessions.Advance(step)
		}
	}
	klog.InfoS("rotation: drain ended", "sessions", r.sessions.Count(), "took_ms", time.Since(began).Milliseconds())
}

// Run calls CloseCurrent once per isolation of the instance, so that the callers
// reconnect to other instances. isolated returns the start of the current
// isolation, if any, on the clock of package clock.
func (r *Rotation) Run(ctx context.Context, isolated func() (since time.Time, ok bool)) error {
	var handled time.Time
	for clock.Sleep(ctx, pollInterval) {
		since, ok := isolated()
		if !ok || since.Equal(handled) || !r.OutOfRotation(clock.Since(since)) {
			continue
		}
		handled = since
		klog.InfoS("rotation: instance is isolated; closing sessions at their statement boundaries", "sessions", r.sessions.Count())
		r.sessions.CloseCurrent()
	}
	return nil
}
