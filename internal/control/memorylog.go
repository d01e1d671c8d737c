package control

import (
	"context"
	"slices"
	"sync"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// MemoryLog is a log of one voter without a disk. It serves demonstrations
// and tests.
type MemoryLog struct {
	machine voter.Machine

	mu      sync.Mutex
	status  voter.Status
	changed chan struct{}
}

var _ voter.Log = (*MemoryLog)(nil)

// NewMemoryLog returns a log whose only voter is the leader from now on.
func NewMemoryLog(machine voter.Machine) *MemoryLog {
	return &MemoryLog{
		machine: machine,
		status:  voter.Status{ID: "memory", Leader: "memory", Term: 1, LeaderSince: clock.Now()},
		changed: make(chan struct{}),
	}
}

// Propose applies data at once.
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

// Changed returns a channel that is closed at the next applied entry.
func (l *MemoryLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// notify needs the lock.
func (l *MemoryLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
