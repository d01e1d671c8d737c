package control

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/spread"
)

// Announce takes in an announcement that an upstream sent to this voter, and
// passes it on to the other voters and to all members.
func (c *Controller) Announce(a topo.Announcement) membership.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	outcome := c.registry.Hear(a, now)
	if outcome.Accepted() {
		c.heard.Add(membership.Known{Announcement: a, HeardAt: now}, outcome == membership.Updated)
	}
	return outcome
}

// Gone takes in that an upstream has ended. It reports false for an upstream
// that has not announced itself here.
func (c *Controller) Gone(id topo.UpstreamID) bool {
	c.mu.Lock()
	var last membership.Known
	for _, k := range c.registry.All() {
		if k.ID == id && k.Incarnation >= last.Incarnation {
			last = k
		}
	}
	c.mu.Unlock()
	if last.ID == "" {
		return false
	}
	last.Leaving, last.Gone = true, true
	c.Announce(last.Announcement)
	return true
}

// passOn tells the other voters and all members, without waiting for answers.
func (c *Controller) passOn(ctx context.Context, batch ctlwire.Announcements) {
	if r := c.reigning(); r != nil {
		r.hear(batch)
	}
	for _, addr := range c.voters() {
		go c.notify(ctx, addr, ctlwire.KindHeard, batch)
	}
	for _, m := range c.opts.State.Members() {
		if !m.Superseded {
			go c.notify(ctx, m.PeerAddr, ctlwire.KindAnnounce, batch)
		}
	}
}

// voters returns the peer addresses of the other voters.
func (c *Controller) voters() []string {
	var others []string
	for _, addr := range c.allVoters() {
		if addr != c.opts.Self {
			others = append(others, addr)
		}
	}
	return others
}

func (c *Controller) allVoters() []string {
	if c.opts.Voters == nil {
		return nil
	}
	return c.opts.Voters()
}

func (c *Controller) notify(ctx context.Context, addr, kind string, message any) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.Call)
	defer cancel()
	if err := peer.Notify(ctx, c.opts.Client, addr, kind, message); err != nil {
		klog.V(2).Infof("control: %s not sent to %s: %v", kind, addr, err)
	}
}

// onHeard takes in announcements that an agent or another voter passes on.
func (c *Controller) onHeard(_ context.Context, req ctlwire.Announcements) (ctlwire.Answer, error) {
	c.mu.Lock()
	spread.TakeIn(c.registry, req, clock.Now())
	c.mu.Unlock()
	r := c.reigning()
	if r == nil {
		return c.notLeader(), nil
	}
	r.hear(req)
	return ok, nil
}

// onHeardList returns all announcements, for an instance that has started.
func (c *Controller) onHeardList(context.Context, ctlwire.Empty) (ctlwire.Announcements, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return spread.Listing(c.registry, clock.Now()), nil
}

// removeGone removes databases that have ended for good, so that a failover
// does not wait for them.
func (r *reign) removeGone(ctx context.Context, id topo.GroupID) {
	record, ok := r.c.opts.State.Group(id)
	if !ok || record.Attempt != nil {
		return
	}
	for _, d := range record.Databases {
		if d.ID == record.Primary || !r.isGone(id, d.ID) {
			continue
		}
		if !r.c.opts.Upstreams.single(id) {
			r.removeCovered(ctx, id, d.ID)
			continue
		}
		r.commit(ctx, ctlstate.Command{Retire: &ctlstate.RetireDatabase{Group: id, ID: d.ID}})
		r.commit(ctx, ctlstate.Command{RemoveDB: &ctlstate.RemoveDatabase{Group: id, ID: d.ID}})
		klog.Infof("control: database %s of %s has ended and is removed", d.ID, id)
		r.publish(ctx, id)
	}
}

// removeCovered removes a database once the others hold what it held. It runs
// in the background, once at a time for each database.
func (r *reign) removeCovered(ctx context.Context, g topo.GroupID, id topo.UpstreamID) {
	key := followKey{g, id}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving[key] {
		return
	}
	r.leaving[key] = true
	go func() {
		if err := r.c.RemoveDatabase(ctx, g, id); err != nil {
			klog.Warningf("control: database %s of %s has ended: %v", id, g, err)
			clock.Sleep(ctx, followRetry)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.leaving, key)
	}()
}

func (r *reign) isGone(g topo.GroupID, id topo.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, heard := r.registry.Get(g, id)
	return heard && k.Gone
}
