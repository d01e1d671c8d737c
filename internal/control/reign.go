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
	"github.com/cicadacove/cicadacove/internal/voter"
)

const (
	// confirmTimeout bounds one quorum round.
	confirmTimeout = time.Second
	// databaseTicks is how many ticks lie between two looks at what databases
	// have announced.
	databaseTicks = 4
	// forgetAfter is how long a silent upstream stays known.
	forgetAfter = time.Hour
)

// reign is what the leader knows besides the replicated state. It ends with
// the leadership.
type reign struct {
	c       *Controller
	status  voter.Status
	confirm *confirmer

	mu        sync.Mutex
	granter   *lease.Granter
	confirmed map[ctlstate.MemberKey]uint64
	// removing are the members whose removal is decided.
	removing map[ctlstate.MemberKey]bool
	// sessions is how many callers each member serves.
	sessions  map[ctlstate.MemberKey]int
	detector  *failover.Detector
	registry  *membership.Registry
	drivers   map[topo.GroupID]*driver
	followers map[followKey]followed
	// leaving are the databases that are being removed.
	leaving map[followKey]bool
	// inherited are the groups with a failover that an earlier leader began.
	inherited map[topo.GroupID]bool
	// moving are the groups whose leaving primary is being replaced.
	moving map[topo.GroupID]bool
	// declined are the databases to which such a replacement failed.
	declined map[topo.GroupID][]topo.UpstreamID
	// drainChanged is closed when a lease was given back.
	drainChanged chan struct{}
	// wake asks for a tick at once.
	wake chan struct{}
	// group runs the drivers; nil before and after the reign.
	group *errgroup.Group
	// ctx ends with the reign.
	ctx context.Context
}

func newReign(c *Controller, status voter.Status) *reign {
	r := &reign{
		c:            c,
		status:       status,
		confirm:      &confirmer{log: c.opts.Log},
		granter:      lease.NewGranter(c.timing.Terms(), status.LeaderSince),
		confirmed:    map[ctlstate.MemberKey]uint64{},
		removing:     map[ctlstate.MemberKey]bool{},
		sessions:     map[ctlstate.MemberKey]int{},
		detector:     failover.NewDetector(detectorTiming(c.timing)),
		inherited:    inheritedAttempts(c.opts.State),
		registry:     membership.NewRegistry(c.timing.Announced),
		drivers:      map[topo.GroupID]*driver{},
		followers:    map[followKey]followed{},
		leaving:      map[followKey]bool{},
		moving:       map[topo.GroupID]bool{},
		declined:     map[topo.GroupID][]topo.UpstreamID{},
		drainChanged: make(chan struct{}),
		wake:         make(chan struct{}, 1),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.registry.All() {
		r.registry.Hear(k.Announcement, k.HeardAt)
	}
	return r
}

func detectorTiming(t Timing) failover.DetectorTiming {
	return failover.DetectorTiming{
		Silence:  t.Silence,
		Fresh:    t.Silence + t.ProbeTimeout,
		Minority: t.Minority,
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

// run looks for work at each tick until ctx ends.
func (r *reign) run(ctx context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	r.ctx = ctx
	r.setGroup(g)
	r.publishToAll(ctx, ctlstate.Delta{}) // tells instances without a lease whom to ask
	g.Go(func() error { return loop(ctx, r.c.timing.Tick, r.tickMembers) })
	g.Go(func() error { return loop(ctx, databaseTicks*r.c.timing.Tick, r.tickDatabases) })
	ticker := time.NewTicker(r.c.timing.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-r.wake:
		case <-ctx.Done():
			continue
		}
		r.tickGroups(ctx, g)
	}
	r.setGroup(nil)
	_ = g.Wait()
}

func (r *reign) setGroup(g *errgroup.Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group = g
}

// loop calls tick at the interval. The ticks of one loop follow each other; a
// commit that takes long delays only its own loop.
func loop(ctx context.Context, interval time.Duration, tick func(context.Context)) error {
	for clock.Sleep(ctx, interval) {
		tick(ctx)
	}
	return nil
}

func (r *reign) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// grant answers a renewal that arrived at arrival, after the quorum round.
func (r *reign) grant(req ctlwire.Renew, arrival time.Time) ctlwire.Renewed {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, known := r.c.opts.State.Member(req.Key)
	if !known {
		return ctlwire.Renewed{Answer: ctlwire.Answer{Status: ctlwire.UnknownMember}}
	}
	if r.removing[req.Key] {
		return ctlwire.Renewed{Answer: ctlwire.Answer{Status: ctlwire.Failed, Reason: "the member is being removed"}}
	}
	if m.Superseded {
		return ctlwire.Renewed{Answer: ctlwire.Answer{Status: ctlwire.Superseded}}
	}
	r.granter.Grant(req.Key, arrival)
	r.sessions[req.Key] = req.Sessions
	r.confirmed[req.Key] = max(r.confirmed[req.Key], req.Confirmed)
	return ctlwire.Renewed{
		Answer: ok,
		Delta:  r.c.opts.State.Since(req.Index),
		Config: r.c.opts.State.SectionDelta(req.Revision),
		Voters: r.c.allVoters(),
		Share:  membership.Share(req.Key, r.liveSessions(arrival)),
	}
}

// close records that a member ended its lease for good.
func (r *reign) close(k ctlstate.MemberKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.granter.Closed(k)
	r.signalDrain()
}

// given records that a member gave its lease on a group's terms back.
func (r *reign) given(k ctlstate.MemberKey, g topo.GroupID, t topo.Term) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.granter.Given(k, g, t)
	r.signalDrain()
}

// signalDrain needs the lock.
func (r *reign) signalDrain() {
	close(r.drainChanged)
	r.drainChanged = make(chan struct{})
}

// drained reports whether no member can acknowledge a write under a term of
// the group up to t. When the answer is no, changed and wait tell when to ask
// again.
func (r *reign) drained(g topo.GroupID, t topo.Term, begun time.Time) (done bool, wait time.Time, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	done, wait = r.granter.Drained(r.memberKeys(), g, t, begun, clock.Now())
	return done, wait, r.drainChanged
}

func (r *reign) memberKeys() []ctlstate.MemberKey {
	var keys []ctlstate.MemberKey
	for _, m := range r.c.opts.State.Members() {
		keys = append(keys, m.Key())
	}
	return keys
}

// liveKeys returns the members that hold a lease of this reign. It needs the
// lock.
func (r *reign) liveKeys(now time.Time) []ctlstate.MemberKey {
	var keys []ctlstate.MemberKey
	for _, m := range r.c.opts.State.Members() {
		if !m.Superseded && r.granter.Live(m.Key(), now) {
			keys = append(keys, m.Key())
		}
	}
	return keys
}

// liveSessions has the callers of each live member. It needs the lock.
func (r *reign) liveSessions(now time.Time) map[ctlstate.MemberKey]int {
	live := map[ctlstate.MemberKey]int{}
	for _, k := range r.liveKeys(now) {
		live[k] = r.sessions[k]
	}
	return live
}

func (r *reign) takeEvidence(req ctlwire.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	if !r.granter.Live(req.Key, now) {
		return
	}
	for _, s := range req.Sightings {
		if s.Reachable {
			r.detector.Reached(s.Group, s.Term, req.Key, now)
			continue
		}
		r.detector.Failed(s.Group, s.Term, req.Key, now)
	}
	r.wakeUp()
}

// hear takes in announcements that agents pass on.
func (r *reign) hear(req ctlwire.Announcements) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	for _, h := range req.List {
		at := now.Add(-h.Age)
		if r.registry.Hear(h.Announcement, at).Accepted() {
			r.primaryAnnounced(h.Announcement, at)
		}
	}
	for _, f := range req.Refreshed {
		at := now.Add(-f.Age)
		if r.registry.Refresh(f.Group, f.ID, f.Incarnation, f.Seq, f.Point, at) {
			k, _ := r.registry.Get(f.Group, f.ID)
			r.primaryAnnounced(k.Announcement, at)
		}
	}
}

