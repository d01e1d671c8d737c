// Package agent is an entry instance's side of control. It keeps the lease,
// the state of the database groups, the configuration, the live view and the
// announcements of upstreams, and it checks primaries.
package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/lease"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/dbapi"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/spread"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

// Timing holds the times of leases, detection and failover.
type Timing = ctlwire.Timing

// Options configures an Agent.
type Options struct {
	// Self identifies this run of the entry instance.
	Self ctlstate.Member
	// Voters are the peer addresses of the control voters.
	Voters []string
	Client *peer.Client
	Server *peer.Server
	Timing Timing
	// Databases checks primaries. The agent closes it when it ends.
	Databases dbapi.Prober
	// AnnounceKey authenticates announcements. When it is empty they pass
	// without a signature.
	AnnounceKey []byte
	// Config takes in updates of the configuration; nil keeps the contracts,
	// which Agent.Config returns.
	Config ConfigSink
	// Sessions returns how many callers the instance serves; nil tells nobody.
	Sessions func() int
	// UseUnheard offers databases that the control log knows also before they
	// have announced themselves to this run.
	UseUnheard bool
	// Now is the clock that leases and ages count by; nil means clock.Now.
	Now func() time.Time
	// KeepUntilExpiry makes the agent refuse requests to give back a lease
	// before its time. It exists to measure what giving back early saves.
	KeepUntilExpiry bool
}

// ConfigSink takes in updates of the configuration. The agent calls it under
// its own lock, so it must not wait.
type ConfigSink interface {
	// Revision returns the revision that is in force.
	Revision() uint64
	// Apply takes a later revision into force. With an error nothing changes.
	Apply(update []byte) error
}

// Authority says that the lease covers a group's term: writes may be sent to
// the primary.
type Authority struct {
	Term        topo.Term
	Primary     topo.UpstreamID
	PrimaryAddr string
	// PrimarySlots is what the control log knows, zero if nothing.
	PrimarySlots int
}

// Upstream is a database that may get new work.
type Upstream struct {
	topo.Announcement
	// HeardAt is when the announcement was heard first.
	HeardAt time.Time
}

// Agent is an entry instance's side of control. It is safe for concurrent
// use.
type Agent struct {
	opts   Options
	timing Timing
	now    func() time.Time
	// startedAt is when this run began.
	startedAt time.Time
	db        dbapi.Prober

	mu     sync.Mutex
	chart  *statechart.Chart
	state  string
	holder *lease.Holder
	guards guards
	// renewedAt is when the latest renewal was answered; cutOffSince is zero
	// unless this instance is cut off.
	renewedAt, cutOffSince time.Time
	known                  *ctlstate.Replica
	registry               *membership.Registry
	tracker                *upstreamTracker
	voters                 []string
	config                 ConfigSink
	// contracts is the default of config.
	contracts *contracts
	changed   chan struct{}
	// leader is the peer address of the controller that leads, empty when it
	// is unknown; hint is where a voter believes it to be.
	leader, hint string
	// share is the instance's part of what instances share, zero if unknown.
	share float64
	// incarnation is that of Self, or a higher one if a former run had a higher
	// one. It changes only until wasRegistered.
	incarnation   atomic.Uint64
	wasRegistered bool
	// wake ends the pause before the next renewal.
	wake chan struct{}
	// relayAddr is the voter that passes requests on to a leader that can't be
	// reached, since relaySince; empty while the leader answers.
	relayAddr  string
	relaySince time.Time

	evidence *spread.Outbox[sightingKey, bool]
	told     map[sightingKey]toldSighting
	// served is when a primary last answered on a data connection.
	served map[topo.GroupID]time.Time
	// doubted are the groups whose primary a request found slow.
	doubted map[topo.GroupID]bool
	heard   *spread.Announcements
}

// New returns an agent and registers its handlers with the server.
func New(opts Options) (*Agent, error) {
	if opts.Self.ID == "" || opts.Self.PeerAddr == "" || opts.Self.Incarnation == 0 {
		return nil, errors.New("agent: self: id, incarnation and peer address are needed")
	}
	if opts.Client == nil || opts.Server == nil || opts.Databases == nil {
		return nil, errors.New("agent: client and server, and a client of the databases, are needed")
	}
	if opts.Now == nil {
		opts.Now = clock.Now
	}
	timing := opts.Timing.WithDefaults()
	a := &Agent{
		opts:      opts,
		timing:    timing,
		now:       opts.Now,
		startedAt: opts.Now(),
		db:        opts.Databases,
		chart:     loadLeaseChart(charts.Read("lease.toml")),
		holder:    lease.NewHolder(timing.Terms()),
		guards:    newGuards(),
		known:     ctlstate.NewReplica(),
		registry:  membership.NewRegistry(timing.Announced),
		tracker:   newUpstreamTracker(),
		voters:    opts.Voters,
		contracts: &contracts{revision.NewApplier()},
		changed:   make(chan struct{}),
		wake:      make(chan struct{}, 1),
		told:      map[sightingKey]toldSighting{},
		served:    map[topo.GroupID]time.Time{},
		doubted:   map[topo.GroupID]bool{},
		evidence:  spread.NewOutbox[sightingKey](spread.Latest[bool]),
		heard:     spread.NewAnnouncements(opts.Now),
	}
	a.state = a.chart.Initial
	a.incarnation.Store(opts.Self.Incarnation)
	a.config = opts.Config
	if a.config == nil {
		a.config = a.contracts
	}
	a.handle(opts.Server)
	return a, nil
}

