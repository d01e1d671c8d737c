package engine

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// monitor updates what this instance knows of an upstream with how it answers.
type monitor[C Conn] struct {
	engine   *Engine[C]
	upstream topo.Announcement
	// term is the term of the lease under which the primary is used. It is zero
	// when the upstream proves its position in its answer.
	term   topo.Term
	member *connpool.Member[*pooledConn[C]]
	// serviceTimeKey selects the estimate of the statements' service time.
	serviceTimeKey admission.ServiceTimeKey
}

func (e *Engine[C]) newMonitor(a topo.Announcement, term topo.Term, s contract.Service) monitor[C] {
	return monitor[C]{engine: e, upstream: a, term: term, member: e.pools.Get(a), serviceTimeKey: admission.KeyOf(s)}
}

// isTimeout reports whether the upstream did not answer in time, as opposed to a
// closed or refused connection.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// reached records that the upstream responded.
func (m *monitor[C]) reached() {
	if m.member.Succeeded() {
		m.engine.opts.Events.UpstreamRecovered(m.upstream.ID)
	}
}

// suspect records that the upstream did not respond to another instance. That is no
// evidence on whether it responds to this one.
func (m *monitor[C]) suspect(err error) {
	if m.member.FailedAt(time.Now(), jitter()) {
		m.engine.opts.Events.UpstreamLost(m.upstream.ID, err)
	}
}

// failed records that the upstream did not respond.
func (m *monitor[C]) failed(err error) {
	m.suspect(err)
	switch {
	case m.term == 0:
	case isTimeout(err), errors.Is(err, connpool.ErrSlow):
		m.engine.opts.Control.RequestProbe(m.upstream.Group)
	default:
		m.engine.opts.Control.ReportPrimary(m.upstream.Group, m.term, false)
	}
}

// observe records whether the upstream served a statement.
func (m *monitor[C]) observe(served bool) {
	rate, failing, changed := m.engine.groups.Get(m.upstream.Group).ObserveOutcome(m.upstream.ID, served, clock.Now())
	if changed {
		m.engine.opts.Events.UpstreamFailing(m.upstream.ID, rate, failing)
	}
}

// ended records the answer to a statement that was sent at sentAt and took the given
// time at the upstream.
func (m *monitor[C]) ended(st Statement, r Result, sentAt time.Time, took time.Duration) {
	m.observe(r.Code.served())
	m.answered(sentAt, r.Point)
	if r.Code == CodeNone {
		m.observeTime(st, took, clock.Now())
	}
}

func (m *monitor[C]) answered(sentAt time.Time, reported topo.ReportedPoint) {
	now := clock.Now()
	m.reached()
	g := m.engine.groups.Get(m.upstream.Group)
	g.ObserveAnswer(m.upstream.ID, now.Sub(sentAt))
	point, known := reported.Point()
	if known {
		g.ObserveReplica(m.upstream.ID, point, now)
	}
	if m.term == 0 {
		return
	}
	m.engine.opts.Control.ReportPrimary(m.upstream.Group, m.term, true)
	if known && m.engine.opts.Control.Holds(m.upstream.Group, m.term) {
		g.ObservePrimary(point, sentAt)
	}
}

// observeTime updates the estimates of service time and queueing with the time
// of a statement that ran.
func (m *monitor[C]) observeTime(st Statement, took time.Duration, now time.Time) {
	if st.Verb != Read && st.Verb != Write && st.Verb != Execute {
		return
	}
	unqueued := m.engine.serviceTimes.observe(m.serviceTimeKey, took)
	m.engine.groups.Get(m.upstream.Group).ObserveTime(m.upstream.ID, took, unqueued, now)
}
