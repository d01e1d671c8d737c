package grant

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Owner is the owner's side of the grants of one upstream in one epoch.
type Owner struct {
	params Params
	epoch  uint64
	// capacity is the total that can be granted: the upstream's capacity
	// without the base of all instances.
	capacity Amount
	members  []topo.InstanceID
	// activated is when the epoch became active. firstOwner means that no
	// earlier owner can have granted anything.
	activated  time.Time
	firstOwner bool
	// carriedOver is the sum of the amounts held in the holders' first reports,
	// granted in earlier epochs. Until the grants of earlier owners have ended, the
	// owner grants no more than this.
	carriedOver Amount

	holders  []*holderState
	nextTurn time.Time
	lastTurn time.Time
	// contended means that the holders have more requests than slots.
	contended bool
}

// holderState is the owner's state of one holder.
type holderState struct {
	id     topo.InstanceID
	seq    uint64
	demand Demand
	// bound is the maximum that the instance can hold.
	bound Amount
	// reportedAt is when the latest report arrived, endsAt when the grant that
	// answers it is certain to be out of use.
	reportedAt, endsAt time.Time

	planned Amount
	// sent is the grant that the instance uses.
	sent Amount
	// sentWanted is the Wanted flag of that grant.
	sentWanted bool
	average    float64
	floors     [contract.Ranks + 1]float64
	// credit is how far the instance is behind its share, in slots times turns.
	credit float64
}

// NewOwner returns the owner of an upstream in the epoch that became active now
// with the given members. firstOwner means that no earlier owner can have granted
// anything.
func NewOwner(params Params, capacity Amount, epoch uint64, members []topo.InstanceID, now time.Time, firstOwner bool) *Owner {
	params = params.WithDefaults()
	o := &Owner{
		params: params, epoch: epoch, members: members,
		activated: now, firstOwner: firstOwner || params.Disabled.Settling,
		nextTurn: now, lastTurn: now,
	}
	o.SetCapacity(capacity)
	return o
}

// SetCapacity changes the upstream's slots and connections. A lower capacity
// takes effect as the holders return slots and connections.
func (o *Owner) SetCapacity(capacity Amount) {
	n := o.params.Instances
	base := Amount{o.params.Base.Slots * n, o.params.Base.Connections * n}
	o.capacity = capacity.minus(base).atLeast(Amount{})
}

// Report processes a holder's report and updates the plan. It returns false for a
// report that is not newer than the last, is of another epoch, or is not from a
// member.
func (o *Owner) Report(now time.Time, id topo.InstanceID, r Report) bool {
	if r.Epoch != o.epoch || !slices.Contains(o.members, id) {
		return false
	}
	h := o.find(id)
	if h != nil && r.Seq <= h.seq {
		return false
	}
	if h == nil {
		h = &holderState{id: id}
		o.holders = append(o.holders, h)
		slices.SortFunc(o.holders, func(a, b *holderState) int { return cmp.Compare(a.id, b.id) })
		o.carriedOver = o.carriedOver.plus(r.Held)
	}
	replan := h.seq == 0 || h.demand != r.Demand || now.Sub(h.reportedAt) >= o.params.Duration
	h.seq = r.Seq
	h.demand = r.Demand
	h.bound = r.Held
	h.sent = r.Granted
	h.reportedAt = now
	h.endsAt = now.Add(o.params.lifetime(max(o.params.UseBound, o.params.StatementBound)))
	if replan {
		o.plan(now)
	}
	return true
}

// Grant records and returns the answer to the holder's latest report. ok is false
// for an unknown holder.
func (o *Owner) Grant(now time.Time, id topo.InstanceID) (Grant, bool) {
	h := o.find(id)
	if h == nil {
		return Grant{}, false
	}
	amount := o.grantableTo(now, h)
	h.bound = h.bound.atLeast(amount)
	if o.params.Disabled.Returns {
		h.bound = amount
	}
	h.sent = amount
	h.sentWanted = o.wanted(h)
	return Grant{Epoch: o.epoch, Seq: h.seq, Amount: amount, Average: h.average, Floors: h.floors, Wanted: h.sentWanted}, true
}

// wanted reports whether another holder has more requests than slots.
func (o *Owner) wanted(h *holderState) bool {
	for _, other := range o.holders {
		if other != h && other.demand.Busy > other.sent.Slots {
			return true
		}
	}
	return false
}

// Latest returns the sequence number of the holder's latest report.
func (o *Owner) Latest(id topo.InstanceID) uint64 {
	h := o.find(id)
	if h == nil {
		return 0
	}
	return h.seq
}

// Changed reports whether Grant would now return a different answer than the last
// one to the holder.
func (o *Owner) Changed(now time.Time, id topo.InstanceID) bool {
	h := o.find(id)
	if h == nil {
		return false
	}
	idle := h.sent.Slots > h.demand.Busy
	return o.grantableTo(now, h) != h.sent || idle && !h.sentWanted && o.wanted(h)
}

// Tick removes holders whose grants are no longer in use, advances the turns, and
// returns when to call it next.
func (o *Owner) Tick(now time.Time) time.Time {
	o.holders = slices.DeleteFunc(o.holders, func(h *holderState) bool { return !now.Before(h.endsAt) })
	o.plan(now)
	next := now.Add(o.params.Duration)
	if o.contended {
		next = o.nextTurn
	}
	for _, h := range o.holders {
		for _, change := range []time.Time{
			h.reportedAt.Add(o.params.lifetime(o.params.StatementBound)), h.endsAt,
		} {
			if change.After(now) && change.Before(next) {
				next = change
			}
		}
	}
	return next
}