// primaryAnnounced takes an announcement of a primary as a sign of life. It
// needs the lock.
func (r *reign) primaryAnnounced(a topo.Announcement, at time.Time) {
	g, ok := r.c.opts.State.Group(a.Group)
	if ok && a.ID == g.Primary && a.Role == topo.RolePrimary && a.FencedTerm <= g.Term {
		r.detector.Announced(a.Group, g.Term, at)
	}
}

// commit proposes a command whose failure only delays the work to the next
// tick.
func (r *reign) commit(ctx context.Context, cmd ctlstate.Command) {
	_, err := r.c.propose(ctx, cmd)
	var refused *RefusedError
	if err != nil && !errors.As(err, &refused) && ctx.Err() == nil {
		klog.V(1).Infof("control: commit: %v", err)
	}
}

// publish tells all members at once of the state of a group, or of the
// members and epochs when g is empty.
func (r *reign) publish(ctx context.Context, g topo.GroupID) {
	delta := ctlstate.Delta{}
	if record, ok := r.c.opts.State.Group(g); ok {
		delta.Groups = []ctlstate.GroupRecord{record}
	} else {
		e := r.c.opts.State.Epochs()
		delta.Epochs = &e
		delta.Members = r.c.opts.State.Members()
	}
	r.publishToAll(ctx, delta)
}

func (r *reign) publishToAll(ctx context.Context, delta ctlstate.Delta) {
	for _, m := range r.c.opts.State.Members() {
		if !m.Superseded {
			go r.publishTo(ctx, m.Member, delta)
		}
	}
}

func (r *reign) publishTo(ctx context.Context, m ctlstate.Member, delta ctlstate.Delta) {
	ctx, cancel := context.WithTimeout(ctx, r.c.timing.Call)
	defer cancel()
	p, err := peer.Call[ctlwire.Published](ctx, r.c.opts.Client, m.PeerAddr, ctlwire.KindPublish, ctlwire.Publish{Delta: delta, Leader: r.c.opts.Self})
	if err != nil {
		klog.V(2).Infof("control: %s not told: %v", m.ID, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Key == m.Key() {
		r.confirmed[p.Key] = max(r.confirmed[p.Key], p.Confirmed)
	}
}
