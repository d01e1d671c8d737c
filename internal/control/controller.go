// Package control implements the controller of a control voter. While the voter
// leads the replicated log, the controller grants leases, maintains the view of
// live members, detects failed primaries and replaces them.
package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/failover"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/dbapi"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/spread"
	"github.com/cicadacove/cicadacove/internal/statechart"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// Timing holds the intervals and timeouts of leases, detection and failover.
type Timing = ctlwire.Timing

// Options configures a Controller.
type Options struct {
	// Self is the peer address of this voter.
	Self   string
	Log    voter.Log
	State  *ctlstate.Machine
	Client *peer.Client
	Server *peer.Server
	// Databases changes the roles of databases. Run closes it.
	Databases dbapi.Client
	Upstreams Upstreams
	// Voters returns the peer addresses of the voters, which the leader sends
	// to the members; nil sends none.
	Voters func() []string
	// Contacts returns the peer addresses of the voters that this one knows while it has
	// no leader, for members that look for one; nil names none.
	Contacts func() []string
	Timing   Timing
	// Observe, if not nil, is called with each failover event. It must not
	// block.
	Observe func(Event)
}

// Upstreams describes how the databases behave.
type Upstreams struct {
	// AutoFollow means that replicas find a new primary by themselves: the
	// leader sends follow commands only to a database that claims to be primary.
	AutoFollow bool
	// Known reports whether the configuration names the group; nil means that
	// every group is known. Announcements of other groups are refused.
	Known func(topo.GroupID) bool
	// Durability returns how many databases must hold a write of the group
	// before it is acknowledged; nil means 2.
	Durability func(topo.GroupID) int
}

// primaryOnly reports whether the primary alone acknowledges the group's writes.
func (u Upstreams) primaryOnly(g topo.GroupID) bool {
	return u.Durability != nil && u.Durability(g) < 2
}

// Event is a transition of a group's failover.
type Event struct {
	At    time.Time
	Group topo.GroupID
	// Term is the term of the attempt, zero before it begins.
	Term topo.Term
	// Name is the event of the failover chart.
	Name string
}

// Controller grants leases and replaces primaries while its voter leads.
type Controller struct {
	opts   Options
	timing Timing
	db     dbapi.Client
	chart  *statechart.Chart

	mu      sync.Mutex
	current *leadership
	// registry holds all announcements made to any voter.
	registry *membership.Registry
	// toVoters and toMembers hold the announcements that are still to be forwarded.
	toVoters, toMembers *spread.Announcements
}

// New returns a controller and registers its handlers with the server.
func New(opts Options) *Controller {
	c := &Controller{
		opts:      opts,
		timing:    opts.Timing.WithDefaults(),
		db:        opts.Databases,
		chart:     failover.LoadChart(charts.Read("failover.toml")),
		toVoters:  spread.NewAnnouncements(clock.Now, 0),
		toMembers: spread.NewAnnouncements(clock.Now, opts.Timing.Refresh),
	}
	c.registry = membership.NewRegistry(c.timing.AnnouncementTTL)
	c.handle(opts.Server)
	return c
}

// Run serves until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer c.db.Close()
	go func() { _ = c.toVoters.Run(ctx, func(batch ctlwire.Announcements) { c.forwardToVoters(ctx, batch) }) }()
	go func() { _ = c.toMembers.Run(ctx, func(batch ctlwire.Announcements) { c.forwardToMembers(ctx, batch) }) }()
	for ctx.Err() == nil {
		changed := c.opts.Log.Changed()
		status := c.opts.Log.Status()
		if status.IsLeader() {
			c.lead(ctx, status)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// lead runs the controller's work while the voter leads under one term of the
// log.
func (c *Controller) lead(ctx context.Context, status voter.Status) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The voter's own timestamp comes from a clock that stops while the machine is
	// suspended.
	status.LeaderSince = clock.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		defer cancel()
		c.waitUntilDeposed(ctx, status.Term)
	}()
	if err := c.barrier(ctx); err != nil {
		klog.Warningf("control: %s: failed to start leading in term %d: %v", status.ID, status.Term, err)
		clock.Sleep(ctx, c.timing.Tick)
		cancel()
		<-stopped
		return
	}
	l := newLeadership(c, status)
	c.setLeadership(l)
	klog.Infof("control: %s: leading in term %d", status.ID, status.Term)
	l.run(ctx)
	c.setLeadership(nil)
	<-stopped
	klog.Infof("control: %s: no longer leading in term %d", status.ID, status.Term)
}

func (c *Controller) setLeadership(l *leadership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = l
}

// leadership returns the current leadership, or nil if the voter is not the
// leader.
func (c *Controller) leadership() *leadership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// waitUntilDeposed returns when the voter no longer leads under the term.
func (c *Controller) waitUntilDeposed(ctx context.Context, term uint64) {
	for {
		changed := c.opts.Log.Changed()
		s := c.opts.Log.Status()
		if !s.IsLeader() || s.Term != term {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// barrier returns once this voter has applied everything that earlier leaders
// committed.
func (c *Controller) barrier(ctx context.Context) error {
	_, err := c.propose(ctx, ctlstate.Command{})
	var refused *RefusedError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

// RefusedError means that a command was committed but rejected by the state
// machine, so it changed nothing.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "control: refused: " + e.Reason }

// propose commits a command and waits until this voter has applied it.
func (c *Controller) propose(ctx context.Context, cmd ctlstate.Command) (ctlstate.Result, error) {
	data, err := cmd.Encode()
	if err != nil {
		return ctlstate.Result{}, err
	}
	out, err := c.opts.Log.Propose(ctx, data)
	if err != nil {
		return ctlstate.Result{}, err
	}
	result, err := ctlstate.DecodeResult(out)
	if err == nil && result.Refused != "" {
		err = &RefusedError{result.Refused}
	}
	return result, err
}

func (c *Controller) observe(e Event) {
	if c.opts.Observe != nil {
		c.opts.Observe(e)
	}
}
