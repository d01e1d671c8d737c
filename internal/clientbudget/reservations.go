package clientbudget

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/clientlimit"
)

type waiter struct {
	account *Account
	kind    Kind
	bytes   int64
	// decided is closed once the bytes are reserved, or once the account has ended; err is
	// ErrShort then.
	decided chan struct{}
	err     error // set before decided is closed
}

// ErrShort means that there is no memory for a client. Its connection must be closed.
var ErrShort = errors.New("clientbudget: the memory for clients is short")

// Reserve reserves bytes, and waits for them until ctx ends, for maxWait at most. If it
// fails, the connection is closed.
func (a *Account) Reserve(ctx context.Context, kind Kind, bytes int64) error {
	if a == nil || bytes <= 0 {
		return nil
	}
	w, err := a.budget.request(a, kind, bytes)
	if w == nil {
		return err
	}
	before := clientlimit.State(a.state.Load())
	a.Enter(clientlimit.Waiting)
	defer a.Enter(before)
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-w.decided:
			return w.err
		case <-retry.C:
			if a.budget.closeFor(w) {
				continue
			}
		case <-ctx.Done():
		case <-limit.C:
		}
		if a.budget.withdraw(w) {
			return ErrShort
		}
		return w.err // decided meanwhile
	}
}

// request reserves the bytes, or returns a waiter for them.
func (b *Budget) request(a *Account, kind Kind, bytes int64) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closing || a.ended || bytes > b.size {
		b.closeLocked(a, clientlimit.Short)
		return nil, ErrShort
	}
	if len(b.waiters) == 0 && b.fits(bytes) {
		b.add(a, kind, bytes)
		return nil, nil
	}
	w := &waiter{account: a, kind: kind, bytes: bytes, decided: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.closeForLocked(w)
	return w, nil
}

func (b *Budget) free() int64 {
	free := b.size - int64(len(b.accounts))*connectionBytes
	for _, n := range b.held {
		free -= n
	}
	return free
}

func (b *Budget) fits(bytes int64) bool { return bytes <= b.free() }

func (b *Budget) add(a *Account, kind Kind, bytes int64) {
	a.held[kind] += bytes
	b.held[kind] += bytes
	a.peak = max(a.peak, a.total())
}

// closeFor closes connections for the oldest waiter. It returns false if w can't be
// granted any more, since its own connection is closed.
func (b *Budget) closeFor(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeForLocked(w)
	return !w.account.closing
}

func (b *Budget) closeForLocked(w *waiter) {
	if len(b.waiters) == 0 || b.waiters[0] != w {
		return
	}
	need := w.bytes - b.free()
	for _, a := range b.accounts {
		if a.closing {
			need -= a.total() // is about to be released
		}
	}
	if need <= 0 {
		return
	}
	for _, c := range clientlimit.ForMemory(b.snapshot(), need, b.opts.Rate, time.Now()) {
		b.closeLocked(b.accounts[c.ID], c.Reason)
	}
}

func (b *Budget) closeLocked(a *Account, reason clientlimit.Reason) {
	if a.closing {
		return
	}
	a.closing = true
	if !a.ended {
		b.closing++
	}
	a.Note(reason)
	a.close()
}

// withdraw removes a waiter and closes its connection. It returns false if the waiter has
// been decided.
func (b *Budget) withdraw(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiters {
		if other == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.closeLocked(w.account, clientlimit.Short)
			b.grant()
			return true
		}
	}
	return false
}

// grant grants what waits, the oldest first.
func (b *Budget) grant() {
	for len(b.waiters) > 0 && b.fits(b.waiters[0].bytes) {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.add(w.account, w.kind, w.bytes)
		close(w.decided)
	}
}

// Release releases bytes of a kind.
func (a *Account) Release(kind Kind, bytes int64) {
	if a == nil || bytes <= 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.release(kind, min(bytes, a.held[kind]))
	b.grant()
}

// ReleaseAll releases all bytes of a kind.
func (a *Account) ReleaseAll(kind Kind) { a.Release(kind, math.MaxInt64) }

func (a *Account) release(kind Kind, bytes int64) {
	a.held[kind] -= bytes
	a.budget.held[kind] -= bytes
}

// Note records why the connection is being closed. The first reason counts.
func (a *Account) Note(reason clientlimit.Reason) {
	if a != nil {
		a.reason.CompareAndSwap(nil, &reason)
	}
}

// dropWaiters fails the reservations that wait for an account. What they were granted after
// its end would never be released.
func (b *Budget) dropWaiters(a *Account) {
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if w.account != a {
			return false
		}
		w.err = ErrShort
		close(w.decided)
		return true
	})
}
