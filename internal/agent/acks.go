package agent

import (
	"context"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// ackCounter counts the acknowledgements in progress per group. The agent's lock
// protects it.
type ackCounter struct {
	count map[topo.GroupID]int
	idle  map[topo.GroupID]chan struct{}
}

func newAckCounter() ackCounter {
	return ackCounter{count: map[topo.GroupID]int{}, idle: map[topo.GroupID]chan struct{}{}}
}

func (c *ackCounter) begin(id topo.GroupID) { c.count[id]++ }

func (c *ackCounter) end(id topo.GroupID) {
	c.count[id]--
	if c.count[id] > 0 {
		return
	}
	delete(c.count, id)
	if idle, ok := c.idle[id]; ok {
		close(idle)
		delete(c.idle, id)
	}
}

// whenIdle returns a channel that is closed once no acknowledgement of the group is
// in progress.
func (c *ackCounter) whenIdle(id topo.GroupID) <-chan struct{} {
	if c.count[id] == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	idle, ok := c.idle[id]
	if !ok {
		idle = make(chan struct{})
		c.idle[id] = idle
	}
	return idle
}

// wait waits until done is closed or ctx ends.
func wait(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
