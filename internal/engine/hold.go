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
	// holdPoll is the longest pause before work that is held looks again.
	holdPoll = 25 * time.Millisecond
	// maxHeld is the part of its target after which held work is refused.
	maxHeld = 0.7
)

// workTimes is an admission.Work for several goroutines.
type workTimes struct {
	mu   sync.Mutex
	work admission.Work
}

// observe takes in the time of a statement and returns what it takes without a
// queue.
func (w *workTimes) observe(k admission.WorkKey, took time.Duration) (least time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work.Observe(k, took)
	return w.work.Least(k)
}

func (w *workTimes) least(k admission.WorkKey) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.work.Least(k)
}

// observeTime learns from the time of a statement that ran.
func (a *access[C]) observeTime(st Statement, took time.Duration, now time.Time) {
	if st.Verb != Read && st.Verb != Write && st.Verb != Execute {
		return
	}
	least := a.engine.work.observe(a.work, took)
	a.engine.groups.Get(a.upstream.Group).ObserveTime(a.upstream.ID, took, least, now)
}

// awaitRoom holds work back while the upstream's queue delays more urgent
// work. It reports false when the upstream may be asked now; otherwise the
// statement is to be placed anew, or is refused with the outcome.
func (s *Session[C]) awaitRoom(ctx context.Context, w work, a topo.Announcement) (o outcome.Outcome, held bool) {
	began := time.Now()
	held, wait := s.engine.holds(w, a)
	if !held {
		return outcome.Outcome{}, false
	}
	s.told.UpstreamWait = wait
	defer func() { s.told.Held += time.Since(began) }()
	limit := maxHeld * float64(w.route.Service.Target)
	if time.Since(w.arrived) > time.Duration(limit) {
		retryAfter := time.Duration((jitter() + 0.5) * limit) // spread, so that callers do not return together
		return outcome.RefusedFor(outcome.CodeOverloaded, "the upstream's queue leaves room for more urgent work only", retryAfter), true
	}
	if !clock.Sleep(ctx, time.Duration((1+jitter())/2*float64(holdPoll))) {
		return outcome.Refused(outcome.CodeTimeout, "the caller's limit ended while the request was held back"), true
	}
	return outcome.Outcome{}, true
}

// placeWithRoom places a read. While the best upstream's queue is long it is
// held back and placed anew.
func (s *Session[C]) placeWithRoom(ctx context.Context, w work, avoid map[topo.UpstreamID]bool) (seat, outcome.Outcome, bool) {
	for {
		at, o, ok := s.place(w, avoid)
		if !ok {
			return at, o, false
		}
		o, held := s.awaitRoom(ctx, w, at.upstream)
		if !held {
			return at, o, true
		}
		if o.Kind != "" {
			return seat{}, o, false
		}
	}
}

// holdBack waits until the upstream has room for the work. ok is false when it
// is refused.
func (s *Session[C]) holdBack(ctx context.Context, w work, a topo.Announcement) (o outcome.Outcome, ok bool) {
	for {
		o, held := s.awaitRoom(ctx, w, a)
		if !held || o.Kind != "" {
			return o, !held
		}
	}
}

// holds reports whether work waits for an upstream, and the mean wait inside
// it that says so.
func (e *Engine[C]) holds(w work, a topo.Announcement) (held bool, wait time.Duration) {
	c := e.opts.Catalog()
	if c == nil {
		return false, 0
	}
	h := admission.Hold{
		Rank: w.route.Service.Rank, UrgentTarget: c.UrgentTarget(w.route.Group, w.route.Service.Rank),
		Work: e.work.least(admission.KeyOf(w.route.Service)), Slots: float64(a.Slots) * e.opts.Share(),
	}
	return e.groups.Get(w.route.Group).Hold(a.ID, h, clock.Now())
}
