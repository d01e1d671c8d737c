package model

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/grant"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// grantAllocator divides the database by demand. It runs core/grant between the
// links of one database, with network delays. The owner delays its answer to a
// report until the grant changes or maxReportHold has passed.
type grantAllocator struct {
	model      *model
	database   *database
	params     grant.Params
	capacity   grant.Amount
	epoch      uint64
	members    []topo.InstanceID
	owner      *grant.Owner
	ownerEntry *entry
	holders    []*holderState
	pending    []pendingReport
	tick       uint64
}

// holderState is the grant state of one link.
type holderState struct {
	link        *link
	holder      *grant.Holder
	lastReport  grant.Report
	reportsSent uint64
	slots       int
	conns       int
	average     float64
}

// pendingReport is a report that the owner has not answered yet.
type pendingReport struct {
	from     *holderState
	seq      uint64
	answerBy time.Time
}

const (
	// maxReportHold is the longest time for which the owner delays an answer.
	maxReportHold = grant.DefaultDuration / 4
	// minReportInterval is the time between an answer and the next report.
	minReportInterval = 2 * time.Millisecond
)

func newGrantAllocator(m *model, d *database, links []*link) *grantAllocator {
	a := &grantAllocator{model: m, database: d, epoch: 1}
	a.capacity = grant.Amount{Slots: m.settings.Slots + m.settings.Pipeline, Connections: m.settings.Connections}
	a.params = grant.Params{
		Instances: m.settings.Instances,
		Base:      grant.BaseOf(a.capacity, m.settings.Instances),
	}.WithDefaults()
	for _, l := range links {
		h := &holderState{link: l, holder: grant.NewHolder(a.params, 0)}
		a.holders = append(a.holders, h)
		a.members = append(a.members, l.entry.id)
	}
	return a
}

func (a *grantAllocator) start() {
	a.startEpoch(true)
	for _, h := range a.holders {
		a.applyLimits(h)
		a.sendReport(h)
	}
}

// startEpoch creates the owner for the current epoch and sets the epoch of the
// holders.
func (a *grantAllocator) startEpoch(fresh bool) {
	now := a.model.engine.now
	a.owner = grant.NewOwner(a.params, a.capacity, a.epoch, a.members, now, fresh)
	a.pending = nil
	id := grant.OwnerOf(a.database.id, a.members)
	for _, h := range a.holders {
		if h.link.entry.id == id {
			a.ownerEntry = h.link.entry
		}
		h.holder.SetEpoch(a.epoch)
	}
}

func (a *grantAllocator) usage(h *holderState) (grant.Amount, grant.Demand) {
	load := h.link.scheduler.Load(a.model.engine.now)
	demand := grant.Demand{Slots: load.Demand, Floors: load.Floors, Busy: load.InUse + queueLength(load)}
	demand.Connections = h.link.open - h.link.idle + len(h.link.connWaiters) + queueLength(load)
	return grant.Amount{Slots: load.InUse, Connections: h.link.open}, demand
}

// sendReport sends a report to the owner. It sends another one if none has
// followed within the duration of a grant, since the answer may be lost.
func (a *grantAllocator) sendReport(h *holderState) {
	if h.link.entry.lost {
		return
	}
	inUse, demand := a.usage(h)
	h.lastReport = h.holder.Report(a.model.engine.now, inUse, demand)
	h.reportsSent++
	attempt := h.reportsSent
	report, owner := h.lastReport, a.ownerEntry
	a.model.messages++
	a.model.engine.after(a.delay(h.link.entry, owner), func() { a.receiveReport(h, report, owner) })
	a.model.engine.after(a.params.Duration, func() {
		if h.reportsSent == attempt {
			a.applyLimits(h)
			a.sendReport(h)
		}
	})
}

func (a *grantAllocator) delay(from, to *entry) time.Duration {
	if from.zone == to.zone {
		return 0
	}
	return a.model.settings.ZoneDelay
}

// receiveReport handles a report at the owner.
func (a *grantAllocator) receiveReport(h *holderState, r grant.Report, owner *entry) {
	now := a.model.engine.now
	if owner.lost || owner != a.ownerEntry || !a.owner.Report(now, h.link.entry.id, r) {
		return
	}
	a.pending = append(a.pending, pendingReport{h, r.Seq, now.Add(maxReportHold)})
	a.answerDueReports()
}

