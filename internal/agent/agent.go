// Package agent implements the entry instance's side of the control plane. The
// agent renews the lease, tracks the state of the database groups, the
// configuration, the view of live members and the announcements of upstreams, and
// probes primaries.
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

// Timing holds the intervals and timeouts of leases, detection and failover.
type Timing = ctlwire.Timing

// Options configures an Agent.
type Options struct {
	// Self identifies this incarnation of the entry instance.
	Self ctlstate.Member
	// Voters are the configured peer addresses of control voters; see Agent.SetSeeds.
	Voters []string
	Client *peer.Client
	Server *peer.Server
	Timing Timing
	// Databases probes primaries. Run closes it.
	Databases dbapi.Prober
	// AnnounceKey authenticates announcements. If it is empty, the agent accepts
	// unsigned ones.
	AnnounceKey []byte
	// Config applies updates of the configuration; nil stores the contracts in
	// the agent, where Agent.Config returns them.
	Config ConfigSink
	// Sessions returns the number of callers that the instance serves; nil
	// reports none to the leader.
	Sessions func() int
	// UseUnannounced makes Upstreams also return databases that are in the control
	// log but have not yet announced themselves to this process.
	UseUnannounced bool
	// Now is the clock for leases and ages; nil means clock.Now.
	Now func() time.Time
	// DisableEarlyRelease makes the agent refuse requests to release a lease before
	// it expires. Benchmarks use it to measure the benefit of an early release.
	DisableEarlyRelease bool
}

// ConfigSink applies updates of the configuration. The agent calls it with its lock
// held, so it must not block.
type ConfigSink interface {
	// Revision returns the current revision.
	Revision() uint64
	// Apply makes a later revision the current one. If it fails, nothing changes.
	Apply(update []byte) error
}

// Authority is the right to send writes to a group's primary, held while the lease
// covers the group's term.
type Authority struct {
	Term        topo.Term
	Primary     topo.UpstreamID
	PrimaryAddr string
	// PrimarySlots is the primary's number of slots according to the control log,
	// zero if unknown.
	PrimarySlots int
}

// Upstream is a database that may receive new work.
type Upstream struct {
	topo.Announcement
	// ReceivedAt is when the announcement was first received.
	ReceivedAt time.Time
}

// Agent is the entry instance's side of the control plane. It is safe for
// concurrent use.
type Agent struct {
	opts   Options
	timing Timing
	now    func() time.Time
	// startedAt is when New created this agent.
	startedAt time.Time
	db        dbapi.Prober

	mu          sync.Mutex
	chart       *statechart.Chart
	leaseState  string
	holder      *lease.Holder
	pendingAcks ackCounter
	// renewedAt is when the last successful renewal was answered; isolatedSince
	// is zero unless this instance is isolated.
	renewedAt, isolatedSince time.Time
	// configConfirmedAt is when the latest renewal was sent whose answer showed that
	// config has the latest revision; zero before the first.
	configConfirmedAt time.Time
	// overtaken is set while another instance has renewed its lease since this one.
	overtaken bool
	// failedRenewals counts the failed attempts to register or to renew since renewedAt,
	// renewalError is the latest error.
	failedRenewals int
	renewalError   error
	controlState   *ctlstate.Replica
	registry       *membership.Registry
	tracker        *upstreamTracker
	// voters are the control voters by the last renewal, at first the seeds. seeds and
	// contacts are asked too while the leader is unknown; see SetSeeds and learnContacts.
	voters, seeds, contacts []string
	config                  ConfigSink
	// contracts is the default for config.
	contracts *contracts
	changed   chan struct{}
	// leader is the peer address of the leader, empty if unknown; leaderHint is
	// the address to which a voter last redirected.
	leader, leaderHint string
	// share is the instance's fraction of the resources that all instances share,
	// zero if unknown.
	share float64
	// incarnation is that of Self, raised if a previous run had a higher one. It
	// is fixed once wasRegistered is set.
	incarnation   atomic.Uint64
	wasRegistered bool
	// wake ends the delay before the next renewal; leaderFound also ends a renewal
	// that is in progress.
	wake, leaderFound chan struct{}
	// relayAddr is the voter that has relayed requests to an unreachable leader
	// since relaySince; empty while the leader answers directly.
	relayAddr  string
	relaySince time.Time

	evidence    *spread.Outbox[reportKey, bool]
	sentReports map[reportKey]sentReport
	// lastServed is when a primary last answered on a data connection.
	lastServed map[topo.GroupID]time.Time
	// probeRequested are the groups whose primary was slow to answer a request.
	probeRequested map[topo.GroupID]bool
	outgoing       *spread.Announcements
}

