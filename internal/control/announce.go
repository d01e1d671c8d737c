package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/replog"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/spread"
)

// ErrNotForwarded means that no other process has received an announcement, so that
// it would be lost with this voter.
var ErrNotForwarded = errors.New("control: no other process has received the announcement")

// Announce records an announcement that an upstream sent to this voter, and
// forwards it to the other voters and to all members. If the error is nil, the
// announcement outlives this voter: one that says that the upstream leaves has been
// received by another process, any other one will be sent to one. A voter that is no
// member of the cluster refuses all.
func (c *Controller) Announce(ctx context.Context, a topo.Announcement) (membership.Outcome, error) {
	outcome := c.receive(a)
	receivers := c.receivers()
	switch {
	case !c.isMember():
		return outcome, c.notForwarded()
	case !outcome.Accepted() && outcome != membership.Stale:
		return outcome, nil
	case len(receivers) == 0 && c.leadership() == nil:
		return outcome, c.notForwarded()
	case !a.Leaving || len(receivers) == 0:
		return outcome, nil
	}
	return outcome, c.awaitReceived(ctx, a, receivers)
}

// isMember reports whether this voter belongs to a cluster, as far as it knows.
func (c *Controller) isMember() bool { return c.opts.Log.Status().Member != replog.NoMember }

// notForwarded returns ErrNotForwarded with the reason why this voter has no leader, if it
// has none.
func (c *Controller) notForwarded() error {
	status := c.opts.Log.Status()
	if status.LeaderAddr != "" {
		return ErrNotForwarded
	}
	return fmt.Errorf("%w: %s", ErrNotForwarded, status.DescribeNoLeader(time.Now()))
}

// receive records an announcement and queues it to be forwarded.
func (c *Controller) receive(a topo.Announcement) membership.Outcome {
	if known := c.opts.Upstreams.Known; known != nil && !known(a.Group) {
		return membership.RefusedGroup
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.registry.AddressInUse(a, now, c.timing.AddressSilence) {
		return membership.RefusedAddress
	}
	outcome := c.registry.Receive(a, now)
	if outcome.Accepted() {
		k, _ := c.registry.Get(a.Group, a.ID)
		c.toVoters.Add(k, outcome == membership.Updated)
		c.toMembers.Add(k, outcome == membership.Updated)
	}
	return outcome
}

// receiver is a process to which this voter forwards announcements.
type receiver struct{ addr, kind string }

// maxConfirmingMembers is the number of entry instances that are asked to confirm an
// announcement, besides the voters.
const maxConfirmingMembers = 4

// receivers returns processes that can confirm an announcement: the other voters
// and a few members.
func (c *Controller) receivers() []receiver {
	var list []receiver
	for _, addr := range c.otherVoters() {
		list = append(list, receiver{addr, ctlwire.KindAnnouncements})
	}
	for _, m := range c.opts.State.Members() {
		if len(list) >= len(c.otherVoters())+maxConfirmingMembers {
			break
		}
		if !m.Superseded {
			list = append(list, receiver{m.PeerAddr, ctlwire.KindAnnounce})
		}
	}
	return list
}

// awaitReceived sends the current announcement of an upstream to the receivers and
// returns once one of them has received it.
func (c *Controller) awaitReceived(ctx context.Context, a topo.Announcement, receivers []receiver) error {
	c.mu.Lock()
	k, known := c.registry.Get(a.Group, a.ID)
	batch := spread.One(k, clock.Now())
	c.mu.Unlock()
	if !known {
		return c.notForwarded()
	}
	ctx, cancel := context.WithTimeout(ctx, c.timing.Call)
	defer cancel()
	errs := make(chan error, len(receivers))
	for _, r := range receivers {
		go func() {
			_, err := peer.Call[ctlwire.Answer](ctx, c.opts.Client, r.addr, r.kind, batch)
			errs <- err
		}()
	}
	for range receivers {
		if err := <-errs; err == nil {
			return nil
		}
	}
	return c.notForwarded()
}

// UpstreamEnded records that an upstream has shut down. known is false if the
// upstream has never announced itself to this voter. A voter that is no member of the
// cluster refuses.
func (c *Controller) UpstreamEnded(id topo.UpstreamID) (known bool, err error) {
	if !c.isMember() {
		return false, c.notForwarded()
	}
	c.mu.Lock()
	var last membership.KnownUpstream
	for _, k := range c.registry.All() {
		if k.ID == id && k.Incarnation >= last.Incarnation {
			last = k
		}
	}
	c.mu.Unlock()
	if last.ID == "" {
		return false, nil
	}
	last.Leaving, last.Gone = true, true
	c.receive(last.Announcement)
	return true, nil
}

// forwardToVoters sends announcements to the other voters without waiting for
// responses.
func (c *Controller) forwardToVoters(ctx context.Context, batch ctlwire.Announcements) {
	if l := c.leadership(); l != nil {
		l.recordAnnouncements(batch)
	}
	for _, addr := range c.otherVoters() {
		go c.notify(ctx, addr, ctlwire.KindAnnouncements, batch)
	}
}

// forwardToMembers sends announcements to all members without waiting for
// responses.
func (c *Controller) forwardToMembers(ctx context.Context, batch ctlwire.Announcements) {
	for _, m := range c.opts.State.Members() {
		if !m.Superseded {
			go c.notify(ctx, m.PeerAddr, ctlwire.KindAnnounce, batch)
		}
	}
}

// otherVoters returns the peer addresses of all voters except this one.
func (c *Controller) otherVoters() []string {
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
		klog.V(2).Infof("control: failed to send %s to %s: %v", kind, addr, err)
	}
}

