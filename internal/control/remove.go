package control

import (
	"context"
	"fmt"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// RemoveDatabase removes a database that is gone for good from its group, so
// that it no longer counts for the quorum of a failover. First it ceases to
// count for the durability of writes. Once the leases granted before that are
// over, another database must have all that the primary has: then every
// acknowledged write is on two of the remaining databases. A removal that
// failed half-way may be repeated.
func (c *Controller) RemoveDatabase(ctx context.Context, g topo.GroupID, id topo.UpstreamID) error {
	r := c.reigning()
	if r == nil {
		return ErrNotLeader
	}
	if _, err := c.propose(ctx, ctlstate.Command{Retire: &ctlstate.RetireDatabase{Group: g, ID: id}}); err != nil {
		return fmt.Errorf("control: remove %s: %w", id, err)
	}
	r.publish(r.ctx, g)
	if !clock.Sleep(ctx, c.timing.Terms().Bound()) {
		return ctx.Err()
	}
	if err := c.coveredElsewhere(ctx, g, id); err != nil {
		return fmt.Errorf("control: remove %s: %w", id, err)
	}
	if _, err := c.propose(ctx, ctlstate.Command{RemoveDB: &ctlstate.RemoveDatabase{Group: g, ID: id}}); err != nil {
		return fmt.Errorf("control: remove %s: %w", id, err)
	}
	r.publish(r.ctx, g)
	return nil
}

// coveredElsewhere returns nil when a database besides the primary and the one
// to be removed has all that the primary has now.
func (c *Controller) coveredElsewhere(ctx context.Context, g topo.GroupID, gone topo.UpstreamID) error {
	record, _ := c.opts.State.Group(g)
	for _, d := range record.Databases {
		if d.ID == gone || d.ID == record.Primary || d.Retiring {
			continue
		}
		if err := c.catchUp(ctx, record, d); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no other database has all that the primary %s has", record.Primary)
}