// New returns an agent and registers its handlers with the server.
func New(opts Options) (*Agent, error) {
	if opts.Self.ID == "" || opts.Self.PeerAddr == "" || opts.Self.Incarnation == 0 {
		return nil, errors.New("agent: self: id, incarnation and peer address are required")
	}
	if opts.Client == nil || opts.Server == nil || opts.Databases == nil {
		return nil, errors.New("agent: client, server and databases are required")
	}
	if opts.Now == nil {
		opts.Now = clock.Now
	}
	timing := opts.Timing.WithDefaults()
	a := &Agent{
		opts:           opts,
		timing:         timing,
		now:            opts.Now,
		startedAt:      opts.Now(),
		db:             opts.Databases,
		chart:          loadLeaseChart(charts.Read("lease.toml")),
		holder:         lease.NewHolder(timing.LeaseTiming()),
		pendingAcks:    newAckCounter(),
		controlState:   ctlstate.NewReplica(),
		registry:       membership.NewRegistry(timing.AnnouncementTTL),
		tracker:        newUpstreamTracker(),
		voters:         opts.Voters,
		seeds:          opts.Voters,
		contracts:      &contracts{revision.NewApplier()},
		changed:        make(chan struct{}),
		wake:           make(chan struct{}, 1),
		leaderFound:    make(chan struct{}, 1),
		sentReports:    map[reportKey]sentReport{},
		lastServed:     map[topo.GroupID]time.Time{},
		probeRequested: map[topo.GroupID]bool{},
		evidence:       spread.NewOutbox[reportKey](spread.Latest[bool]),
		outgoing:       spread.NewAnnouncements(opts.Now, 0),
	}
	a.leaseState = a.chart.Initial
	a.incarnation.Store(opts.Self.Incarnation)
	a.config = opts.Config
	if a.config == nil {
		a.config = a.contracts
	}
	a.handle(opts.Server)
	return a, nil
}

// Run renews the lease, probes primaries and forwards announcements until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	defer a.db.Close()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.renewLoop(ctx) })
	g.Go(func() error { return a.expiryLoop(ctx) })
	g.Go(func() error { return a.probeLoop(ctx) })
	g.Go(func() error { return a.evidenceLoop(ctx) })
	g.Go(func() error { return a.forwardLoop(ctx) })
	g.Go(func() error { return a.isolationLoop(ctx) })
	klog.Infof("agent: %s: running with incarnation %d", a.opts.Self.ID, a.opts.Self.Incarnation)
	return g.Wait()
}

// Authority returns the right to send writes of the group to its primary and
// to acknowledge them, if the lease covers the group now and the primary accepts
// new work.
func (a *Agent) Authority(g topo.GroupID) (Authority, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.controlState.Groups[g]
	if !ok || !a.covers(r) || !a.acceptsWork(g, r.Primary) {
		return Authority{}, false
	}
	d, _ := r.Database(r.Primary)
	return Authority{Term: r.Term, Primary: r.Primary, PrimaryAddr: a.addrOf(r, r.Primary), PrimarySlots: d.Slots}, true
}

// AcceptsWork reports whether a database may receive new work: false once it has
// been leaving for too long. Callers check it right before they send a statement
// outside of a transaction or the first one of a transaction.
func (a *Agent) AcceptsWork(g topo.GroupID, id topo.UpstreamID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acceptsWork(g, id)
}

// acceptsWork is AcceptsWork for callers that hold a.mu.
func (a *Agent) acceptsWork(g topo.GroupID, id topo.UpstreamID) bool {
	k, announced := a.registry.Get(g, id)
	return !announced || a.timing.AcceptsWork(k.LeavingFor(a.now()))
}

// covers reports whether the lease covers the group's term and no failover is in
// progress. The caller holds a.mu.
func (a *Agent) covers(r *ctlstate.GroupRecord) bool {
	return r.Attempt == nil && a.holder.Covers(r.ID, r.Term, a.now())
}

// addrOf returns the address that the database announced, or else the one in the
// control log. The caller holds a.mu.
func (a *Agent) addrOf(r *ctlstate.GroupRecord, id topo.UpstreamID) string {
	if k, ok := a.registry.Get(r.ID, id); ok {
		return k.Addr
	}
	d, _ := r.Database(id)
	return d.Addr
}

