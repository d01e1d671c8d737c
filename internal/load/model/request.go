package model

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
)

// outcomeKind is the outcome of a request as its caller sees it.
type outcomeKind int

const (
	outcomePending outcomeKind = iota
	outcomeDone
	outcomeRefused
	outcomeTimedOut
	outcomeUnknown
)

// request is one request of a caller with all its attempts.
type request struct {
	model    *model
	stream   *Stream
	workload *Workload
	caller   string
	intended time.Time

	link   *link
	ticket *admission.Ticket
	// firstTicket is the ticket of the first statement.
	firstTicket *admission.Ticket
	arrived     time.Time
	statement   int
	connected   bool
	retries     int
	// executions counts the executions that took effect, for checkExecutions.
	executions int
	slotTime   time.Duration
	outcome    outcomeKind
	// replied reports that the entry instance has sent the answer to the caller.
	replied bool
	// timeoutScheduled reports that timeOut is scheduled.
	timeoutScheduled bool
}

// send sends the request to an entry instance, which requests a slot for it.
func (r *request) send() {
	m := r.model
	m.engine.after(m.settings.CallerDelay, func() {
		if r.outcome != outcomePending {
			return
		}
		entry := m.pickEntry(r)
		if entry == nil {
			r.retry(retryDelay)
			return
		}
		r.arrived = m.engine.now
		r.link = entry.route(r)
		if r.link == nil {
			r.refused(retryDelay)
			return
		}
		r.link.admit(r)
	})
}

// scheduleTimeout schedules the caller's timeout. It is called when the request
// first waits, in a queue or for its next attempt.
func (r *request) scheduleTimeout() {
	if r.timeoutScheduled {
		return
	}
	r.timeoutScheduled = true
	r.model.engine.at(r.intended.Add(r.model.settings.CallerTimeout), r.timeOut)
}

// retryDelay is the delay before a retry when the caller ignores the retry hint
// or got none.
const retryDelay = 20 * time.Millisecond

// refused handles the refusal of an attempt: the caller retries it, or the
// request ends as refused when no retry is left.
func (r *request) refused(hint time.Duration) {
	r.model.result.recordRefusedAttempt(r)
	r.rollBack()
	if r.stream.IgnoreHints {
		hint = retryDelay
	}
	if r.retries < r.stream.Retries {
		r.retry(hint)
		return
	}
	r.end(outcomeRefused)
}

// rollBack ends the transaction of a refused request.
func (r *request) rollBack() {
	r.statement = 0
	if r.connected {
		r.connected = false
		r.link.disconnect(r)
	}
}

// retry sends the request again after a delay.
func (r *request) retry(delay time.Duration) {
	r.retries++
	r.scheduleTimeout()
	m := r.model
	r.link = nil
	m.engine.after(m.settings.CallerDelay+delay, func() {
		if r.outcome == outcomePending {
			r.send()
		}
	})
}

// timeOut ends the request if it has not started. The caller waits for a request
// that has started.
func (r *request) timeOut() {
	if r.outcome != outcomePending {
		return
	}
	if r.link == nil {
		r.end(outcomeTimedOut)
		return
	}
	if r.statement > 0 || r.ticket.State() != admission.Waiting {
		return
	}
	r.link.applyDecisions(r.link.scheduler.Cancel(r.model.engine.now, r.ticket))
	r.end(outcomeTimedOut)
}

// runStatement executes the next statement, for which the request holds a slot.
func (r *request) runStatement(l *link) {
	if r.outcome != outcomePending {
		return
	}
	if r.statement == 0 {
		r.firstTicket = r.ticket
	}
	if r.connected {
		r.execute(l)
		return
	}
	l.connect(func() {
		r.connected = true
		r.execute(l)
	})
}

func (r *request) execute(l *link) {
	m := r.model
	databaseTime := time.Duration((0.5 + m.engine.random.Float64()) * float64(r.workload.Time))
	m.engine.after(l.delay(), func() {
		l.database.execute(databaseTime, func(ok bool) {
			if ok && r.statement == r.workload.Statements-1 {
				r.executions++
				m.result.recordExecution(r)
			}
			m.engine.after(l.delay(), func() { r.statementEnded(l, databaseTime, ok) })
		})
	})
}

// statementEnded handles the database's answer to a statement.
func (r *request) statementEnded(l *link, databaseTime time.Duration, ok bool) {
	if r.outcome != outcomePending {
		return
	}
	r.slotTime += databaseTime
	l.releaseSlot(r)
	if !ok {
		l.disconnect(r)
		r.databaseFailed()
		return
	}
	r.statement++
	if r.statement < r.workload.Statements {
		r.model.engine.after(2*r.model.settings.CallerDelay, func() { r.nextStatement(l) })
		return
	}
	r.model.engine.after(r.confirmDelay(), func() {
		l.disconnect(r)
		r.reply()
	})
}

// nextStatement sends the next statement of the transaction.
func (r *request) nextStatement(l *link) {
	if r.outcome == outcomePending {
		l.admit(r)
	}
}

// confirmDelay returns the time until a second database confirms a write.
func (r *request) confirmDelay() time.Duration {
	if r.workload.Service.Durability < 2 {
		return 0
	}
	return 2 * r.model.settings.ZoneDelay
}

// databaseFailed handles the loss of the database during a statement. A
// transaction that had not reached its last statement has had no effect, so its
// caller may retry.
func (r *request) databaseFailed() {
	last := r.statement == r.workload.Statements-1
	if last && r.workload.Service.Writes {
		r.end(outcomeUnknown)
		return
	}
	r.connected = false
	r.refused(retryDelay)
}

func (r *request) reply() {
	if r.outcome != outcomePending {
		return
	}
	r.replied = true
	r.model.engine.after(r.model.settings.CallerDelay, func() { r.end(outcomeDone) })
}

func (r *request) end(kind outcomeKind) {
	if r.outcome != outcomePending {
		r.model.result.endedTwice++
		return
	}
	r.outcome = kind
	r.model.result.recordEnd(r)
}
