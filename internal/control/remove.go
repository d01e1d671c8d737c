package control

import (
	"context"
	"fmt"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// RemoveDatabase removes a database that will not return from its group, so that
// it no longer counts towards the quorum of a failover. It first retires the
// database, which then no longer counts towards the durability of writes. Once all
// leases granted before that have expired, another database must have everything
// that the primary has: then two of the remaining databases hold every acknowledged
// write. A removal that failed partway may be retried.
func (c *Controller) RemoveDatabase(ctx context.Context, g topo.GroupID, id topo.UpstreamID) error {
	l := c.leadership()
	if l == nil {
		return ErrNotLeader
	}
	if _, err := c.propose(ctx, ctlstate.Command{Retire: &ctlstate.RetireDatabase{Group: g, ID: id}}); err != nil {
		return fmt.Errorf("control: remove %s: %w", id, err)
	}
	l.publish(l.ctx, g)
	if !clock.Sleep(ctx, c.timing.LeaseTiming().GranterDuration()) {
		return ctx.Err()
	}
	if err := c.awaitReplicated(ctx, g, id); err != nil {
		return fmt.Errorf("control: remove %s: %w", id, err)
	}
	if _, err := c.propose(ctx, ctlstate.Command{RemoveDB: &ctlstate.RemoveDatabase{Group: g, ID: id}}); err != nil {
		return fmt.Errorf("control: remove %s: %w", id, err)
	}
	l.publish(l.ctx, g)
	return nil
}

// awaitReplicated returns nil once a database other than the primary and the one
// to be removed has everything that the primary has now.
func (c *Controller) awaitReplicated(ctx context.Context, g topo.GroupID, gone topo.UpstreamID) error {
	record, _ := c.opts.State.Group(g)
	for _, d := range record.Databases {
		if d.ID == gone || d.ID == record.Primary || d.Retiring {
			continue
		}
		if err := c.catchUp(ctx, record, d); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no other database has all writes of the primary %s", record.Primary)
}
