package control

import (
	"context"
	"errors"
	"fmt"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/failover"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/dbapi"
)

// ErrBusy means that a failover of the group is already in progress.
var ErrBusy = errors.New("control: a failover of the group is in progress")

// ErrNotLeader means that the voter is not the leader.
var ErrNotLeader = errors.New("control: not the leader")

// Switchover makes another database of the group its primary, with as short an
// interruption of writes as possible. It returns once the new primary is published.
func (c *Controller) Switchover(ctx context.Context, g topo.GroupID, to topo.UpstreamID) error {
	l := c.leadership()
	if l == nil {
		return ErrNotLeader
	}
	record, ok := c.opts.State.Group(g)
	if !ok {
		return fmt.Errorf("control: switchover: unknown group %q", g)
	}
	if record.Primary == to {
		return nil
	}
	target, ok := record.Database(to)
	if !ok {
		return fmt.Errorf("control: switchover: %q is not a database of %q", to, g)
	}
	if err := c.catchUp(ctx, record, target); err != nil {
		return fmt.Errorf("control: switchover: %w", err)
	}
	return l.switchover(ctx, g, to)
}

// catchUp waits until the target has everything that the primary has now, so that
// little is left to copy while writes are suspended.
func (c *Controller) catchUp(ctx context.Context, record ctlstate.GroupRecord, target ctlstate.Database) error {
	ctx, cancel := context.WithTimeout(ctx, c.timing.CatchUp*2)
	defer cancel()
	p, err := c.db.Status(ctx, primaryOf(record))
	if err != nil {
		return err
	}
	want, err := p.LogEnd()
	if err != nil {
		return fmt.Errorf("the primary: %w", err)
	}
	s, err := c.db.Wait(ctx, locationOf(record.ID, target), want, c.timing.CatchUp)
	if err != nil {
		return err
	}
	have, err := s.LogEnd()
	if err != nil {
		return fmt.Errorf("%s: %w", target.ID, err)
	}
	if !topo.Covers(have, want) {
		return fmt.Errorf("%s is at %s, the primary at %s", target.ID, have, want)
	}
	return nil
}

func (l *leadership) switchover(ctx context.Context, g topo.GroupID, to topo.UpstreamID) error {
	l.mu.Lock()
	if l.drivers[g] != nil || l.tasks == nil {
		l.mu.Unlock()
		return ErrBusy
	}
	d := l.start(l.ctx, l.tasks, g, failover.SwitchTo{Target: to})
	l.mu.Unlock()
	select {
	case <-d.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	record, _ := l.c.opts.State.Group(g)
	if record.Primary != to {
		return fmt.Errorf("control: switchover: %s is the primary in term %d", record.Primary, record.Term)
	}
	return nil
}

// locationOf returns the location of a database of the group.
func locationOf(g topo.GroupID, d ctlstate.Database) dbapi.Location {
	return dbapi.Location{Group: g, ID: d.ID, Addr: d.Addr}
}

func primaryOf(record ctlstate.GroupRecord) dbapi.Location {
	return dbapi.Location{Group: record.ID, ID: record.Primary, Addr: record.PrimaryAddr()}
}
