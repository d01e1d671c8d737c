// Package quota decides how many operations of an organisation are admitted by all
// entry instances together.
//
// Each organisation has one owner among the members of the live view, which keeps a
// token bucket. The other instances take tokens from it in batches that cover their
// demand of a short time (Holder, Owners). The package is pure: no I/O, no clock, no
// goroutines. Time is an argument.
package quota

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// BatchPeriod is the time whose demand a batch of tokens covers.
	BatchPeriod = 100 * time.Millisecond
	// PrepaidLife is how long unused tokens last after they were requested.
	// Tokens that were paid for before a window and are used in it are part of
	// the tolerance: rate x PrepaidLife. 250 ms would use half of it for a
	// limit without burst.
	PrepaidLife = 100 * time.Millisecond
	// FallbackLife is how long an instance may continue without an owner.
	FallbackLife = 1500 * time.Millisecond
	// AnswerTimeout is how long an instance waits for an owner, and OwnerPause
	// how long it then does not ask this owner.
	AnswerTimeout = 60 * time.Millisecond
	OwnerPause    = 200 * time.Millisecond
	// MaxUnobserved is the longest time between two observations of the lease
	// after which an owner may still use its buckets. After a longer time
	// another member may have owned them.
	MaxUnobserved = time.Second

	// minRefusal and maxRefusal bound the time for which an instance refuses
	// without asking again, once the owner had no tokens.
	minRefusal = 10 * time.Millisecond
	maxRefusal = 50 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of a refusal.
	maxRetryAfter = 5 * time.Second
	// maxBatch is the largest number of tokens in one answer.
	maxBatch = 10_000
)

// Parts of the tolerance. The rest covers prepaid tokens (at most a sixth of the
// tolerance where the burst is one second of the rate, a fifth without burst) and owners
// that overlap while views differ.
const (
	// startPart is the level of a new owner's bucket.
	startPart = 0.2
	// fallbackPart is the sum of what all instances may use without an owner.
	fallbackPart = 0.45
	// sharePart is the sum, for each window, of the shares of instances that
	// have neither an owner nor a fallback.
	sharePart = 0.05
	// depthPart is by how much the bucket is deeper than the burst, so that
	// tokens which expire unused do not cost organisations within their limit.
	depthPart = 0.05
)

// Limit is the rate limit of an organisation.
type Limit struct {
	// Rate is in operations per second; 0 means no limit.
	Rate float64
	// Burst is in operations.
	Burst float64
}

// Tolerance is the permitted excess over a limit, summed over all instances.
type Tolerance struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// Bound returns the most operations in any sliding window.
func (t Tolerance) Bound(l Limit) float64 {
	return l.Rate*t.Window.Seconds() + l.Burst + t.excess(l)
}

// excess returns the part of the bound that exceeds the limit.
func (t Tolerance) excess(l Limit) float64 {
	return t.Overrun*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
}

// depth returns the size of the token bucket. A bucket of less than one token would
// never admit an operation.
func (t Tolerance) depth(l Limit) float64 { return max(l.Burst+depthPart*t.excess(l), 1) }

// Ask is a request for tokens.
type Ask struct {
	From topo.InstanceID `msgpack:"f"`
	Want int             `msgpack:"w"`
	// Owed is the number of operations admitted without an owner since the last
	// answer. The owner subtracts them.
	Owed int `msgpack:"o,omitempty"`
	// Rate is the instance's recent rate of admitted operations per second.
	Rate float64 `msgpack:"r,omitempty"`
}

// Answer is the answer to an Ask.
type Answer struct {
	// Refused is set by a member that is not the owner or has no valid lease.
	Refused bool `msgpack:"x,omitempty"`
	Tokens  int  `msgpack:"t,omitempty"`
	// RetryAfter is the time until the next token if fewer than wanted were
	// available.
	RetryAfter time.Duration `msgpack:"a,omitempty"`
	// Fallback is the rate per second at which the instance may continue
	// without an owner.
	Fallback float64 `msgpack:"b,omitempty"`
}

// Mechanisms selects mechanisms to turn off. Tests use it to show that each one is
// needed.
type Mechanisms struct {
	// EmptyStart starts the bucket of a new owner almost empty.
	EmptyStart bool
	// PrepaidExpiry ends unused tokens.
	PrepaidExpiry bool
	// FallbackEnd ends the use of the fallback rate.
	FallbackEnd bool
	// LeaseCheck stops an owner without a valid lease.
	LeaseCheck bool
}

// Owner returns the member that owns the organisation's bucket.
func Owner(organisation string, members []ctlstate.Member) (ctlstate.Member, bool) {
	best := membership.Rendezvous("quota/"+organisation, members, 1)
	if len(best) == 0 {
		return ctlstate.Member{}, false
	}
	return best[0], true
}

// Share returns how many operations an instance may admit at once without an owner
// or a fallback, and again over each window. If the equal share is less than one
// operation, as many instances have a share of one as the tolerance permits.
func Share(self topo.InstanceID, organisation string, members []ctlstate.Member, l Limit, t Tolerance) float64 {
	// A bucket admits up to twice its size in a window: its content and its refill.
	total := sharePart * t.excess(l) / 2
	if len(members) == 0 {
		return 0
	}
	if equal := total / float64(len(members)); equal >= 1 {
		return equal
	}
	for _, m := range membership.Rendezvous("quota-share/"+organisation, members, int(total)) {
		if m.ID == self {
			return 1
		}
	}
	return 0
}