// grantableTo returns the part of the holder's planned amount that other holders
// don't hold.
func (o *Owner) grantableTo(now time.Time, h *holderState) Amount {
	free := o.grantable(now)
	for _, other := range o.holders {
		if other != h {
			free = free.minus(o.boundOf(now, other))
		}
	}
	return h.planned.atMost(free.atLeast(Amount{}))
}

// boundOf returns the maximum that the instance can hold now. The slots of an
// instance that stopped reporting are free earlier than its connections.
func (o *Owner) boundOf(now time.Time, h *holderState) Amount {
	bound := h.bound
	if now.Sub(h.reportedAt) >= o.params.lifetime(o.params.StatementBound) {
		bound.Slots = 0
	}
	return bound
}

// grantable returns the total that can be granted at time now.
func (o *Owner) grantable(now time.Time) Amount {
	amount := o.capacity
	if !o.settled(now, o.params.StatementBound) {
		amount.Slots = min(amount.Slots, o.carriedOver.Slots)
	}
	if !o.settled(now, o.params.UseBound) {
		amount.Connections = min(amount.Connections, o.carriedOver.Connections)
	}
	return amount
}

// settled reports whether everything that earlier owners granted is either
// reported or no longer in use, given the bound on the use after a grant's end.
// An epoch excludes an instance only after its lease has ended, and its grants
// ended with the lease. So once every member has reported, the owner only needs
// to wait for the bound.
func (o *Owner) settled(now time.Time, bound time.Duration) bool {
	age := now.Sub(o.activated)
	if o.firstOwner || age >= o.params.lifetime(bound) {
		return true
	}
	return len(o.holders) == len(o.members) && age >= o.params.useDuration(bound)
}

func (o *Owner) find(id topo.InstanceID) *holderState {
	for _, h := range o.holders {
		if h.id == id {
			return h
		}
	}
	return nil
}

// plan computes the amount to grant to each holder once the others have returned
// their excess. It plans nothing for a holder that has not reported for the
// duration of a grant.
func (o *Owner) plan(now time.Time) {
	var live []*holderState
	for _, h := range o.holders {
		h.planned = Amount{}
		if now.Sub(h.reportedAt) < o.params.Duration {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return
	}
	o.planConnections(live)
	o.planSlots(now, live)
}

func (o *Owner) planConnections(live []*holderState) {
	needs := make([]int, len(live))
	for i, h := range live {
		needs[i] = max(h.demand.Connections-o.params.Base.Connections, 0)
	}
	for i, share := range maxMinFairInt(needs, o.capacity.Connections) {
		live[i].planned.Connections = share
	}
}

// planSlots assigns each holder the integer part of its share, and the remaining
// slots in turns: first to holders with work, in the order of how far they are
// behind their share.
func (o *Owner) planSlots(now time.Time, live []*holderState) {
	demands := make([]Demand, len(live))
	for i, h := range live {
		demands[i] = h.demand
	}
	o.contended = contended(demands, o.capacity.Slots)
	left := o.capacity.Slots
	all := shareSlots(demands, float64(left))
	spare := spareSlots(all, float64(left))
	for i, h := range live {
		h.average = all[i].slots + spare
		h.floors = all[i].floors
		h.planned.Slots = min(int(all[i].slots), left)
		left -= h.planned.Slots
	}
	o.updateCredits(now, live, all)
	left = assignBusy(byCredit(live), left)
	assignIdle(live, left)
}

// spareSlots returns the slots that no share uses. Any holder can get them as soon
// as it needs them.
func spareSlots(all []holderShare, slots float64) float64 {
	for _, share := range all {
		slots -= share.slots
	}
	return max(slots, 0)
}

func contended(demands []Demand, slots int) bool {
	busy := 0
	for _, d := range demands {
		busy += d.Busy
	}
	return busy > slots
}

// assignBusy assigns one slot at a time to each holder that has more requests than
// slots, in the given order, and returns the number of slots left.
func assignBusy(order []*holderState, left int) int {
	for {
		before := left
		for _, h := range order {
			if left > 0 && h.demand.Busy > h.planned.Slots {
				h.planned.Slots++
				left--
			}
		}
		if left == before {
			return left
		}
	}
}

// updateCredits updates the credits of the holders when a turn has ended. Within a
// turn the order does not change, so that slots do not move with every report.
func (o *Owner) updateCredits(now time.Time, live []*holderState, all []holderShare) {
	if now.Before(o.nextTurn) {
		return
	}
	turns := min(float64(now.Sub(o.lastTurn))/float64(o.params.Turn), 2)
	for i, h := range live {
		got := float64(min(h.sent.Slots, h.demand.Busy))
		h.credit += (all[i].slots - got) * turns
		h.credit = min(max(h.credit, -maxTurnCredit), maxTurnCredit)
	}
	o.lastTurn = now
	o.nextTurn = now.Add(o.params.Turn)
}

// maxTurnCredit bounds the credit for missed turns, in slots times turns.
const maxTurnCredit = 4.0

// byCredit orders the holders by credit, the furthest behind first.
func byCredit(live []*holderState) []*holderState {
	order := slices.Clone(live)
	slices.SortStableFunc(order, func(a, b *holderState) int { return cmp.Compare(b.credit, a.credit) })
	return order
}

// assignIdle leaves unneeded slots with the holders that have them, and assigns
// the rest to the holders with the fewest slots.
func assignIdle(live []*holderState, left int) {
	for _, h := range live {
		keep := min(max(h.sent.Slots-h.planned.Slots, 0), left)
		h.planned.Slots += keep
		left -= keep
	}
	for ; left > 0; left-- {
		least := live[0]
		for _, h := range live {
			if h.planned.Slots < least.planned.Slots {
				least = h
			}
		}
		least.planned.Slots++
	}
}
