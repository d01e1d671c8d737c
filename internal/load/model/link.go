package model

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
)

// link is the admission scheduler and the connection pool of one entry instance
// for one database.
type link struct {
	entry     *entry
	database  *database
	scheduler *admission.Scheduler
	allocator allocator

	limit       int
	open        int
	idle        int
	connWaiters []func()
}

// delay returns the one-way network delay of the link.
func (l *link) delay() time.Duration {
	if l.entry.zone == l.database.zone {
		return 0
	}
	return l.entry.model.settings.ZoneDelay
}

// admit requests a slot for the request's next statement.
func (l *link) admit(r *request) {
	e := l.entry.model.engine
	ticket, decisions := l.scheduler.Arrive(e.now, admission.Request{
		Service:       r.workload.Service,
		Caller:        r.caller,
		Arrived:       r.arrived,
		InTransaction: r.statement > 0,
	}, r)
	r.ticket = ticket
	l.applyDecisions(decisions)
	if ticket.State() != admission.Waiting {
		return
	}
	r.scheduleTimeout()
	l.allocator.demandChanged(l)
	l.scheduleExpiry(r, ticket)
}

// scheduleExpiry lets the scheduler refuse the request at its deadline.
func (l *link) scheduleExpiry(r *request, t *admission.Ticket) {
	const minWait = time.Millisecond
	e := l.entry.model.engine
	at := t.Deadline()
	if at.Before(e.now.Add(minWait)) {
		at = e.now.Add(minWait)
	}
	if l.entry.model.settings.Policy != admission.Ranked || t.Request.InTransaction {
		return
	}
	e.at(at, func() {
		if t.State() != admission.Waiting || l.entry.lost {
			return
		}
		l.applyDecisions(l.scheduler.Expire(e.now, t))
		l.scheduleExpiry(r, t)
	})
}

// applyDecisions starts or refuses requests as the scheduler decided. It does
// nothing for a lost instance, whose requests have already ended.
func (l *link) applyDecisions(decisions []admission.Decision) {
	if l.entry.lost {
		return
	}
	type result struct {
		request    *request
		start      bool
		retryAfter time.Duration
	}
	results := make([]result, len(decisions))
	for i, d := range decisions {
		results[i] = result{d.Ticket.Owner.(*request), d.Start, d.Outcome.RetryAfter}
	}
	for _, r := range results {
		if r.start {
			r.request.runStatement(l)
		} else {
			r.request.refused(r.retryAfter)
		}
	}
}

// connect calls use once a connection of the pool is available. It opens a new
// one if none is idle and the limit allows; otherwise the request waits.
func (l *link) connect(use func()) {
	if l.idle > 0 {
		l.idle--
		use()
		return
	}
	if l.open >= l.limit {
		l.connWaiters = append(l.connWaiters, use)
		l.allocator.demandChanged(l)
		return
	}
	l.open++
	l.database.connectionOpened()
	l.entry.model.engine.after(l.entry.model.settings.ConnectDelay, use)
}

// disconnect returns a request's connection to the pool.
func (l *link) disconnect(r *request) {
	l.returnConnection()
	l.applyDecisions(l.scheduler.End(l.entry.model.engine.now, r.firstTicket))
}

func (l *link) returnConnection() {
	if l.open > l.limit {
		l.closeConnection()
		l.allocator.demandChanged(l)
		return
	}
	if len(l.connWaiters) > 0 {
		use := l.connWaiters[0]
		l.connWaiters = l.connWaiters[1:]
		use()
		return
	}
	l.idle++
}

func (l *link) closeConnection() {
	l.open--
	l.database.connectionClosed()
}

// setLimits sets the slots and connections that the instance may use.
func (l *link) setLimits(slots int, average float64, connections int) {
	l.limit = connections
	for l.idle > 0 && l.open > l.limit {
		l.idle--
		l.closeConnection()
	}
	for len(l.connWaiters) > 0 && l.open < l.limit {
		use := l.connWaiters[0]
		l.connWaiters = l.connWaiters[1:]
		l.open++
		l.database.connectionOpened()
		l.entry.model.engine.after(l.entry.model.settings.ConnectDelay, use)
	}
	now := l.entry.model.engine.now
	l.applyDecisions(l.scheduler.SetConnections(now, connections))
	l.applyDecisions(l.scheduler.SetSlots(now, slots, average))
}

// releaseSlot releases the slot of a statement that has ended.
func (l *link) releaseSlot(r *request) {
	hadExcess := l.scheduler.Excess() > 0
	l.applyDecisions(l.scheduler.Release(l.entry.model.engine.now, r.ticket))
	if hadExcess {
		l.allocator.demandChanged(l)
	}
	l.allocator.slotReleased(l)
}
