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

func (g *ackCounter) begin(id topo.GroupID) { g.count[id]++ }

func (g *ackCounter) end(id topo.GroupID) {
	g.count[id]--
	if g.count[id] > 0 {
		return
	}
	delete(g.count, id)
	if idle, ok := g.idle[id]; ok {
		close(idle)
		delete(g.idle, id)
	}
}

// whenIdle returns a channel that is closed once no acknowledgement of the group is
// in progress.
func (g *ackCounter) whenIdle(id topo.GroupID) <-chan struct{} {
	if g.count[id] == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	idle, ok := g.idle[id]
	if !ok {
		idle = make(chan struct{})
		g.idle[id] = idle
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