// onAnnouncements records announcements forwarded by an agent or another voter.
func (c *Controller) onAnnouncements(_ context.Context, req ctlwire.Announcements) (ctlwire.Answer, error) {
	c.mu.Lock()
	spread.Apply(c.registry, req, clock.Now())
	c.mu.Unlock()
	l := c.leadership()
	if l == nil {
		return c.notLeader(), nil
	}
	l.recordAnnouncements(req)
	return ok, nil
}

// onListAnnouncements returns all announcements to an instance that has just
// started.
func (c *Controller) onListAnnouncements(context.Context, ctlwire.Empty) (ctlwire.Announcements, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return spread.Snapshot(c.registry, clock.Now()), nil
}

// removeEndedDatabases removes databases that have shut down for good, so that a
// failover does not wait for them.
func (l *leadership) removeEndedDatabases(ctx context.Context, id topo.GroupID) {
	record, ok := l.c.opts.State.Group(id)
	if !ok || record.Attempt != nil {
		return
	}
	for _, d := range record.Databases {
		if d.ID == record.Primary || !l.isGone(id, d.ID) {
			continue
		}
		if !l.c.opts.Upstreams.primaryOnly(id) {
			l.removeInBackground(ctx, id, d.ID)
			continue
		}
		l.commit(ctx, ctlstate.Command{Retire: &ctlstate.RetireDatabase{Group: id, ID: d.ID}})
		l.commit(ctx, ctlstate.Command{RemoveDB: &ctlstate.RemoveDatabase{Group: id, ID: d.ID}})
		klog.Infof("control: database %s of %s has shut down and was removed", d.ID, id)
		l.publish(ctx, id)
	}
}

// removeInBackground removes a database once other databases hold all of its
// writes. At most one removal runs per database.
func (l *leadership) removeInBackground(ctx context.Context, g topo.GroupID, id topo.UpstreamID) {
	key := databaseKey{g, id}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removingDatabases[key] {
		return
	}
	l.removingDatabases[key] = true
	go func() {
		if err := l.c.RemoveDatabase(ctx, g, id); err != nil {
			klog.Warningf("control: database %s of %s has shut down but could not be removed: %v", id, g, err)
			clock.Sleep(ctx, databaseRetryDelay)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.removingDatabases, key)
	}()
}

func (l *leadership) isGone(g topo.GroupID, id topo.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, announced := l.registry.Get(g, id)
	return announced && k.Gone
}
