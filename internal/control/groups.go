package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/failover"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// reconcileGroups starts failovers of suspected primaries, resumes those that an
// earlier leader began, and replaces primaries that are leaving.
func (l *leadership) reconcileGroups(ctx context.Context, g *errgroup.Group) {
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	live := l.liveKeys(now)
	for _, id := range l.c.opts.State.Groups() {
		record, _ := l.c.opts.State.Group(id)
		if l.drivers[id] != nil {
			continue
		}
		if record.Attempt != nil {
			l.start(ctx, g, id, failover.Resume{Inherited: l.inherited[id]})
			continue
		}
		l.detector.Watch(id, record.Term, now)
		if l.primaryGone(record) || l.detector.Suspected(id, live, now) {
			e := l.detector.Evidence(id, live, now)
			klog.InfoS("control: primary suspected", "group", id, "upstream", record.Primary, "term", record.Term,
				"silence_ms", e.Silence.Milliseconds(), "witnesses", e.Witnesses, "members", len(live), "gone", l.primaryGone(record))
			l.start(ctx, g, id, failover.Suspect{})
			continue
		}
		if to, ok := l.successor(record, now); ok {
			l.switchingOver[id] = true
			g.Go(func() error {
				l.replaceLeavingPrimary(ctx, record, to)
				return nil
			})
		}
	}
}

// primaryGone reports whether the primary has announced that it shut down. The
// caller holds l.mu.
func (l *leadership) primaryGone(record ctlstate.GroupRecord) bool {
	k, announced := l.registry.Get(record.ID, record.Primary)
	return announced && k.Gone
}

// successor returns the database that should replace a leaving primary: the most
// advanced one among those that may receive new work. The caller holds l.mu.
func (l *leadership) successor(record ctlstate.GroupRecord, now time.Time) (topo.UpstreamID, bool) {
	primary, announced := l.registry.Get(record.ID, record.Primary)
	if !announced || !primary.Leaving || l.switchingOver[record.ID] {
		return "", false
	}
	to, ok := l.selectSuccessor(record, now)
	if !ok && !l.withoutSuccessor[record.ID] {
		klog.InfoS("control: leaving primary has no successor", "group", record.ID, "upstream", record.Primary,
			"leaving_ms", primary.LeavingFor(now).Milliseconds(), "databases", len(record.Databases))
	}
	l.withoutSuccessor[record.ID] = !ok
	return to, ok
}

// selectSuccessor returns the database to which a switchover is most likely to
// succeed. The caller holds l.mu.
func (l *leadership) selectSuccessor(record ctlstate.GroupRecord, now time.Time) (topo.UpstreamID, bool) {
	var candidates []membership.KnownUpstream
	for _, k := range l.registry.Usable(record.ID, now) {
		if _, accepted := record.Database(k.ID); accepted && k.ID != record.Primary {
			candidates = append(candidates, k)
		}
	}
	return membership.Successor(candidates, l.failedTargets[record.ID], now.Add(-l.c.timing.CandidateMaxAge))
}

// PrimaryLeaving returns the longest time for which a primary in use has been
// leaving, zero if none is or this voter is not the leader.
func (c *Controller) PrimaryLeaving() time.Duration {
	l := c.leadership()
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := time.Duration(0)
	for _, id := range c.opts.State.Groups() {
		record, _ := c.opts.State.Group(id)
		if k, ok := l.registry.Get(id, record.Primary); ok {
			longest = max(longest, k.LeavingFor(clock.Now()))
		}
	}
	return longest
}

// replaceLeavingPrimary makes another database the primary. As long as the leaving
// primary need not be replaced at once, it first waits until the successor has
// everything that the primary has.
func (l *leadership) replaceLeavingPrimary(ctx context.Context, record ctlstate.GroupRecord, to topo.UpstreamID) {
	l.mu.Lock()
	primary, _ := l.registry.Get(record.ID, record.Primary)
	now := clock.Now()
	atOnce := l.mustLeaveLocked(primary, now)
	l.mu.Unlock()
	klog.InfoS("control: primary is leaving", "group", record.ID, "upstream", record.Primary, "successor", to,
		"leaving_ms", primary.LeavingFor(now).Milliseconds(), "at_once", atOnce)
	err := l.handOver(ctx, record, to, atOnce, l.c.timing.HandoverTime()-primary.LeavingFor(now))
	if err != nil {
		klog.InfoS("control: switchover from a leaving primary failed", "group", record.ID, "upstream", record.Primary,
			"successor", to, "at_once", atOnce, "reason", err.Error())
		clock.Sleep(ctx, databaseRetryDelay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.switchingOver, record.ID)
	if current, _ := l.c.opts.State.Group(record.ID); err == nil || current.Primary != record.Primary {
		delete(l.failedTargets, record.ID)
		return
	}
	l.failedTargets[record.ID] = append(l.failedTargets[record.ID], to)
}

// handOver makes a database the primary. Unless atOnce is set, it first waits, for
// at most limit if the group's databases have a drain limit, until the database
// has everything that the primary has.
func (l *leadership) handOver(ctx context.Context, record ctlstate.GroupRecord, to topo.UpstreamID, atOnce bool, limit time.Duration) error {
	if atOnce {
		return l.switchover(ctx, record.ID, to)
	}
	if l.c.timing.DrainLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	target, _ := record.Database(to)
	if err := l.c.catchUp(ctx, record, target); err != nil {
		return err
	}
	return l.switchover(l.ctx, record.ID, to)
}

// mustLeave reports whether a database is about to shut down and can't wait for a
// successor that has everything it has.
func (l *leadership) mustLeave(g topo.GroupID, id topo.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, announced := l.registry.Get(g, id)
	return announced && l.mustLeaveLocked(k, clock.Now())
}

// mustLeaveLocked is mustLeave for callers that hold l.mu.
func (l *leadership) mustLeaveLocked(k membership.KnownUpstream, now time.Time) bool {
	if !k.Leaving {
		return false
	}
	overdue := l.c.timing.DrainLimit > 0 && k.LeavingFor(now) >= l.c.timing.HandoverTime()
	return k.Gone || overdue || len(l.failedTargets[k.Group]) >= maxSwitchovers
}

// maxSwitchovers is the number of planned switchovers from a leaving primary that
// may fail before the leader replaces it without waiting for its successor.
const maxSwitchovers = 3

// start runs a driver for the group's failover. The caller holds l.mu.
func (l *leadership) start(ctx context.Context, g *errgroup.Group, id topo.GroupID, first failover.Event) *driver {
	if _, resumed := first.(failover.Resume); !resumed {
		delete(l.inherited, id)
	}
	d := newDriver(l, id)
	l.drivers[id] = d
	g.Go(func() error {
		d.run(ctx, first)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.drivers, id)
		return nil
	})
	return d
}

// cleanUpFailover drops the state of a completed failover.
func (l *leadership) cleanUpFailover(record ctlstate.GroupRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter.ForgetGroup(record.ID, record.Term-1)
	delete(l.inherited, record.ID)
}
