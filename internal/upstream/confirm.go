package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// confirmPoll is the longest wait of one query at a replica.
const confirmPoll = 200 * time.Millisecond

// Confirmer checks whether the log of a second database covers a write. All writes that wait for
// a replica share one query, so the load on the replica does not grow with the
// number of writes.
type Confirmer struct {
	mu       sync.Mutex
	watchers map[topo.UpstreamID]*watcher
	observe  func(Status, time.Time)
}

// NewConfirmer returns a confirmer that passes each answer to observe.
func NewConfirmer(observe func(Status, time.Time)) *Confirmer {
	return &Confirmer{watchers: map[topo.UpstreamID]*watcher{}, observe: observe}
}

// Wait returns nil as soon as the log of one of the replicas covers point and
// that replica is not fenced to a term above term. Otherwise it returns the
// context's error.
func (c *Confirmer) Wait(ctx context.Context, term topo.Term, point topo.Point, replicas map[topo.UpstreamID]*Pool) error {
	w := &confirmWait{term: term, point: point, done: make(chan struct{})}
	for id, pool := range replicas {
		c.watch(id, pool, w)
	}
	defer w.end()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Confirmer) watch(id topo.UpstreamID, pool *Pool, w *confirmWait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wt, ok := c.watchers[id]
	if !ok {
		wt = &watcher{observe: c.observe}
		c.watchers[id] = wt
	}
	wt.add(pool, w)
}

// confirmWait is a write that waits for its confirmation.
type confirmWait struct {
	term  topo.Term
	point topo.Point

	mu    sync.Mutex
	ended bool
	done  chan struct{}
}

// check ends the wait if the status confirms the write.
func (w *confirmWait) check(s Status) {
	if s.FencedTerm > w.term || !topo.Covers(s.Point, w.point) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.ended = true
		close(w.done)
	}
}

func (w *confirmWait) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
}

func (w *confirmWait) isEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// watcher queries one replica while writes wait.
type watcher struct {
	observe func(Status, time.Time)

	mu      sync.Mutex
	pool    *Pool
	waits   []*confirmWait
	running bool
}

func (wt *watcher) add(pool *Pool, w *confirmWait) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.pool = pool
	wt.waits = append(wt.waits, w)
	if !wt.running {
		wt.running = true
		go wt.run()
	}
}

// next returns the lowest point that a write waits for. ok is false, and the
// watcher ends, when no write waits.
func (wt *watcher) next() (pool *Pool, point topo.Point, ok bool) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	kept := wt.waits[:0]
	for _, w := range wt.waits {
		if w.isEnded() {
			continue
		}
		kept = append(kept, w)
		if !ok || w.point.Compare(point) < 0 {
			point, ok = w.point, true
		}
	}
	clear(wt.waits[len(kept):])
	wt.waits = kept
	wt.running = ok
	return wt.pool, point, ok
}

func (wt *watcher) notifyWaits(s Status) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	for _, w := range wt.waits {
		w.check(s)
	}
}

func (wt *watcher) run() {
	for {
		pool, point, ok := wt.next()
		if !ok {
			return
		}
		if err := wt.query(pool, point); err != nil {
			time.Sleep(confirmPoll / 10)
		}
	}
}

func (wt *watcher) query(pool *Pool, point topo.Point) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*confirmPoll)
	defer cancel()
	c, err := pool.Acquire(ctx, connpool.Key{})
	if err != nil {
		return err
	}
	defer pool.Release(c)
	s, err := c.Wait(ctx, point, confirmPoll)
	if err != nil {
		return err
	}
	wt.observe(s, time.Now())
	wt.notifyWaits(s)
	return nil
}
