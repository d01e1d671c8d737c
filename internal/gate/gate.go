// Package gate does the admission control for one upstream. It runs the
// scheduler of core/admission with a clock and goroutines.
//
// A Gate is safe for concurrent use. An entry instance has one for each
// upstream.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// Load is a summary of the gate's queues, used by routing and metrics.
type Load = admission.Load

// Request is a request for one slot.
type Request struct {
	Service contract.Service
	// Caller identifies the caller; callers of one service are served in turn.
	Caller string
	// Arrived is when the entry instance received the request; zero means now.
	Arrived time.Time
	// InTransaction marks a statement of an open transaction. It takes precedence
	// over new work.
	InTransaction bool
}

// Options configure a Gate.
type Options struct {
	// Slots is how many statements may run at once.
	Slots int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Policy is the admission policy; empty means admission.Ranked.
	Policy admission.Policy
	// MaxQueue bounds the waiting requests of one service; zero means
	// admission.DefaultMaxQueue.
	MaxQueue int
	// IdleLimit bounds how long an idle transaction keeps its slot; zero
	// means admission.DefaultIdleLimit.
	IdleLimit time.Duration
	// Connections bounds the requests between their permit and Permit.End;
	// zero means no bound.
	Connections int
	// OnDemandChange is called, without locks held, when a request starts to
	// wait, when a statement in excess of the slots has ended, and when a slot
	// becomes idle. If another instance owns the upstream and grants the slots,
	// this instance then reports its demand to the owner.
	OnDemandChange func()
}

// Gate shares the slots of one upstream among the callers of this instance.
type Gate struct {
	now            func() time.Time
	onDemandChange func()

	mu        sync.Mutex
	scheduler *admission.Scheduler
}

// New returns a Gate with the given options.
func New(options Options) *Gate {
	now := options.Now
	if now == nil {
		now = time.Now
	}
	scheduler := admission.New(admission.Options{
		Policy:      options.Policy,
		Slots:       options.Slots,
		Connections: options.Connections,
		MaxQueue:    options.MaxQueue,
		IdleLimit:   options.IdleLimit,
	})
	onDemandChange := options.OnDemandChange
	if onDemandChange == nil {
		onDemandChange = func() {}
	}
	return &Gate{now: now, onDemandChange: onDemandChange, scheduler: scheduler}
}

// Acquire waits for a slot. A nil permit means that the request was refused
// and has not run, or that ctx ended while it waited; the outcome is the reason.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Permit, outcome.Outcome) {
	if ctx.Err() != nil {
		return nil, contextEnded()
	}
	p := &Permit{gate: g, ready: make(chan outcome.Outcome, 1)}
	deadline := g.enqueue(p, r)
	select {
	case end := <-p.ready:
		return p.result(end)
	default:
	}
	g.onDemandChange()
	return g.wait(ctx, p, deadline)
}

// enqueue passes the request to the scheduler and returns the request's deadline.
func (g *Gate) enqueue(p *Permit, r Request) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	ticket, decisions := g.scheduler.Arrive(now, admission.Request(r), p)
	p.ticket = ticket
	deliver(decisions)
	return ticket.Deadline()
}

func (g *Gate) wait(ctx context.Context, p *Permit, deadline time.Time) (*Permit, outcome.Outcome) {
	timer := time.NewTimer(deadline.Sub(g.now()))
	defer timer.Stop()
	for {
		select {
		case end := <-p.ready:
			return p.result(end)
		case <-ctx.Done():
			return g.abandon(p)
		case <-timer.C:
			timer.Reset(g.expire(p))
		}
	}
}

// minExpiryDelay limits how often a waiting request checks for its expiry while
// the estimated wait changes.
const minExpiryDelay = time.Millisecond

// expire refuses the request if its deadline has passed, and returns the delay
// until the next check.
func (g *Gate) expire(p *Permit) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	deliver(g.scheduler.Expire(now, p.ticket))
	return max(p.ticket.Deadline().Sub(now), minExpiryDelay)
}

// abandon withdraws a request whose context has ended. It releases a slot that
// was granted at the same time.
func (g *Gate) abandon(p *Permit) (*Permit, outcome.Outcome) {
	g.cancel(p)
	select {
	case end := <-p.ready:
		if end.Kind != "" {
			return nil, end
		}
		p.withdraw()
	default:
	}
	return nil, contextEnded()
}

func (g *Gate) cancel(p *Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	deliver(g.scheduler.Cancel(g.now(), p.ticket))
}

// SetConnections bounds the requests that hold a connection at the same time,
// from their permit until Permit.End. Zero means no bound; then End need not be
// called. With a bound, a request with a permit always finds a free connection
// and does not hold a slot while it waits for one.
func (g *Gate) SetConnections(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	deliver(g.scheduler.SetConnections(g.now(), n))
}

// SetSlots changes how many statements may run at once. Running statements keep
// their slots until they end.
func (g *Gate) SetSlots(n int) { g.SetShare(n, float64(n)) }

// SetShare changes the current number of slots, n, and its average over time. The
// two differ while instances take turns in using a slot.
func (g *Gate) SetShare(n int, average float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	deliver(g.scheduler.SetSlots(g.now(), n, average))
}

// SetFloors changes the average number of slots guaranteed to each rank, for an
// upstream whose slots other instances share. Index 0 is unused.
func (g *Gate) SetFloors(floors [contract.Ranks + 1]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetFloors(floors)
}

// Load returns the current load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Load(g.now())
}

// Wait returns the expected wait of a new request of the rank.
func (g *Gate) Wait(rank int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Wait(g.now(), rank)
}

// deliver sends decisions to the waiting goroutines. Each request gets one
// decision, so the send never blocks.
func deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		p := d.Ticket.Owner.(*Permit)
		p.ready <- d.Outcome
	}
}

func contextEnded() outcome.Outcome {
	return outcome.Refused(outcome.CodeTimeout, "the caller's deadline passed while the request waited")
}
