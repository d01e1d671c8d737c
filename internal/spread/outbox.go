// Package spread batches the messages of an instance to the others, to keep their
// number low.
package spread

import "sync"

// Outbox queues messages to be sent in a batch. Messages with the same key are
// merged.
type Outbox[K comparable, V any] struct {
	merge  func(old, next V) V
	urgent chan struct{}

	mu      sync.Mutex
	pending map[K]V
	// urgentKeys are the keys of the urgent messages among pending.
	urgentKeys map[K]bool
}

// NewOutbox returns an empty outbox.
func NewOutbox[K comparable, V any](merge func(old, next V) V) *Outbox[K, V] {
	return &Outbox[K, V]{merge: merge, pending: map[K]V{}, urgentKeys: map[K]bool{}, urgent: make(chan struct{}, 1)}
}

// Latest is a merge function that drops the earlier message.
func Latest[V any](_, next V) V { return next }

// Urgent returns a channel that receives a value when an urgent message waits.
func (o *Outbox[K, V]) Urgent() <-chan struct{} { return o.urgent }

// Add queues a message. For an urgent one it notifies the receiver of Urgent, so
// that the batch is sent at once.
func (o *Outbox[K, V]) Add(key K, value V, urgent bool) {
	o.mu.Lock()
	if old, queued := o.pending[key]; queued {
		value = o.merge(old, value)
	}
	o.pending[key] = value
	if urgent {
		o.urgentKeys[key] = true
	}
	o.mu.Unlock()
	if !urgent {
		return
	}
	select {
	case o.urgent <- struct{}{}:
	default:
	}
}

// Take removes and returns the queued messages.
func (o *Outbox[K, V]) Take() map[K]V {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.pending
	o.pending, o.urgentKeys = map[K]V{}, map[K]bool{}
	return taken
}

// TakeUrgent removes and returns the urgent messages.
func (o *Outbox[K, V]) TakeUrgent() map[K]V {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := make(map[K]V, len(o.urgentKeys))
	for key := range o.urgentKeys {
		taken[key] = o.pending[key]
		delete(o.pending, key)
	}
	o.urgentKeys = map[K]bool{}
	return taken
}
