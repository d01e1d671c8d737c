package grant

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// Holder is the holder's side of the grants of one upstream.
type Holder struct {
	params Params
	epoch  uint64
	seq    uint64
	sentAt time.Time

	granted Amount
	average float64
	floors  [contract.Ranks + 1]float64
	wanted  bool
	endsAt  time.Time
}

// NewHolder returns a holder without a grant. firstSeq must be higher than any
// sequence number that an earlier incarnation of the instance used.
func NewHolder(params Params, firstSeq uint64) *Holder {
	return &Holder{params: params.WithDefaults(), seq: firstSeq}
}

// SetEpoch switches to a newer live-view epoch, whose owner may be another
// instance. From then on the holder ignores answers of the old owner; a grant
// that it already holds remains usable until it ends.
func (h *Holder) SetEpoch(epoch uint64) {
	if epoch <= h.epoch {
		return
	}
	h.epoch = epoch
}

// Report returns the next report. inUse counts running statements and open
// connections, including the base.
func (h *Holder) Report(now time.Time, inUse Amount, demand Demand) Report {
	h.seq++
	h.sentAt = now
	return Report{
		Epoch:   h.epoch,
		Seq:     h.seq,
		Held:    h.held(now, inUse),
		Granted: h.current(now),
		Demand:  demand,
	}
}

// held returns the maximum that may be in use until the next grant arrives.
func (h *Holder) held(now time.Time, inUse Amount) Amount {
	return h.current(now).atLeast(inUse.minus(h.params.Base)).atLeast(Amount{})
}

func (h *Holder) current(now time.Time) Amount {
	if !now.Before(h.endsAt) {
		return Amount{}
	}
	return h.granted
}

// Apply applies a grant and reports whether it was accepted. Only the answer to
// the latest report is accepted: the owner relies on that when it lowers its
// bound. The grant ends no later than the instance's lease: the owner of the next
// epoch relies on that.
func (h *Holder) Apply(g Grant, leaseEnd time.Time) bool {
	if g.Epoch != h.epoch {
		return false
	}
	if g.Seq != h.seq && !h.params.Disabled.Latest {
		return false
	}
	h.granted = g.Amount
	h.average = g.Average
	h.floors = g.Floors
	h.wanted = g.Wanted
	h.endsAt = h.sentAt.Add(h.params.Duration)
	if leaseEnd.Before(h.endsAt) && !h.params.Disabled.LeaseEnd {
		h.endsAt = leaseEnd
	}
	return true
}

// ReturnIdle lowers the grant to the slots that busy requests need, if other
// holders wait for slots, and reports whether that changed it. The next report
// informs the owner.
func (h *Holder) ReturnIdle(now time.Time, busy int) bool {
	keep := max(busy-h.params.Base.Slots, 0)
	if !h.wanted || !h.Valid(now) || keep >= h.granted.Slots {
		return false
	}
	h.granted.Slots = keep
	return true
}

// Limit returns the amount that the instance may use now: the base and the grant. Use beyond
// it, which the reports include, may continue until the bounds in Params after
// the end of the grant.
func (h *Holder) Limit(now time.Time) Amount {
	return h.params.Base.plus(h.current(now))
}

// Base returns the amount that the instance may use without a grant.
func (h *Holder) Base() Amount { return h.params.Base }

// Average returns the number of slots held over time.
func (h *Holder) Average(now time.Time) float64 {
	if h.Valid(now) {
		return h.average
	}
	return float64(h.params.Base.Slots)
}

// Floors returns the number of slots guaranteed to each rank over time.
func (h *Holder) Floors(now time.Time) [contract.Ranks + 1]float64 {
	if h.Valid(now) {
		return h.floors
	}
	return [contract.Ranks + 1]float64{}
}

// Valid reports whether the instance holds a grant.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.endsAt) }

// Excess returns how much of inUse must end now because the bound on its use
// after the end of the grant has passed.
func (h *Holder) Excess(now time.Time, inUse Amount) Amount {
	excess := inUse.minus(h.Limit(now)).atLeast(Amount{})
	since := now.Sub(h.endsAt)
	if since < h.params.StatementBound {
		excess.Slots = 0
	}
	if since < h.params.UseBound {
		excess.Connections = 0
	}
	return excess
}

// EndsAt returns when the current grant ends.
func (h *Holder) EndsAt() time.Time { return h.endsAt }
