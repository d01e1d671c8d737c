// Package control runs on a control voter. While the voter leads the
// replicated log it grants leases, keeps the live view, detects dead primaries
// and replaces them.
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

// Timing holds the times of leases, detection and failover.
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
	// Voters returns the peer addresses of the voters, which members are
	// told; nil tells none.
	Voters func() []string
	Timing Timing
	// Observe is told of the steps of failovers, if it is not nil. It must
	// not wait.
	Observe func(Event)
}

// Upstreams says how the databases behave.
type Upstreams struct {
	// FollowUnasked says that replicas find a new primary by themselves: only
	// a database that claims to be primary is told to follow.
	FollowUnasked bool
	// Durability returns how many databases hold a write of the group before
	// it is acknowledged; nil means 2.
	Durability func(topo.GroupID) int
}

// single reports whether the primary alone acknowledges the group's writes.
func (u Upstreams) single(g topo.GroupID) bool {
	return u.Durability != nil && u.Durability(g) < 2
}

// Event is one step of a group's failover.
type Event struct {
	At    time.Time
	Group topo.GroupID
	// Term is the term of the attempt, zero before it has begun.
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
	current *reign
	// registry holds what was announced to any voter; heard what is to be
	// passed on.
	registry *membership.Registry
	heard    *spread.Announcements
}

// New returns a controller and registers its handlers with the server.
func New(opts Options) *Controller {
	c := &Controller{
		opts:   opts,
		timing: opts.Timing.WithDefaults(),
		db:     opts.Databases,
		chart:  failover.LoadChart(charts.Read("failover.toml")),
		heard:  spread.NewAnnouncements(clock.Now),
	}
	c.registry = membership.NewRegistry(c.timing.Announced)
	c.handle(opts.Server)
	return c
}

// Run serves until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer c.db.Close()
	go func() { _ = c.heard.Run(ctx, func(batch ctlwire.Announcements) { c.passOn(ctx, batch) }) }()
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

// lead runs one reign: the time for which the voter leads under one term of
// the log.
func (c *Controller) lead(ctx context.Context, status voter.Status) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The voter counts by a clock that stands still during a suspension.
	status.LeaderSince = clock.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		defer cancel()
		c.watchDeposed(ctx, status.Term)
	}()
	if err := c.barrier(ctx); err != nil {
		klog.Warningf("control: %s: not ready to lead in term %d: %v", status.ID, status.Term, err)
		clock.Sleep(ctx, c.timing.Tick)
		cancel()
		<-stopped
		return
	}
	r := newReign(c, status)
	c.setCurrent(r)
	klog.Infof("control: %s: leading in term %d", status.ID, status.Term)
	r.run(ctx)
	c.setCurrent(nil)
	<-stopped
	klog.Infof("control: %s: no longer leading in term %d", status.ID, status.Term)
}

func (c *Controller) setCurrent(r *reign) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
}

// reigning returns the present reign, nil when the voter doesn't lead.
func (c *Controller) reigning() *reign {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// watchDeposed returns when the voter no longer leads under the term.
func (c *Controller) watchDeposed(ctx context.Context, term uint64) {
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

// barrier returns once everything that earlier leaders committed has been
// applied here.
func (c *Controller) barrier(ctx context.Context) error {
	_, err := c.propose(ctx, ctlstate.Command{})
	var refused *RefusedError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

// RefusedError means that the command was committed but changed nothing.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e *RefusedError) Error() string { return "control: refused: " + e.Reason }

// propose commits a command and waits until it is applied here.
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
