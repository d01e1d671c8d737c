package engine

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/freshness"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/pool"
	"github.com/cicadacove/cicadacove/internal/core/retry"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlview"
	"github.com/cicadacove/cicadacove/internal/gate"
	"github.com/cicadacove/cicadacove/internal/groupstate"
)

// Options configure an Engine.
type Options[C Conn] struct {
	Self    topo.InstanceID
	Zone    topo.Zone
	Control ctlview.Control
	// Catalog returns the active configuration, nil before the first one.
	Catalog func() *catalog.Catalog
	// Open returns the function that opens connections to an upstream.
	Open func(topo.Announcement) connpool.OpenFunc[C]
	// Share returns this instance's share of the upstreams' connections, from 0
	// to 1.
	Share func() float64
	// Peers connects to the other entry instances; the zero value has no peers.
	Peers Peers
	// MemoryBytes is the memory of the instance, zero if unknown. It limits what the
	// statements of other instances may hold.
	MemoryBytes int64
	// Quota limits the rate of organisations; nil admits all operations.
	Quota Quota
	// Events receives notifications of decisions; nil disables them.
	Events Events
}

// Engine serves sessions. It is safe for concurrent use.
type Engine[C Conn] struct {
	opts   Options[C]
	groups *groupstate.Set
	pools  *connpool.Set[*pooledConn[C]]
	nextID atomic.Uint64
	// retries limits retries of reads that failed at an upstream and of
	// statements that a busy upstream refused.
	retries      retryBudget
	serviceTimes serviceTimes
	// sampledForOthersAt is when another instance last asked this one for the
	// positions of primaries; nil means never.
	sampledForOthersAt atomic.Pointer[time.Time]
	// relays decides which statements other instances run for this one, held runs those
	// of others. relayName is unique for this run of the instance.
	relays    relays
	held      *relayHolder[C]
	relayName string
	// slotsSet holds the upstreams whose gates have the slots of a relay plan. Only maintain
	// uses it.
	slotsSet map[topo.UpstreamID]bool
}

// New returns an Engine with the given options.
func New[C Conn](opts Options[C]) *Engine[C] {
	if opts.Events == nil {
		opts.Events = noEvents{}
	}
	e := &Engine[C]{opts: opts, groups: groupstate.New(admission.Ranked, fullShares{}), retries: retryBudget{budget: retry.NewBudget()}}
	e.pools = connpool.NewSet(e.openPooledConn, e.connectionShare)
	e.held = newRelayHolder(e)
	e.slotsSet = map[topo.UpstreamID]bool{}
	e.relayName = string(opts.Self) + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	e.handlePeers()
	return e
}

// retryBudget is a retry.Budget that is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func (b *retryBudget) attempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Attempt()
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take()
}

// fullShares lets each gate use all slots of an upstream. Requests that several
// instances send at once queue at the upstream.
type fullShares struct{}

func (fullShares) Use(topo.Announcement)           {}
func (fullShares) Slots(topo.UpstreamID) int       { return 0 }
func (fullShares) Average(topo.UpstreamID) float64 { return 0 }
func (fullShares) DemandChanged(topo.UpstreamID)   {}

// connectionShare returns this instance's limit of connections to an upstream.
func (e *Engine[C]) connectionShare(a topo.Announcement) int {
	limit := a.Connections
	if c := e.opts.Catalog(); c != nil {
		if g, ok := c.Groups[a.Group]; ok {
			limit = g.Connections
		}
	}
	set, relayed := e.holdersOf(a.ID)
	switch {
	case !relayed:
		return pool.Share(limit, e.opts.Share())
	case set.holdsSelf:
		return set.connections
	}
	return spareConnections
}

// spareConnections is how many connections an instance may open to an upstream of which
// it is no holder, when no holder can be reached.
const spareConnections = 1

// DrainRelays makes this instance refuse new work of other instances.
func (e *Engine[C]) DrainRelays() { e.held.drain() }

// EndRelays rolls the transactions of other instances back at their next statement
// boundary.
func (e *Engine[C]) EndRelays() { e.held.endTransactions() }

// Relayed returns the number of statements and transactions of other instances that this
// one serves.
func (e *Engine[C]) Relayed() int { return e.held.count() }

