package quota

import (
	"math"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Owners holds the buckets that one instance owns.
type Owners struct {
	disabled   Mechanisms
	buckets    map[string]*bucket
	observedAt time.Time
}

// NewOwners returns an Owners without buckets.
func NewOwners(disabled Mechanisms) *Owners {
	return &Owners{disabled: disabled, buckets: map[string]*bucket{}}
}

// Observe records whether the instance's lease is valid, and removes the buckets that
// another member may have owned: all of them if the lease is not valid or was not
// observed for MaxUnobserved. It must be called often, for instance every 100 ms.
func (o *Owners) Observe(now time.Time, leased bool) {
	if !o.disabled.LeaseCheck && (!leased || now.Sub(o.observedAt) > MaxUnobserved) {
		clear(o.buckets)
	}
	o.observedAt = now
}

// Retain removes the buckets for which keep returns false, such as those that another
// member owns in the current view.
func (o *Owners) Retain(keep func(organisation string) bool) {
	for name := range o.buckets {
		if !keep(name) {
			delete(o.buckets, name)
		}
	}
}

// Answer answers a request for tokens. owner tells whether the instance owns the
// organisation in its view and leased whether its lease is valid.
func (o *Owners) Answer(now time.Time, organisation string, owner, leased bool, l Limit, t Tolerance, ask Ask) Answer {
	o.Observe(now, leased)
	if !owner {
		delete(o.buckets, organisation)
		return Answer{Refused: true}
	}
	if !leased && !o.disabled.LeaseCheck {
		return Answer{Refused: true}
	}
	b := o.buckets[organisation]
	if b == nil {
		b = newBucket(now, l, t, o.disabled)
		o.buckets[organisation] = b
	}
	return b.answer(now, l, t, ask)
}

// bucket is the token bucket of one organisation at its owner.
type bucket struct {
	level float64
	at    time.Time
	// fallbacks are the amounts that instances may use without an owner, with
	// their sum. Expired ones are removed by sweep.
	fallbacks map[topo.InstanceID]fallbackGrant
	granted   float64
	sweptAt   time.Time
}

type fallbackGrant struct {
	amount float64
	until  time.Time
}

func newBucket(now time.Time, l Limit, t Tolerance, disabled Mechanisms) *bucket {
	// The predecessor may have handed out everything.
	level := min(startPart*t.excess(l), t.depth(l))
	if disabled.EmptyStart {
		level = t.depth(l)
	}
	return &bucket{level: level, at: now, sweptAt: now, fallbacks: map[topo.InstanceID]fallbackGrant{}}
}

func (b *bucket) answer(now time.Time, l Limit, t Tolerance, ask Ask) Answer {
	b.refill(now, l.Rate, t.depth(l))
	b.level -= float64(max(ask.Owed, 0))
	var answer Answer
	want := min(max(ask.Want, 0), maxBatch)
	answer.Tokens = min(want, max(int(b.level), 0))
	b.level -= float64(answer.Tokens)
	if answer.Tokens < want {
		answer.RetryAfter = untilToken(b.level, l.Rate)
	}
	answer.Fallback = b.grantFallback(now, t.excess(l)*fallbackPart, ask)
	return answer
}

func (b *bucket) refill(now time.Time, rate, depth float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, depth)
}

// untilToken returns the time until the bucket has one token.
func untilToken(level, rate float64) time.Duration {
	seconds := min((1-level)/rate, maxRetryAfter.Seconds())
	return time.Duration(math.Ceil(seconds*1000)) * time.Millisecond
}

// grantFallback returns the rate at which the instance may continue without an owner.
// The sum over all instances stays within total.
func (b *bucket) grantFallback(now time.Time, total float64, ask Ask) float64 {
	b.granted -= b.fallbacks[ask.From].amount
	delete(b.fallbacks, ask.From)
	wanted := ask.Rate * FallbackLife.Seconds()
	if !(wanted > 0) {
		return 0
	}
	if b.granted+wanted > total {
		b.sweep(now)
	}
	amount := min(wanted, max(total-b.granted, 0))
	if amount == 0 {
		return 0
	}
	b.fallbacks[ask.From] = fallbackGrant{amount, now.Add(FallbackLife)}
	b.granted += amount
	return amount / FallbackLife.Seconds()
}

// sweepInterval is the shortest time between two searches for expired fallbacks,
// which visit each instance.
const sweepInterval = 100 * time.Millisecond

func (b *bucket) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = now
	b.granted = 0
	for id, f := range b.fallbacks {
		if now.After(f.until) {
			delete(b.fallbacks, id)
			continue
		}
		b.granted += f.amount
	}
}
