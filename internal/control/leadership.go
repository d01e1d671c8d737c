package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/failover"
	"github.com/cicadacove/cicadacove/internal/core/lease"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/spread"
	"github.com/cicadacove/cicadacove/internal/voter"
)

const (
	// confirmTimeout bounds one quorum round.
	confirmTimeout = time.Second
	// databaseIntervalTicks is the number of ticks between reconciliations of the
	// announced databases.
	databaseIntervalTicks = 4
	// minTickInterval is the minimum time between two reconciliations of the groups.
	// Many instances may report the same failure at once.
	minTickInterval = 10 * time.Millisecond
	// forgetAfter is how long the registry keeps an upstream that is silent.
	forgetAfter = time.Hour
)

// leadership is the leader's state besides the replicated state. It is discarded
// when the voter stops leading.
type leadership struct {
	c       *Controller
	status  voter.Status
	confirm *confirmer

	mu        sync.Mutex
	granter   *lease.Granter
	confirmed map[ctlstate.MemberKey]uint64
	// registrations are the registrations that are being committed.
	registrations map[ctlstate.Member]*registration
	// removingMembers are the members whose removal is decided.
	removingMembers map[ctlstate.MemberKey]bool
	// sessions is the number of callers that each member serves.
	sessions map[ctlstate.MemberKey]int
	// live is the latest result of liveSessions, of the time liveAt.
	live           map[ctlstate.MemberKey]int
	liveAt         time.Time
	detector       *failover.Detector
	registry       *membership.Registry
	drivers        map[topo.GroupID]*driver
	followCommands map[databaseKey]followCommand
	// removingDatabases are the databases that are being removed.
	removingDatabases map[databaseKey]bool
	// inherited are the groups with a failover begun by an earlier leader.
	inherited map[topo.GroupID]bool
	// switchingOver are the groups whose leaving primary is being replaced.
	switchingOver map[topo.GroupID]bool
	// failedTargets are the databases to which a switchover from the leaving
	// primary failed.
	failedTargets map[topo.GroupID][]topo.UpstreamID
	// withoutSuccessor are the groups whose leaving primary nothing can replace.
	withoutSuccessor map[topo.GroupID]bool
	// preparedAt is when the leader last prepared an epoch. Only reconcileMembers
	// uses it.
	preparedAt time.Time
	// drainChanged is closed when a member releases a lease.
	drainChanged chan struct{}
	// tickNow requests an immediate tick.
	tickNow chan struct{}
	// tasks runs the drivers; it is nil before run starts and after it ends.
	tasks *errgroup.Group
	// ctx ends when the voter stops leading.
	ctx context.Context
}

func newLeadership(c *Controller, status voter.Status) *leadership {
	l := &leadership{
		c:                 c,
		status:            status,
		confirm:           &confirmer{log: c.opts.Log},
		granter:           lease.NewGranter(c.timing.LeaseTiming(), status.LeaderSince),
		confirmed:         map[ctlstate.MemberKey]uint64{},
		registrations:     map[ctlstate.Member]*registration{},
		removingMembers:   map[ctlstate.MemberKey]bool{},
		sessions:          map[ctlstate.MemberKey]int{},
		detector:          failover.NewDetector(detectorTiming(c.timing)),
		inherited:         inheritedAttempts(c.opts.State),
		registry:          membership.NewRegistry(c.timing.AnnouncementTTL),
		drivers:           map[topo.GroupID]*driver{},
		followCommands:    map[databaseKey]followCommand{},
		removingDatabases: map[databaseKey]bool{},
		switchingOver:     map[topo.GroupID]bool{},
		failedTargets:     map[topo.GroupID][]topo.UpstreamID{},
		withoutSuccessor:  map[topo.GroupID]bool{},
		drainChanged:      make(chan struct{}),
		tickNow:           make(chan struct{}, 1),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.registry.All() {
		l.registry.Import(k)
	}
	return l
}

func detectorTiming(t Timing) failover.DetectorTiming {
	return failover.DetectorTiming{
		Silence:     t.Silence,
		EvidenceTTL: t.Silence + t.ProbeTimeout,
		Minority:    t.Minority,
	}
}

func inheritedAttempts(m *ctlstate.Machine) map[topo.GroupID]bool {
	inherited := map[topo.GroupID]bool{}
	for _, id := range m.Groups() {
		g, _ := m.Group(id)
		inherited[id] = g.Attempt != nil
	}
	return inherited
}

// run reconciles the groups on every tick until ctx ends.
func (l *leadership) run(ctx context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	l.ctx = ctx
	l.setTasks(g)
	l.publishToAll(ctx, ctlstate.Delta{}) // gives instances without a lease the leader's address
	g.Go(func() error { return loop(ctx, l.c.timing.Tick, l.reconcileMembers) })
	g.Go(func() error { return loop(ctx, databaseIntervalTicks*l.c.timing.Tick, l.reconcileDatabases) })
	ticker := time.NewTicker(l.c.timing.Tick)
	defer ticker.Stop()
	var lastTick time.Time
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-l.tickNow:
			if clock.Now().Sub(lastTick) < minTickInterval {
				continue // the next regular tick is near
			}
		case <-ctx.Done():
			continue
		}
		lastTick = clock.Now()
		l.reconcileGroups(ctx, g)
	}
	l.setTasks(nil)
	_ = g.Wait()
}

