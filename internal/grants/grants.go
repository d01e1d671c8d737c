// Package grants distributes the slots and connections of each upstream among
// the entry instances. It runs the decisions of core/grant with a clock and with
// requests between instances.
//
// Each instance keeps one report pending at the owner of each upstream, as a long
// poll. The owner answers when the instance's share changes, or after a quarter of
// a grant's duration, so a share moves within about one round trip.
package grants

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/grant"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// KindReport is the request kind of a holder's report.
const KindReport = "grant.report"

// DefaultInstances is the number of instances among which the base share of each
// upstream's connections is divided.
const DefaultInstances = 4

const (
	// longPollDivisor divides a grant's duration; the result is the time after
	// which the owner answers a report without a change.
	longPollDivisor = 4
	// retryDelay is the delay between a report without an answer and the next
	// one.
	retryDelay = 20 * time.Millisecond
)

// Member is an instance in the live view.
type Member struct {
	ID   topo.InstanceID
	Addr string
}

// View is the active epoch of the live view.
type View struct {
	Epoch   uint64
	Members []Member
	// Until is when this instance's lease ends unless it is renewed. Grants
	// end no later than that.
	Until time.Time
}

func (v View) ids() []topo.InstanceID {
	ids := make([]topo.InstanceID, len(v.Members))
	for i, m := range v.Members {
		ids[i] = m.ID
	}
	return ids
}

// Usage is an instance's use of and demand for one upstream.
type Usage struct {
	// InUse counts running statements and open connections.
	InUse  grant.Amount
	Demand grant.Demand
}

// Options configure a Grants.
type Options struct {
	Self   topo.InstanceID
	Client *peer.Client
	Server *peer.Server
	Params grant.Params
	// View returns the active epoch, or false while this instance has no valid
	// lease.
	View func() (View, bool)
	// Usage returns the current usage; it is called before each report.
	Usage func(topo.UpstreamID) Usage
	// Changed is called, without locks held, after the instance's share of an
	// upstream has changed.
	Changed func(topo.UpstreamID)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Grants holds this instance's grants and answers reports on the upstreams that
// it owns.
type Grants struct {
	options Options
	params  grant.Params

	mu       sync.Mutex
	epoch    uint64
	since    time.Time
	holdings map[topo.UpstreamID]*holding
	owned    map[topo.UpstreamID]*owned
	start    chan *holding
}

// New returns a Grants and registers its request handler at the server.
func New(options Options) *Grants {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Changed == nil {
		options.Changed = func(topo.UpstreamID) {}
	}
	params := options.Params.WithDefaults()
	if params.Instances == 0 {
		params.Instances = DefaultInstances
	}
	g := &Grants{
		options:  options,
		params:   params,
		holdings: make(map[topo.UpstreamID]*holding),
		owned:    make(map[topo.UpstreamID]*owned),
		start:    make(chan *holding),
	}
	peer.Handle(options.Server, KindReport, g.handleReport)
	return g
}

// Run renews the grants until ctx ends.
func (g *Grants) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case h := <-g.start:
			group.Go(func() error {
				h.run(ctx)
				return nil
			})
		}
	}
}

// SetUpstream sets the total capacity of an upstream and adds a new upstream; ctx
// bounds the wait for Run to start reporting on it.
func (g *Grants) SetUpstream(ctx context.Context, id topo.UpstreamID, capacity grant.Amount) {
	h, added := g.setCapacity(id, capacity)
	if !added {
		return
	}
	select {
	case g.start <- h:
	case <-ctx.Done():
	}
}

func (g *Grants) setCapacity(id topo.UpstreamID, capacity grant.Amount) (h *holding, added bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.owned[id]; o != nil {
		o.setCapacity(capacity)
	}
	if h := g.holdings[id]; h != nil {
		h.setCapacity(capacity)
		return h, false
	}
	h = newHolding(g, id, capacity)
	g.holdings[id] = h
	return h, true
}

// RemoveUpstream removes an upstream.
func (g *Grants) RemoveUpstream(id topo.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := g.holdings[id]; h != nil {
		close(h.removed)
		delete(g.holdings, id)
	}
	delete(g.owned, id)
}

// Slots returns how many statements the instance may run on the upstream now.
// Without a valid grant it is a fixed share of the upstream's slots, at least
// one.
func (g *Grants) Slots(id topo.UpstreamID) int {
	h := g.holding(id)
	if h == nil {
		return 0
	}
	return h.slots(g.options.Now())
}

// Average returns the average number of slots that the instance holds.
func (g *Grants) Average(id topo.UpstreamID) float64 {
	h := g.holding(id)
	if h == nil {
		return 0
	}
	return h.average(g.options.Now())
}

// Floors returns the slots guaranteed to each rank on average, for
// gate.SetFloors.
func (g *Grants) Floors(id topo.UpstreamID) [contract.Ranks + 1]float64 {
	h := g.holding(id)
	if h == nil {
		return [contract.Ranks + 1]float64{}
	}
	return h.floors(g.options.Now())
}

// Connections returns how many connections to the upstream the instance may have
// open now. Idle ones in excess must be closed at once, busy ones before MustClose
// counts them.
func (g *Grants) Connections(id topo.UpstreamID) int {
	h := g.holding(id)
	if h == nil {
		return 0
	}
	return h.connections(g.options.Now())
}

// MustClose returns how many of the open connections must be closed now, busy or
// not, because the grace period after the end of their grant is over.
func (g *Grants) MustClose(id topo.UpstreamID, open int) int {
	h := g.holding(id)
	if h == nil {
		return open
	}
	return h.mustClose(g.options.Now(), open)
}

// DemandChanged reports a change of use or demand that the owner should receive at
// once: a request waits for a slot or a connection, or something held in excess of
// the limit was released.
func (g *Grants) DemandChanged(id topo.UpstreamID) {
	h := g.holding(id)
	if h == nil {
		return
	}
	select {
	case h.updated <- struct{}{}:
	default:
	}
}

func (g *Grants) holding(id topo.UpstreamID) *holding {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holdings[id]
}

// view returns the active epoch and the time at which this instance first saw
// it.
func (g *Grants) view() (View, time.Time, bool) {
	view, ok := g.options.View()
	if !ok {
		return View{}, time.Time{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if view.Epoch < g.epoch {
		return View{}, time.Time{}, false
	}
	if view.Epoch > g.epoch {
		g.epoch = view.Epoch
		g.since = g.options.Now()
		clear(g.owned)
		klog.V(1).Infof("grants: switched to epoch %d with %d members", view.Epoch, len(view.Members))
	}
	return view, g.since, true
}

// ownerOf returns the member that owns the upstream in the view.
func ownerOf(id topo.UpstreamID, view View) (Member, bool) {
	owner := grant.OwnerOf(id, view.ids())
	for _, m := range view.Members {
		if m.ID == owner {
			return m, true
		}
	}
	return Member{}, false
}