// answerDueReports answers the reports whose grant has changed or whose delay
// has ended, and schedules its next run.
func (a *grantAllocator) answerDueReports() {
	now := a.model.engine.now
	if a.ownerEntry.lost {
		return
	}
	next := a.owner.Tick(now)
	var remaining []pendingReport
	for _, p := range a.pending {
		id := p.from.link.entry.id
		switch {
		case a.owner.Latest(id) != p.seq:
		case a.owner.Changed(now, id) || !now.Before(p.answerBy):
			a.sendGrant(p.from)
		default:
			remaining = append(remaining, p)
			if p.answerBy.Before(next) {
				next = p.answerBy
			}
		}
	}
	a.pending = remaining
	a.tick++
	tick := a.tick
	a.model.engine.at(next, func() {
		if a.tick == tick {
			a.answerDueReports()
		}
	})
}

func (a *grantAllocator) sendGrant(h *holderState) {
	g, _ := a.owner.Grant(a.model.engine.now, h.link.entry.id)
	a.model.messages++
	a.model.engine.after(a.delay(h.link.entry, a.ownerEntry), func() { a.applyGrant(h, g) })
}

// applyGrant applies the owner's answer and schedules the next report.
func (a *grantAllocator) applyGrant(h *holderState, g grant.Grant) {
	now := a.model.engine.now
	if h.link.entry.lost || !h.holder.Apply(g, now.Add(a.model.settings.Lease)) {
		return
	}
	a.applyLimits(h)
	a.model.engine.at(h.holder.EndsAt(), func() { a.applyLimits(h) })
	attempt := h.reportsSent
	a.model.engine.after(minReportInterval, func() {
		if h.reportsSent == attempt {
			a.sendReport(h)
		}
	})
}

// applyLimits sets the limits of the link to those of its holder.
func (a *grantAllocator) applyLimits(h *holderState) {
	if h.link.entry.lost {
		return
	}
	now := a.model.engine.now
	h.link.scheduler.SetFloors(h.holder.Floors(now))
	limit := h.holder.Limit(now)
	slots, average := limit.Slots, h.holder.Average(now)
	if !h.holder.Valid(now) {
		slots = max(a.capacity.Slots/len(a.holders), 1)
		average = float64(slots)
	}
	if h.slots == slots && h.conns == limit.Connections && h.average == average {
		return
	}
	h.slots, h.conns, h.average = slots, limit.Connections, average
	h.link.setLimits(slots, average, limit.Connections)
}

// demandChanged sends a report at once when the link has become short of slots
// or connections, or has returned some.
func (a *grantAllocator) demandChanged(l *link) {
	h := a.holderOf(l)
	inUse, demand := a.usage(h)
	if h.holder.ReturnIdle(a.model.engine.now, demand.Busy) {
		a.applyLimits(h)
		a.sendReport(h)
		return
	}
	limit := h.holder.Limit(a.model.engine.now)
	shortSlots := demand.Busy > limit.Slots && h.lastReport.Demand.Busy <= limit.Slots
	shortConns := demand.Connections > limit.Connections && h.lastReport.Demand.Connections <= limit.Connections
	returned := h.lastReport.Held.Slots > max(limit.Slots, inUse.Slots) ||
		h.lastReport.Held.Connections+a.params.Base.Connections > max(limit.Connections, inUse.Connections)
	if shortSlots || shortConns || returned {
		a.sendReport(h)
	}
}

func (a *grantAllocator) holderOf(l *link) *holderState {
	for _, h := range a.holders {
		if h.link == l {
			return h
		}
	}
	return nil
}

func (a *grantAllocator) slotReleased(l *link) {
	if l.scheduler.Idle() > 0 {
		a.demandChanged(l)
	}
}

func (a *grantAllocator) instanceLost(*entry) {}

// instanceRemoved starts the next epoch without the lost instance.
func (a *grantAllocator) instanceRemoved(e *entry) {
	a.epoch++
	var members []topo.InstanceID
	for _, m := range a.members {
		if m != e.id {
			members = append(members, m)
		}
	}
	a.members = members
	a.startEpoch(false)
	for _, h := range a.holders {
		a.sendReport(h)
	}
}