// Run keeps the lease until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	defer a.db.Close()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.renewLoop(ctx) })
	g.Go(func() error { return a.expiryLoop(ctx) })
	g.Go(func() error { return a.probeLoop(ctx) })
	g.Go(func() error { return a.evidenceLoop(ctx) })
	g.Go(func() error { return a.spreadLoop(ctx) })
	g.Go(func() error { return a.isolationLoop(ctx) })
	klog.Infof("agent: %s/%d running", a.opts.Self.ID, a.opts.Self.Incarnation)
	return g.Wait()
}

// Authority returns the right to send writes of the group to its primary and
// to acknowledge them, if the lease covers the group now.
func (a *Agent) Authority(g topo.GroupID) (Authority, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.known.Groups[g]
	if !ok || !a.covers(r) {
		return Authority{}, false
	}
	d, _ := r.Database(r.Primary)
	return Authority{Term: r.Term, Primary: r.Primary, PrimaryAddr: a.addrOf(r, r.Primary), PrimarySlots: d.Slots}, true
}

// covers needs the lock.
func (a *Agent) covers(r *ctlstate.GroupRecord) bool {
	return r.Attempt == nil && a.holder.Covers(r.ID, r.Term, a.now())
}

// addrOf prefers the address that the database announced. It needs the lock.
func (a *Agent) addrOf(r *ctlstate.GroupRecord, id topo.UpstreamID) string {
	if k, ok := a.registry.Get(r.ID, id); ok {
		return k.Addr
	}
	d, _ := r.Database(id)
	return d.Addr
}

// Holds reports whether the lease covers the group's term now. It is asked
// right before an acknowledgement goes out; Hold is stricter.
func (a *Agent) Holds(g topo.GroupID, t topo.Term) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holds(g, t)
}

// holds needs the lock.
func (a *Agent) holds(g topo.GroupID, t topo.Term) bool {
	r, ok := a.known.Groups[g]
	return ok && r.Term == t && a.covers(r)
}

// Hold is Holds for an acknowledgement that is sent between Hold and release:
// the lease is not given back meanwhile. The caller must not wait in between.
func (a *Agent) Hold(g topo.GroupID, t topo.Term) (release func(), ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.holds(g, t) {
		return func() {}, false
	}
	a.guards.enter(g)
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.guards.leave(g)
	}, true
}

// Group returns what is known of a group, also without a lease.
func (a *Agent) Group(g topo.GroupID) (topo.Group, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.known.Groups[g]
	if !ok {
		return topo.Group{}, false
	}
	return r.Group, true
}

// Upstreams returns the databases of a group that may get new work. Databases
// that the control log has not accepted yet, or that are being removed, are
// left out: they don't count for the durability of a write.
func (a *Agent) Upstreams(g topo.GroupID) []Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.known.Groups[g]
	if !ok {
		return nil
	}
	var list []Upstream
	for _, k := range a.registry.Usable(g, a.now()) {
		if db, accepted := r.Database(k.ID); accepted && !db.Retiring {
			list = append(list, Upstream{k.Announcement, k.HeardAt})
		}
	}
	return append(list, a.unheard(r)...)
}

// unheard returns the databases that the log knows and this process has not
// heard of yet: after a restart of all instances the announcements come in
// one by one. It needs the lock.
func (a *Agent) unheard(r *ctlstate.GroupRecord) []Upstream {
	if !a.opts.UseUnheard || a.now().Sub(a.startedAt) > a.timing.Announced {
		return nil
	}
	var list []Upstream
	for _, d := range r.Databases {
		if _, heard := a.registry.Get(r.ID, d.ID); !heard && !d.Retiring {
			list = append(list, Upstream{Announcement: d.Announcement(r.ID)})
		}
	}
	return list
}

// Config returns the latest configuration that was applied. It never goes
// back. The caller must not change it.
func (a *Agent) Config() *contract.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.contracts.Config()
}

// View returns the active epoch of the live view, if the lease holds and no
// other epoch is about to replace it.
func (a *Agent) View() (membership.View, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.known.Epochs
	if !a.holder.Valid(a.now()) || !membership.UsableEpoch(e, a.key()) {
		return membership.View{}, false
	}
	return membership.View{Epoch: e.Active.Number, Members: a.known.Lookup(e.Active.Members)}, true
}

// Leader returns the peer address of the control voter that the agent takes for
// the leader, empty when it knows none.
func (a *Agent) Leader() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader
}

// LeaseUntil returns when the lease ends unless it is renewed.
func (a *Agent) LeaseUntil() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Until()
}

// Voters returns the peer addresses of the control voters, as far as known.
func (a *Agent) Voters() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.voters)
}

// Share returns this instance's part of what instances share, from 0 to 1.
func (a *Agent) Share() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.share > 0 {
		return a.share
	}
	return 1 / float64(max(len(a.known.Live()), 1))
}

// Members returns the entry instances that are known to be live.
func (a *Agent) Members() []ctlstate.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known.Live()
}

// Changed returns a channel that is closed at the next change of anything
// that the agent knows.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// notify needs the lock.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// HasLease reports whether the lease holds now.
func (a *Agent) HasLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Valid(a.now())
}

// Registered reports whether the instance is registered with the control log:
// it has had a lease, and has not given it up.
func (a *Agent) Registered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.renewedAt.IsZero() && a.state != stateLeft
}

// LeaseRemaining returns the time until the lease ends, zero without one.
func (a *Agent) LeaseRemaining() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.holder.Until().Sub(a.now()), 0)
}

// self identifies this run.
func (a *Agent) self() ctlstate.Member {
	m := a.opts.Self
	m.Incarnation = a.incarnation.Load()
	return m
}

func (a *Agent) key() ctlstate.MemberKey { return a.self().Key() }
