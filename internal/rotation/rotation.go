// Package rotation moves callers away from an entry instance: when it stops,
// and while it is cut off from the others. The balancer sends callers elsewhere
// once it has found the instance not ready; sessions that are closed before
// that would come back to it.
package rotation

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
)

const (
	// Misses is how many questions in a row the balancer asks before it sends
	// no new callers.
	Misses = 2
	// longest is when the balancer has asked them at the latest, at one each
	// second.
	longest = 2200 * time.Millisecond
	// poll is how often sessions are counted and the state is looked at.
	poll = 20 * time.Millisecond
	// drainNumerator of drainDenominator is the part of the grace time after
	// which a stopping instance waits for no session any more.
	drainNumerator, drainDenominator = 3, 4
)

// Sessions are the sessions of an entry instance.
type Sessions interface {
	// CloseAll ends all sessions at their next statement boundary outside of
	// transactions, those that begin later too.
	CloseAll()
	// CloseIdle ends the sessions that are at such a boundary now.
	CloseIdle()
	Count() int
}

// Rotation follows whether the balancer sends callers to this instance. It is
// safe for concurrent use.
type Rotation struct {
	sessions Sessions
	misses   atomic.Int64
}

// New returns the rotation of an instance with these sessions.
func New(s Sessions) *Rotation { return &Rotation{sessions: s} }

// Answered records an answer to the balancer's question.
func (r *Rotation) Answered(ready bool) {
	if ready {
		r.misses.Store(0)
		return
	}
	r.misses.Add(1)
}

// Out reports whether the balancer sends no new callers here, after this
// instance has not been ready for a time.
func (r *Rotation) Out(unready time.Duration) bool {
	return r.misses.Load() >= Misses || unready > longest
}

// Drain lets new callers go elsewhere first, then closes sessions at their
// statement boundaries. It returns when none is left or most of the grace time
// has passed. The instance must answer that it is not ready meanwhile.
func (r *Rotation) Drain(grace time.Duration) {
	began := time.Now()
	klog.InfoS("rotation: draining", "sessions", r.sessions.Count())
	for !r.Out(time.Since(began)) {
		time.Sleep(poll)
	}
	r.sessions.CloseAll()
	for r.sessions.Count() > 0 && time.Since(began) < grace*drainNumerator/drainDenominator {
		time.Sleep(poll)
	}
	klog.InfoS("rotation: drained", "sessions", r.sessions.Count(), "took_ms", time.Since(began).Milliseconds())
}

// Run closes the idle sessions once each time that the instance is cut off, so
// that their callers reconnect to others. cutOff returns since when it is, on
// the clock of package clock.
func (r *Rotation) Run(ctx context.Context, cutOff func() (since time.Time, cut bool)) error {
	var moved time.Time
	for clock.Sleep(ctx, poll) {
		since, cut := cutOff()
		if !cut || since.Equal(moved) || !r.Out(clock.Since(since)) {
			continue
		}
		moved = since
		klog.InfoS("rotation: cut off; closing sessions", "sessions", r.sessions.Count())
		r.sessions.CloseIdle()
	}
	return nil
}
