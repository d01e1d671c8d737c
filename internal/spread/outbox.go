// Package spread gathers what an instance is to tell the others, so that it
// goes out in few messages.
package spread

import "sync"

// Outbox gathers messages until they are sent together. Of two messages with
// the same key the result of merge is sent.
type Outbox[K comparable, V any] struct {
	merge  func(old, next V) V
	urgent chan struct{}

	mu      sync.Mutex
	pending map[K]V
}

// NewOutbox returns an empty outbox.
func NewOutbox[K comparable, V any](merge func(old, next V) V) *Outbox[K, V] {
	return &Outbox[K, V]{merge: merge, pending: map[K]V{}, urgent: make(chan struct{}, 1)}
}

// Latest is the merge that drops the earlier message.
func Latest[V any](_, next V) V { return next }

// Urgent receives a value when an urgent message waits.
func (o *Outbox[K, V]) Urgent() <-chan struct{} { return o.urgent }

// Add queues a message. An urgent one is sent at once.
func (o *Outbox[K, V]) Add(key K, value V, urgent bool) {
	o.mu.Lock()
	if old, queued := o.pending[key]; queued {
		value = o.merge(old, value)
	}
	o.pending[key] = value
	o.mu.Unlock()
	if !urgent {
		return
	}
	select {
	case o.urgent <- struct{}{}:
	default:
	}
}

// Take returns and empties what is queued.
func (o *Outbox[K, V]) Take() map[K]V {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.pending
	o.pending = map[K]V{}
	return taken
}