// Open starts a session of a caller with a key for a database name. If it returns no
// session, the outcome gives the reason.
func (e *Engine[C]) Open(database, key string) (*Session[C], outcome.Outcome) {
	trust := e.opts.Control.ConfigTrust()
	c := e.opts.Catalog()
	digest := catalog.DigestKey(key)
	if o, admitted := e.admitSession(c, trust, database, digest); !admitted {
		refusal := SessionRefusal{Database: database, Outcome: o, Basis: e.basis()}
		if c != nil {
			refusal.Config = c.Version
		}
		e.opts.Events.SessionRefused(refusal)
		return nil, o
	}
	return newSession(e, database, digest), outcome.Outcome{}
}

// admitSession decides whether a session may be opened. The outcome is the reason if not.
func (e *Engine[C]) admitSession(c *catalog.Catalog, trust freshness.Trust, database string, key catalog.KeyDigest) (o outcome.Outcome, admitted bool) {
	if c == nil {
		return outcome.Refused(outcome.CodeNoUpstream, "this entry instance has no configuration yet"), false
	}
	route, ok := c.Routes[database]
	if !ok {
		return trust.Deny(noDatabase(database)), false
	}
	if _, ok := authorize(c, route, key); !ok {
		return trust.Deny(unauthenticated()), false
	}
	if e.opts.Control.IsolatedWithoutLease() {
		return outcome.Refused(outcome.CodeNoPrimary, "this entry instance is isolated from the others"), false
	}
	if !trust.MayServe {
		return outcome.ConfigUnconfirmed(), false
	}
	return outcome.Outcome{}, true
}

// basis returns what a decision by the configuration rests on now.
func (e *Engine[C]) basis() Basis {
	age, known := e.opts.Control.ConfigAge()
	return Basis{ConfigAge: age, ConfigKnown: known, Leased: e.opts.Control.HasLease()}
}

func noDatabase(name string) outcome.Outcome {
	return outcome.Refused(outcome.CodeNoDatabase, "no route serves the database "+name)
}

// maintainInterval is the interval of pool maintenance and position sampling.
const maintainInterval = 100 * time.Millisecond

// Run does the background maintenance until ctx ends.
func (e *Engine[C]) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	defer e.pools.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.maintain(ctx)
		}
	}
}

func (e *Engine[C]) maintain(ctx context.Context) {
	e.updateRelayPlan()
	e.pools.Each(func(id topo.UpstreamID, m *connpool.Member[*pooledConn[C]]) {
		limit := e.connectionShare(m.Upstream())
		m.SetLimit(limit)
		m.Reap(time.Now(), e.idleTimeout(id, limit))
		m.Retry(time.Now())
		if gt, used := e.groups.GateOf(id); used {
			gt.SetConnections(limit) // the gate orders requests by rank, the pool only by arrival
			e.setSlots(gt, m.Upstream())
		}
	})
	e.samplePositions(ctx, clock.Now())
}

// idleTimeout returns how long a connection to an upstream may stay idle. A holder keeps
// its connections, since those of all holders fit.
func (e *Engine[C]) idleTimeout(id topo.UpstreamID, limit int) time.Duration {
	if set, relayed := e.holdersOf(id); relayed && set.holdsSelf {
		return pool.IdleLimit
	}
	return pool.IdleTimeout(limit)
}

// announced returns the latest announcement of an upstream. The one with which its pool was
// created may be older.
func (e *Engine[C]) announced(a topo.Announcement) (topo.Announcement, bool) {
	if known, ok := e.knownUpstream(a.ID); ok {
		return known, true
	}
	for _, u := range e.opts.Control.Upstreams(a.Group) {
		if u.ID == a.ID {
			return u.Announcement, true
		}
	}
	return topo.Announcement{}, false
}

// setSlots limits the statements that a holder of an upstream runs there at once, and ends
// the limit when statements for the upstream are not relayed any more.
func (e *Engine[C]) setSlots(gt *gate.Gate, a topo.Announcement) {
	set, relayed := e.holdersOf(a.ID)
	if !relayed && !e.slotsSet[a.ID] {
		return
	}
	if known, ok := e.announced(a); ok {
		a = known
	}
	slots := max(a.Slots, 1)
	if relayed && set.holdsSelf {
		slots = set.slots
	}
	e.slotsSet[a.ID] = relayed
	if gt.Load().Slots != slots {
		gt.SetSlots(slots)
	}
}

// nextCallerID returns a unique name for fair queueing among callers.
func (e *Engine[C]) nextCallerID() uint64 { return e.nextID.Add(1) }

// jitter returns a random fraction of an interval.
func jitter() float64 { return rand.Float64() }

// Gauges returns the gauges of all upstreams in use.
func (e *Engine[C]) Gauges() []groupstate.Gauges { return e.groups.Gauges(e.pools.Stats) }
