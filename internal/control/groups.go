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

// tickGroups starts failovers of suspected primaries, and resumes those that
// an earlier leader has begun.
func (r *reign) tickGroups(ctx context.Context, g *errgroup.Group) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	live := r.liveKeys(now)
	for _, id := range r.c.opts.State.Groups() {
		record, _ := r.c.opts.State.Group(id)
		if r.drivers[id] != nil {
			continue
		}
		if record.Attempt != nil {
			r.start(ctx, g, id, failover.Resume{Inherited: r.inherited[id]})
			continue
		}
		r.detector.Watch(id, record.Term, now)
		if r.primaryGone(record) || r.detector.Suspected(id, live, now) {
			e := r.detector.Evidence(id, live, now)
			klog.InfoS("control: primary suspected", "group", id, "upstream", record.Primary, "term", record.Term,
				"silence_ms", e.Silence.Milliseconds(), "witnesses", e.Witnesses, "members", len(live), "gone", r.primaryGone(record))
			r.start(ctx, g, id, failover.Suspect{})
			continue
		}
		if to, ok := r.successor(record, now); ok {
			r.moving[id] = true
			g.Go(func() error {
				r.replaceLeaving(ctx, id, to)
				return nil
			})
		}
	}
}

// primaryGone reports whether the primary has said that it ended. It needs the
// lock.
func (r *reign) primaryGone(record ctlstate.GroupRecord) bool {
	k, heard := r.registry.Get(record.ID, record.Primary)
	return heard && k.Gone
}

// successor names the database that is to replace a leaving primary: the one
// furthest ahead of those that may get new work. It needs the lock.
func (r *reign) successor(record ctlstate.GroupRecord, now time.Time) (topo.UpstreamID, bool) {
	primary, heard := r.registry.Get(record.ID, record.Primary)
	if !heard || !primary.Leaving || r.registry.Expired(primary, now) || r.moving[record.ID] {
		return "", false
	}
	var candidates []membership.Known
	for _, k := range r.registry.Usable(record.ID, now) {
		if _, accepted := record.Database(k.ID); accepted && k.ID != record.Primary {
			candidates = append(candidates, k)
		}
	}
	return membership.Successor(candidates, r.declined[record.ID], now.Add(-r.c.timing.Fresh))
}

func (r *reign) replaceLeaving(ctx context.Context, id topo.GroupID, to topo.UpstreamID) {
	klog.InfoS("control: primary is leaving", "group", id, "successor", to)
	err := r.c.Switchover(ctx, id, to)
	if err != nil {
		klog.Warningf("control: primary of %s is leaving: %v", id, err)
		clock.Sleep(ctx, followRetry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.moving, id)
	if err == nil {
		delete(r.declined, id)
		return
	}
	r.declined[id] = append(r.declined[id], to)
	if len(r.declined[id]) >= maxSwitchovers && r.drivers[id] == nil && r.group != nil {
		klog.Warningf("control: primary of %s is leaving and no switchover succeeds; failing over", id)
		delete(r.declined, id)
		r.start(r.ctx, r.group, id, failover.Suspect{})
	}
}

// maxSwitchovers is how many planned switchovers from a leaving primary are
// tried before it is replaced like a lost one.
const maxSwitchovers = 3

// start runs a driver for the group's failover. It needs the lock.
func (r *reign) start(ctx context.Context, g *errgroup.Group, id topo.GroupID, first failover.Event) *driver {
	if _, resumed := first.(failover.Resume); !resumed {
		delete(r.inherited, id)
	}
	d := newDriver(r, id)
	r.drivers[id] = d
	g.Go(func() error {
		d.run(ctx, first)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.drivers, id)
		return nil
	})
	return d
}

// completed forgets what belonged to a failover that has ended.
func (r *reign) completed(record ctlstate.GroupRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.granter.ForgetGroup(record.ID, record.Term-1)
	delete(r.inherited, record.ID)
}