// Holds reports whether the lease covers the group's term now. Callers check it
// right before they send an acknowledgement; Hold is stricter.
func (a *Agent) Holds(g topo.GroupID, t topo.Term) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holds(g, t)
}

// holds is Holds for callers that hold a.mu.
func (a *Agent) holds(g topo.GroupID, t topo.Term) bool {
	r, ok := a.controlState.Groups[g]
	return ok && r.Term == t && a.covers(r)
}

// Hold is Holds for an acknowledgement that is sent between Hold and release: the
// lease is not released in between. The caller must not block before release.
func (a *Agent) Hold(g topo.GroupID, t topo.Term) (release func(), ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.holds(g, t) {
		return func() {}, false
	}
	a.pendingAcks.begin(g)
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.pendingAcks.end(g)
	}, true
}

// Group returns the last known state of a group, even without a lease.
func (a *Agent) Group(g topo.GroupID) (topo.Group, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.controlState.Groups[g]
	if !ok {
		return topo.Group{}, false
	}
	return r.Group, true
}

// Upstreams returns the databases of a group that may receive new work. It omits
// databases that the control log has not yet accepted or that are being removed,
// since they do not count towards the durability of a write.
func (a *Agent) Upstreams(g topo.GroupID) []Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.controlState.Groups[g]
	if !ok {
		return nil
	}
	var list []Upstream
	for _, k := range a.registry.Usable(g, a.now()) {
		if db, accepted := r.Database(k.ID); accepted && !db.Retiring {
			list = append(list, Upstream{k.Announcement, k.ReceivedAt})
		}
	}
	return append(list, a.unannounced(r)...)
}

// unannounced returns the databases in the control log that have not yet announced
// themselves to this process: after a restart of all instances the announcements
// arrive one by one. The caller holds a.mu.
func (a *Agent) unannounced(r *ctlstate.GroupRecord) []Upstream {
	if !a.opts.UseUnannounced || a.now().Sub(a.startedAt) > a.timing.AnnouncementTTL {
		return nil
	}
	var list []Upstream
	for _, d := range r.Databases {
		if _, announced := a.registry.Get(r.ID, d.ID); !announced && !d.Retiring {
			list = append(list, Upstream{Announcement: d.Announcement(r.ID)})
		}
	}
	return list
}

// Config returns the latest configuration that was applied. Its revision never
// decreases. The caller must not modify it.
func (a *Agent) Config() *contract.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.contracts.Config()
}

// View returns the live members of the active epoch, if the lease is valid and no
// other epoch is about to replace it.
func (a *Agent) View() (membership.View, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.controlState.Epochs
	if !a.holder.Valid(a.now()) || !membership.UsableEpoch(e, a.key()) {
		return membership.View{}, false
	}
	return membership.View{Epoch: e.Active.Number, Members: a.controlState.Lookup(e.Active.Members)}, true
}

// Leader returns the peer address of the presumed leader, empty if unknown.
func (a *Agent) Leader() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader
}

// LeaseUntil returns when the lease expires unless it is renewed.
func (a *Agent) LeaseUntil() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Until()
}

// Voters returns the known peer addresses of the control voters.
func (a *Agent) Voters() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.voters)
}

// Share returns this instance's fraction, from 0 to 1, of the resources that all
// instances share.
func (a *Agent) Share() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.share > 0 {
		return a.share
	}
	return 1 / float64(max(len(a.controlState.Live()), 1))
}

// Members returns the entry instances that are known to be live. It returns the same
// slice until the view changes; the caller must not modify it.
func (a *Agent) Members() []ctlstate.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controlState.Live()
}

// Changed returns a channel that is closed at the next change of the agent's state.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// notify wakes waiters on Changed. The caller holds a.mu.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// HasLease reports whether the lease is valid now.
func (a *Agent) HasLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Valid(a.now())
}

// Registered reports whether the instance has been granted a lease and has not left
// since.
func (a *Agent) Registered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.renewedAt.IsZero() && a.leaseState != stateLeft
}

// LeaseRemaining returns the time until the lease expires, zero without a lease.
func (a *Agent) LeaseRemaining() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.holder.Until().Sub(a.now()), 0)
}

// self returns Self with the current incarnation.
func (a *Agent) self() ctlstate.Member {
	m := a.opts.Self
	m.Incarnation = a.incarnation.Load()
	return m
}

func (a *Agent) key() ctlstate.MemberKey { return a.self().Key() }