func (l *leadership) setTasks(g *errgroup.Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tasks = g
}

// loop calls tick at the interval. The ticks of one loop run sequentially; a slow
// commit delays only its own loop.
func loop(ctx context.Context, interval time.Duration, tick func(context.Context)) error {
	for clock.Sleep(ctx, interval) {
		tick(ctx)
	}
	return nil
}

func (l *leadership) requestTick() {
	select {
	case l.tickNow <- struct{}{}:
	default:
	}
}

// grant answers, after the quorum round, a renewal that arrived at arrival.
func (l *leadership) grant(req ctlwire.Renew, arrival time.Time) ctlwire.Renewed {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, known := l.c.opts.State.Member(req.Key)
	if !known {
		return ctlwire.Renewed{Answer: ctlwire.Answer{Status: ctlwire.UnknownMember}}
	}
	if l.removingMembers[req.Key] {
		return ctlwire.Renewed{Answer: ctlwire.Answer{Status: ctlwire.Failed, Reason: "the member is being removed"}}
	}
	if m.Superseded {
		return ctlwire.Renewed{Answer: ctlwire.Answer{Status: ctlwire.Superseded}}
	}
	l.granter.Grant(req.Key, arrival)
	l.sessions[req.Key] = req.Sessions
	l.confirmed[req.Key] = max(l.confirmed[req.Key], req.Confirmed)
	return ctlwire.Renewed{
		Answer: ok,
		Delta:  l.c.opts.State.Since(ctlstate.Held{Index: req.Index, Epochs: req.Epochs}),
		Config: l.c.opts.State.SectionDelta(req.Revision),
		Voters: l.c.allVoters(),
		Share:  membership.Share(req.Key, l.liveSessions(arrival)),
	}
}

// recordLeaseClosed records that a member ended its lease for good.
func (l *leadership) recordLeaseClosed(k ctlstate.MemberKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter.Closed(k)
	l.signalDrain()
}

// recordRelease records that a member released its lease on a group's terms up
// to t.
func (l *leadership) recordRelease(k ctlstate.MemberKey, g topo.GroupID, t topo.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter.RecordRelease(k, g, t)
	l.signalDrain()
}

// signalDrain wakes the goroutines that wait for leases to drain. The caller holds l.mu.
func (l *leadership) signalDrain() {
	close(l.drainChanged)
	l.drainChanged = make(chan struct{})
}

// drained reports whether no member can acknowledge a write under a term of the
// group up to t. If done is false, the caller checks again at wait or when changed
// is closed, whichever comes first.
func (l *leadership) drained(g topo.GroupID, t topo.Term, startedAt time.Time) (done bool, wait time.Time, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	done, wait = l.granter.Drained(l.memberKeys(), g, t, startedAt, clock.Now())
	return done, wait, l.drainChanged
}

func (l *leadership) memberKeys() []ctlstate.MemberKey {
	var keys []ctlstate.MemberKey
	for _, m := range l.c.opts.State.Members() {
		keys = append(keys, m.Key())
	}
	return keys
}

