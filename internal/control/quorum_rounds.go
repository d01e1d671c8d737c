package control

import (
	"context"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/voter"
)

// confirmer batches renewals into shared quorum rounds. A round never confirms a
// renewal that arrived after the round started.
type confirmer struct {
	log voter.Log

	mu   sync.Mutex
	next *round
	busy bool
}

type round struct {
	done chan struct{}
	err  error
}

// wait returns the result of a quorum round that starts after the call.
func (c *confirmer) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	joined := c.next
	if !c.busy {
		c.busy = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// renewalBatchDelay is how long renewals are collected before a quorum round.
const renewalBatchDelay = 20 * time.Millisecond

// run executes rounds until no caller is waiting.
func (c *confirmer) run() {
	for {
		time.Sleep(renewalBatchDelay)
		c.mu.Lock()
		r := c.next
		c.next = nil
		if r == nil {
			c.busy = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		r.err = c.confirm()
		close(r.done)
	}
}

func (c *confirmer) confirm() error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	return c.log.Confirm(ctx)
}
