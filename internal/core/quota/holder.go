package quota

import (
	"math"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Verdict is what to do with an operation.
type Verdict int

const (
	// Refuse refuses the operation.
	Refuse Verdict = iota
	// Admit admits the operation.
	Admit
	// AskOwner waits for an answer of the owner.
	AskOwner
)

// Decision is the verdict on one operation.
type Decision struct {
	Verdict Verdict
	// RetryAfter is set with Refuse.
	RetryAfter time.Duration
	// WithoutOwner is set with Admit or Refuse if no owner was available.
	WithoutOwner bool
	// Prefetch is set with Admit if more tokens should be requested now.
	Prefetch bool
}

const (
	// demandPeriod and ratePeriod are the averaging times of the demand that a
	// batch covers and of the rate that a fallback continues.
	demandPeriod = 500 * time.Millisecond
	ratePeriod   = 2 * time.Second
)

// Holder is the state of one organisation at one instance.
type Holder struct {
	self     topo.InstanceID
	disabled Mechanisms

	// batches are the unused tokens, the older batch first.
	batches [2]batch
	demand  average
	rate    average

	refusedUntil time.Time
	// nextToken is when the owner expects its next token.
	nextToken   time.Time
	owner       topo.InstanceID
	pausedUntil time.Time

	fallback fallback
	// phase is the fraction of an operation that fallbacks may use beyond their
	// whole operations. It starts at random, so that many instances with less
	// than one operation each use the sum of their fallbacks.
	phase float64
	// owed is the number of operations admitted without an owner and not yet
	// reported.
	owed int

	share   float64
	shareAt time.Time
}

type batch struct {
	tokens int
	size   int
	until  time.Time
}

type fallback struct {
	rate        float64
	from, until time.Time
	taken       int
	used        bool
}

// NewHolder returns the state of an instance without tokens. phase is a random number
// of at least 0 and less than 1.
func NewHolder(self topo.InstanceID, now time.Time, phase float64, disabled Mechanisms) *Holder {
	return &Holder{self: self, disabled: disabled, phase: phase, shareAt: now}
}

// Arrive counts an operation that asks for admission. It is called once for each.
func (h *Holder) Arrive(now time.Time) { h.demand.add(now, demandPeriod) }

// Decide decides on an operation. owner is the owner in the instance's view, empty
// without one. share returns the instance's share of the tolerance; it is called only
// if no owner is available.
func (h *Holder) Decide(now time.Time, owner topo.InstanceID, share func() float64, l Limit, t Tolerance) Decision {
	if h.takePrepaid(now) {
		h.rate.add(now, ratePeriod)
		return Decision{Verdict: Admit, Prefetch: h.isLow(now) && h.canAsk(now, owner)}
	}
	if h.refusedUntil.After(now) {
		return Decision{Verdict: Refuse, RetryAfter: max(h.nextToken.Sub(now), maxRefusal)}
	}
	if h.canAsk(now, owner) {
		return Decision{Verdict: AskOwner}
	}
	if h.takeFallback(now) || h.takeShare(now, share(), t) {
		h.owed++
		h.rate.add(now, ratePeriod)
		return Decision{Verdict: Admit, WithoutOwner: true}
	}
	return Decision{Verdict: Refuse, RetryAfter: max(h.pausedUntil.Sub(now), maxRefusal), WithoutOwner: true}
}

// canAsk reports whether the owner may be asked. A new owner may be asked at once.
func (h *Holder) canAsk(now time.Time, owner topo.InstanceID) bool {
	return owner != "" && (owner != h.owner || !h.pausedUntil.After(now))
}

func (h *Holder) takePrepaid(now time.Time) bool {
	for i := range h.batches {
		b := &h.batches[i]
		if b.tokens > 0 && (h.disabled.PrepaidExpiry || b.until.After(now)) {
			b.tokens--
			return true
		}
	}
	return false
}

// isLow reports whether less than half of the latest batch is left. A batch of one
// token is not renewed before the next operation.
func (h *Holder) isLow(now time.Time) bool {
	last := h.batches[1]
	return last.size > 1 && 2*h.unused(now) < last.size && !h.refusedUntil.After(now)
}

func (h *Holder) unused(now time.Time) int {
	sum := 0
	for _, b := range h.batches {
		if b.until.After(now) {
			sum += b.tokens
		}
	}
	return sum
}

// Ask returns the request to the owner for waiting operations.
func (h *Holder) Ask(now time.Time, waiting int) Ask {
	ahead := int(h.demand.before(now, demandPeriod) * BatchPeriod.Seconds())
	return Ask{
		From: h.self,
		Want: max(waiting+ahead-h.unused(now), 1),
		Owed: h.owed,
		Rate: h.rate.before(now, ratePeriod),
	}
}

// Answered applies the owner's answer to a request that was sent at sentAt.
func (h *Holder) Answered(now, sentAt time.Time, owner topo.InstanceID, ask Ask, a Answer) {
	if a.Refused || now.Sub(sentAt) > AnswerTimeout {
		h.Unanswered(now, owner)
		return
	}
	h.owner, h.pausedUntil = owner, time.Time{}
	h.owed = max(h.owed-ask.Owed, 0)
	h.endFallback(now)
	h.fallback = fallback{rate: a.Fallback, from: now, until: sentAt.Add(FallbackLife)}
	if a.Tokens > 0 {
		h.batches[0] = h.batches[1]
		h.batches[1] = batch{a.Tokens, a.Tokens, sentAt.Add(PrepaidLife)}
	}
	if a.Tokens < ask.Want {
		h.refusedUntil = now.Add(min(max(a.RetryAfter, minRefusal), maxRefusal))
		h.nextToken = now.Add(a.RetryAfter)
	}
}

// Unanswered records that the owner did not answer in time or refused to.
func (h *Holder) Unanswered(now time.Time, owner topo.InstanceID) {
	h.owner, h.pausedUntil = owner, now.Add(OwnerPause)
}

// takeFallback admits an operation at the fallback rate.
func (h *Holder) takeFallback(now time.Time) bool {
	f := &h.fallback
	if f.rate == 0 {
		return false
	}
	f.used = true
	if h.fallbackCredit(now) < 1 {
		return false
	}
	if !h.disabled.FallbackEnd && !f.until.After(now) {
		return false
	}
	f.taken++
	return true
}

func (h *Holder) fallbackCredit(now time.Time) float64 {
	f := &h.fallback
	if f.until.Before(now) && !h.disabled.FallbackEnd {
		now = f.until
	}
	return h.phase + f.rate*max(now.Sub(f.from), 0).Seconds() - float64(f.taken)
}

// endFallback keeps the unused fraction of an operation if the fallback was in use.
func (h *Holder) endFallback(now time.Time) {
	if h.fallback.used {
		h.phase = math.Mod(max(h.fallbackCredit(now), 0), 1)
	}
}

// takeShare admits an operation from the instance's share of the tolerance. The share
// of an instance that has just started is empty, since its predecessor may have used
// it.
func (h *Holder) takeShare(now time.Time, size float64, t Tolerance) bool {
	if elapsed := now.Sub(h.shareAt); elapsed > 0 {
		h.share += size * elapsed.Seconds() / t.Window.Seconds()
		h.shareAt = now
	}
	h.share = min(h.share, size)
	if h.share < 1 {
		return false
	}
	h.share--
	return true
}

// average is an exponentially weighted rate of events.
type average struct {
	perS float64
	// prior is the rate just before the last event. The event itself would bias
	// a rate that is read at events.
	prior float64
	at    time.Time
}

func (a *average) add(now time.Time, period time.Duration) {
	a.prior = a.decayed(a.perS, now, period)
	a.perS = a.prior + 1/period.Seconds()
	a.at = now
}

// before returns the current rate without the last event.
func (a *average) before(now time.Time, period time.Duration) float64 {
	return a.decayed(a.prior, now, period)
}

func (a *average) decayed(perS float64, now time.Time, period time.Duration) float64 {
	elapsed := now.Sub(a.at)
	if perS == 0 || elapsed <= 0 {
		return perS
	}
	return perS * math.Exp(-elapsed.Seconds()/period.Seconds())
}
