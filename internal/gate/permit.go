package gate

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// Permit is the right to run one statement on the upstream.
type Permit struct {
	gate   *Gate
	ticket *admission.Ticket
	// ready receives the only decision on the request. An outcome without a kind
	// means that it may start.
	ready chan outcome.Outcome
	// reclaim reclaims the slot of an idle permit; nil while the permit is busy.
	reclaim *time.Timer
}

func (p *Permit) result(end outcome.Outcome) (*Permit, outcome.Outcome) {
	if end.Kind != "" {
		return nil, end
	}
	return p, outcome.Outcome{}
}

// Release releases the slot after the end of the statement. The time since
// Acquire counts as service time. A second call has no effect.
func (p *Permit) Release() {
	if p.release() {
		p.gate.onDemandChange()
	}
}

// End records that the request that this permit started has released its
// connection, after its only or last statement. A second call has no effect.
func (p *Permit) End() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	deliver(g.scheduler.End(g.now(), p.ticket))
}

// release reports whether the statement ran in excess of the slots or its slot
// is idle now.
func (p *Permit) release() bool {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	p.stopReclaim()
	excess := g.scheduler.Excess() > 0
	deliver(g.scheduler.Release(g.now(), p.ticket))
	return excess || g.scheduler.Idle() > 0
}

// withdraw returns a slot that was never used.
func (p *Permit) withdraw() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	deliver(g.scheduler.Withdraw(g.now(), p.ticket))
	deliver(g.scheduler.End(g.now(), p.ticket))
}

// MarkIdle marks the transaction as idle: it runs no statement but keeps its
// slot for the next one. The slot is reclaimed after the idle limit.
func (p *Permit) MarkIdle() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.MarkIdle(g.now(), p.ticket)
	p.reclaim = time.AfterFunc(g.scheduler.IdleLimit(), p.reclaimSlot)
}

// MarkBusy marks an idle transaction as running a statement again. It returns
// false if the slot was reclaimed; the caller then acquires a new permit with
// InTransaction set.
func (p *Permit) MarkBusy() bool {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	p.stopReclaim()
	return g.scheduler.MarkBusy(p.ticket)
}

func (p *Permit) reclaimSlot() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	deliver(g.scheduler.Reclaim(g.now(), p.ticket))
}

func (p *Permit) stopReclaim() {
	if p.reclaim != nil {
		p.reclaim.Stop()
		p.reclaim = nil
	}
}
