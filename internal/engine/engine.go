package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/pool"
	"github.com/cicadacove/cicadacove/internal/core/retry"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlview"
	"github.com/cicadacove/cicadacove/internal/groupstate"
)

// Options configure an Engine.
type Options[C Conn] struct {
	Zone    topo.Zone
	Control ctlview.Control
	// Catalog returns the configuration in force, nil before the first one.
	Catalog func() *catalog.Catalog
	// Open returns how connections to an upstream are opened.
	Open func(topo.Announcement) connpool.OpenFunc[C]
	// Share returns this instance's part of the upstreams' connections, from 0
	// to 1.
	Share func() float64
	// Peers reaches the other entry instances; the zero value reaches none.
	Peers Peers
	// Events is told of decisions; nil tells nobody.
	Events Events
}

// Engine serves sessions. It is safe for concurrent use.
type Engine[C Conn] struct {
	opts   Options[C]
	groups *groupstate.Set
	pools  *connpool.Set[*link[C]]
	nextID atomic.Uint64
	// retries bounds the reads that are repeated because an upstream ran them
	// and failed.
	retries retryBudget
	work    workTimes
}

// New returns an engine without sessions.
func New[C Conn](opts Options[C]) *Engine[C] {
	if opts.Events == nil {
		opts.Events = noEvents{}
	}
	e := &Engine[C]{opts: opts, groups: groupstate.New(admission.Ranked, wholeShare{}), retries: retryBudget{budget: retry.NewBudget()}}
	e.pools = connpool.NewSet(e.openLink, e.connectionShare)
	e.handlePeers()
	return e
}

// retryBudget is a retry.Budget for several goroutines.
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

// wholeShare lets the gates use all slots of an upstream: the upstream queues
// what several instances send at once.
type wholeShare struct{}

func (wholeShare) Use(topo.Announcement)           {}
func (wholeShare) Slots(topo.UpstreamID) int       { return 0 }
func (wholeShare) Average(topo.UpstreamID) float64 { return 0 }
func (wholeShare) Poke(topo.UpstreamID)            {}

// connectionShare is this instance's part of an upstream's connections.
func (e *Engine[C]) connectionShare(a topo.Announcement) int {
	limit := a.Connections
	if c := e.opts.Catalog(); c != nil {
		if g, ok := c.Groups[a.Group]; ok {
			limit = g.Connections
		}
	}
	return pool.Share(limit, e.opts.Share())
}

// Open starts a session on a database name. The outcome tells why there is
// none.
func (e *Engine[C]) Open(database string) (*Session[C], outcome.Outcome) {
	c := e.opts.Catalog()
	if c == nil {
		return nil, outcome.Refused(outcome.CodeNoUpstream, "this entry instance has no configuration yet")
	}
	if _, ok := c.Routes[database]; !ok {
		return nil, noDatabase(database)
	}
	if e.opts.Control.Stranded() {
		return nil, outcome.Refused(outcome.CodeNoPrimary, "this entry instance is cut off from the others")
	}
	return newSession(e, database), outcome.Outcome{}
}

func noDatabase(name string) outcome.Outcome {
	return outcome.Refused(outcome.CodeNoDatabase, "no route serves the database "+name)
}

const (
	// tendEvery is the interval at which pools and positions are looked after.
	tendEvery = 100 * time.Millisecond
	// idleLink is how long a connection may lie idle. An upstream counts the
	// connections of an instance that lost power for some seconds more; the
	// instance needs room for new ones meanwhile.
	idleLink = 2 * time.Second
	// askTimeout bounds a question for the primary's position.
	askTimeout = 500 * time.Millisecond
	// sampleAt is the part of the tolerated age after which the primary's
	// position is asked for, if no answer has told it meanwhile.
	sampleAt = 0.5
)

// Run does what callers do not wait for, until ctx ends.
func (e *Engine[C]) Run(ctx context.Context) error {
	ticker := time.NewTicker(tendEvery)
	defer ticker.Stop()
	defer e.pools.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.tend(ctx)
		}
	}
}

func (e *Engine[C]) tend(ctx context.Context) {
	e.pools.Each(func(id topo.UpstreamID, m *connpool.Member[*link[C]]) {
		m.Reap(time.Now(), idleLink)
		m.Retry(time.Now())
		limit := e.connectionShare(m.Upstream())
		m.SetLimit(limit)
		if gt, used := e.groups.GateOf(id); used {
			gt.SetConnections(limit) // by rank; the pool hands out in order of arrival
		}
	})
	e.groups.Each(func(id topo.GroupID, g *groupstate.Group) {
		if !g.StartSampleAfter(sampleAt, clock.Now()) {
			return
		}
		go e.sample(ctx, id, g)
	})
}

// sampleWait is how long a read waits for the primary's position. Reads that
// do without it all go to the primary.
const sampleWait = 100 * time.Millisecond

// awaitSample waits until the primary's position is known for the route's
// age. One request asks for all.
func (e *Engine[C]) awaitSample(w work) (routing.Requirement, bool) {
	g, maxAge := e.groups.Get(w.route.Group), w.route.Service.MaxAge
	if g.StartFirstSample(maxAge, clock.Now()) {
		go e.firstSample(w.route.Group, g)
	}
	timer := time.NewTimer(sampleWait)
	defer timer.Stop()
	for {
		sampled := g.Sampled()
		if r, known := g.RequirementWithin(maxAge, clock.Now()); known {
			return r, true
		}
		select {
		case <-sampled:
		case <-timer.C:
			return routing.Requirement{}, false
		}
	}
}

// firstSample learns the primary's position from the primary or from another
// instance, whichever answers first.
func (e *Engine[C]) firstSample(id topo.GroupID, g *groupstate.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	go e.askPeers(ctx, id)
	e.sample(ctx, id, g)
}

// sample learns the primary's position and ends what StartSample or
// StartFirstSample began.
func (e *Engine[C]) sample(ctx context.Context, id topo.GroupID, g *groupstate.Group) {
	defer g.EndSample()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if err := e.samplePrimary(ctx, id); err != nil {
		klog.V(2).Infof("engine: position of %s not learned: %v", id, err)
	}
}

// samplePrimary learns the primary's position from the answer to a statement
// that takes no slot.
func (e *Engine[C]) samplePrimary(ctx context.Context, id topo.GroupID) error {
	auth, ok := e.opts.Control.Authority(id)
	if !ok {
		return errNoAuthority
	}
	m := e.pools.Get(auth.Primary)
	l, err := m.Acquire(ctx, 0)
	if err != nil {
		return err
	}
	defer m.Release(l)
	sentAt := clock.Now()
	results, err := l.reset(ctx)
	if err != nil {
		return err
	}
	if !e.opts.Control.Holds(id, auth.Term) {
		return errNoAuthority
	}
	e.groups.Get(id).ObservePrimary(results.Point, sentAt)
	e.opts.Control.ReportPrimary(id, auth.Term, true)
	return nil
}

// callerName names a session for the fairness among callers.
func (e *Engine[C]) callerName() uint64 { return e.nextID.Add(1) }

// jitter is a random part of an interval.
func jitter() float64 { return rand.Float64() }

// Gauges returns the numbers of all upstreams in use.
func (e *Engine[C]) Gauges() []groupstate.Gauges { return e.groups.Gauges(e.pools.Stats) }