// liveKeys returns the members that hold a lease granted by this leader. The
// caller holds l.mu.
func (l *leadership) liveKeys(now time.Time) []ctlstate.MemberKey {
	var keys []ctlstate.MemberKey
	for _, m := range l.c.opts.State.Members() {
		if !m.Superseded && l.granter.Live(m.Key(), now) {
			keys = append(keys, m.Key())
		}
	}
	return keys
}

// liveSessionsMaxAge is how long the result of liveSessions is used. Each renewal
// needs it, and the members change rarely in comparison.
const liveSessionsMaxAge = 100 * time.Millisecond

// liveSessions returns the number of callers of each live member. The caller
// holds l.mu and must not modify the result.
func (l *leadership) liveSessions(now time.Time) map[ctlstate.MemberKey]int {
	if l.live != nil && now.Sub(l.liveAt) < liveSessionsMaxAge {
		return l.live
	}
	l.live, l.liveAt = map[ctlstate.MemberKey]int{}, now
	for _, k := range l.liveKeys(now) {
		l.live[k] = l.sessions[k]
	}
	return l.live
}

func (l *leadership) recordEvidence(req ctlwire.Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	if !l.granter.Live(req.Key, now) {
		return
	}
	for _, s := range req.Reports {
		if s.Reachable {
			l.detector.Reached(s.Group, s.Term, req.Key, now)
			continue
		}
		l.detector.Failed(s.Group, s.Term, req.Key, now)
	}
	if req.HasFailure() {
		l.requestTick()
	}
}

// recordAnnouncements records forwarded announcements.
func (l *leadership) recordAnnouncements(req ctlwire.Announcements) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for _, h := range req.List {
		k := spread.Known(h, now)
		if l.registry.Import(k).Accepted() {
			l.primaryAnnounced(k.Announcement, k.ReceivedAt)
		}
	}
	for _, f := range req.Refreshed {
		at := now.Add(-f.Age)
		if l.registry.Refresh(f.Group, f.ID, f.Incarnation, f.Seq, f.Point, at) {
			k, _ := l.registry.Get(f.Group, f.ID)
			l.primaryAnnounced(k.Announcement, at)
		}
	}
}

// primaryAnnounced treats a primary's announcement as a heartbeat. The caller
// holds l.mu.
func (l *leadership) primaryAnnounced(a topo.Announcement, at time.Time) {
	g, ok := l.c.opts.State.Group(a.Group)
	if ok && a.ID == g.Primary && a.Role == topo.RolePrimary && a.FencedTerm <= g.Term {
		l.detector.RecordAnnouncement(a.Group, g.Term, at)
	}
}

// commit proposes a command. A failure only delays the work until the next tick.
func (l *leadership) commit(ctx context.Context, cmd ctlstate.Command) {
	_, err := l.c.propose(ctx, cmd)
	var refused *RefusedError
	if err != nil && !errors.As(err, &refused) && ctx.Err() == nil {
		klog.V(1).Infof("control: leader failed to commit a command: %v", err)
	}
}

// publish sends all members the state of a group, or the latest changes of the
// members and epochs if g is empty, without waiting for their next renewal. A member
// that lacks more gets it with its next renewal.
func (l *leadership) publish(ctx context.Context, g topo.GroupID) {
	delta := ctlstate.Delta{}
	if record, ok := l.c.opts.State.Group(g); ok {
		delta.Groups = []ctlstate.GroupRecord{record}
	} else {
		delta = l.c.opts.State.LatestEpochs()
	}
	l.publishToAll(ctx, delta)
}

func (l *leadership) publishToAll(ctx context.Context, delta ctlstate.Delta) {
	for _, m := range l.c.opts.State.Members() {
		if !m.Superseded {
			go l.publishTo(ctx, m.Member, delta)
		}
	}
}

func (l *leadership) publishTo(ctx context.Context, m ctlstate.Member, delta ctlstate.Delta) {
	ctx, cancel := context.WithTimeout(ctx, l.c.timing.Call)
	defer cancel()
	p, err := peer.Call[ctlwire.Published](ctx, l.c.opts.Client, m.PeerAddr, ctlwire.KindPublish, ctlwire.Publish{Delta: delta, Leader: l.c.opts.Self})
	if err != nil {
		klog.V(2).Infof("control: failed to publish changes to %s: %v", m.ID, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Key == m.Key() {
		l.confirmed[p.Key] = max(l.confirmed[p.Key], p.Confirmed)
	}
}
