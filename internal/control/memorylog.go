package control

import (
	"context"
	"slices"
	"sync"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// MemoryLog is an in-memory log with a single voter, for demonstrations and
// tests.
type MemoryLog struct {
	machine voter.Machine

	mu      sync.Mutex
	status  voter.Status
	changed chan struct{}
}

var _ voter.Log = (*MemoryLog)(nil)

// NewMemoryLog returns a log whose only voter leads from the start.
func NewMemoryLog(machine voter.Machine) *MemoryLog {
	return &MemoryLog{
		machine: machine,
		status:  voter.Status{ID: "memory", Leader: "memory", Term: 1, LeaderSince: clock.Now()},
		changed: make(chan struct{}),
	}
}

// Propose applies data immediately.
func (l *MemoryLog) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status.Applied++
	result := l.machine.Apply(l.status.Applied, slices.Clone(data))
	l.notify()
	return result, nil
}

// Confirm always succeeds.
func (l *MemoryLog) Confirm(ctx context.Context) error { return ctx.Err() }

// Status returns the state of the only voter.
func (l *MemoryLog) Status() voter.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

// Changed returns a channel that is closed when the next entry is applied.
func (l *MemoryLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// notify wakes waiters on Changed. The caller holds l.mu.
func (l *MemoryLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
