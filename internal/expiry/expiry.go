// Package expiry logs and reports at an entry instance when the end of a
// contract approaches and when the contract has ended.
//
// It only reports: contract.Contract.Ended decides for each request whether it
// may start.
package expiry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// Source provides the current configuration.
type Source interface {
	Config() *contract.Config
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Event reports that a contract has entered a phase.
type Event struct {
	Contract string
	Team     string
	Phase    contract.Phase
	EndsAt   time.Time
}

// Run logs each phase change of a contract and passes it to observe, until ctx
// ends. For a contract that it sees for the first time it reports only a phase
// that warns. observe may be nil.
func Run(ctx context.Context, src Source, observe func(Event)) {
	w := watcher{observe: observe, phases: map[string]contract.Phase{}}
	for {
		changed := src.Changed()
		next := w.update(src.Config(), time.Now())
		if !wait(ctx, changed, next) {
			return
		}
	}
}

// watcher holds the last seen phase of each contract.
type watcher struct {
	observe func(Event)
	phases  map[string]contract.Phase
}

// update reports the phases that have changed and returns the time of the next
// phase change, zero if there is none.
func (w *watcher) update(cfg *contract.Config, now time.Time) (next time.Time) {
	current := map[string]contract.Phase{}
	for i := range cfg.Contracts {
		c := &cfg.Contracts[i]
		phase := c.PhaseAt(now)
		current[c.ID] = phase
		previous, known := w.phases[c.ID]
		if phase != previous && (known || phase.Warns()) {
			w.report(c, phase)
		}
		if at, ok := c.NextPhaseAt(now); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	w.phases = current
	return next
}

func (w *watcher) report(c *contract.Contract, phase contract.Phase) {
	end := c.EndsAt.UTC().Format(time.RFC3339)
	switch {
	case phase == contract.PhaseEnded:
		klog.Warningf("contract: %s of team %s ended at %s; no new work starts", c.ID, c.Team, end)
	case phase.Warns():
		klog.Warningf("contract: %s of team %s %s: it ends at %s", c.ID, c.Team, phase, end)
	default:
		klog.Infof("contract: %s of team %s is running and ends at %s", c.ID, c.Team, end)
	}
	if w.observe != nil {
		w.observe(Event{Contract: c.ID, Team: c.Team, Phase: phase, EndsAt: c.EndsAt})
	}
}

// maxWait limits one wait, so that Run notices a change of the wall clock.
const maxWait = time.Hour

// wait waits until changed is closed, until the time next, or for maxWait, and
// then returns true. It returns false if ctx ends first.
func wait(ctx context.Context, changed <-chan struct{}, next time.Time) bool {
	delay := maxWait
	if left := time.Until(next); !next.IsZero() && left < delay {
		delay = max(left, 0)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}
