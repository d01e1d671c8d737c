package control

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/failover"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// driver executes one group's failover: it runs the commands of failover.Attempt
// and feeds their results back as events.
type driver struct {
	leadership *leadership
	group      topo.GroupID
	attempt    *failover.Attempt
	events     chan failover.Event
	done       chan struct{}
	// cancel stops the running commands.
	cancel context.CancelFunc
}

func newDriver(l *leadership, g topo.GroupID) *driver {
	return &driver{
		leadership: l,
		group:      g,
		attempt:    failover.NewAttempt(l.c.chart, g, l.status.LeaderSince, l.c.opts.Upstreams.primaryOnly(g)),
		events:     make(chan failover.Event),
		done:       make(chan struct{}),
		cancel:     func() {},
	}
}

// run handles events, starting with first, until the failover is done or ctx
// ends. In the latter case the next leader resumes the attempt.
func (d *driver) run(ctx context.Context, first failover.Event) {
	defer close(d.done)
	defer func() { d.cancel() }()
	running := d.restart(ctx)
	running = d.handle(ctx, running, first)
	for !d.attempt.Done() {
		select {
		case e := <-d.events:
			running = d.handle(ctx, running, e)
		case <-ctx.Done():
			return
		}
	}
}

// restart stops the running commands and returns the context for new ones.
func (d *driver) restart(ctx context.Context) context.Context {
	d.cancel()
	running, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	return running
}

func (d *driver) handle(ctx, running context.Context, e failover.Event) context.Context {
	record, known := d.leadership.c.opts.State.Group(d.group)
	if !known {
		return running
	}
	name, commands := d.attempt.Handle(e, record, clock.Now())
	if name == "" {
		return running
	}
	klog.InfoS("control: failover", "group", d.group, "event", name, "state", d.attempt.State(), "term", d.attempt.Term(),
		"replaced", record.Primary, "chosen", d.attempt.Chosen())
	d.leadership.c.observe(Event{At: clock.Now(), Group: d.group, Term: d.attempt.Term(), Name: name})
	for _, c := range commands {
		if _, stop := c.(failover.Stop); stop {
			running = d.restart(ctx)
			continue
		}
		d.start(running, record, c)
	}
	return running
}

// start starts a command. Its results arrive as events.
func (d *driver) start(ctx context.Context, record ctlstate.GroupRecord, c failover.Command) {
	run := commandRun{driver: d, record: record, attempt: d.attempt.Term()}
	switch c := c.(type) {
	case failover.Propose:
		go run.propose(ctx, c)
	case failover.RequestRelease:
		run.requestReleases(ctx, c)
	case failover.Fence:
		go run.fence(ctx, c)
	case failover.AwaitDrain:
		go run.awaitDrain(ctx, c)
	case failover.Promote:
		go run.promote(ctx, c)
	case failover.Publish:
		d.leadership.cleanUpFailover(record)
		d.leadership.publish(d.leadership.ctx, d.group)
		d.leadership.ensureFollowing(d.leadership.ctx, d.group)
	}
}

// commandRun is the execution of one command.
type commandRun struct {
	*driver
	record  ctlstate.GroupRecord
	attempt topo.Term
}

func (run commandRun) send(ctx context.Context, e failover.Event) {
	select {
	case run.events <- e:
	case <-ctx.Done():
	}
}

// propose commits an entry and retries until the outcome is known. If the entry
// is committed twice, the state machine refuses the second one; this attempt then
// stops and is resumed from the replicated state.
func (run commandRun) propose(ctx context.Context, c failover.Propose) {
	for {
		_, err := run.leadership.c.propose(ctx, c.Command)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			run.send(ctx, failover.Committed{Attempt: run.attempt, Step: c.Step, Refused: err != nil})
			return
		}
		klog.V(1).Infof("control: failover of %s: failed to commit a command: %v", run.group, err)
		if !clock.Sleep(ctx, run.leadership.c.timing.Tick) {
			return
		}
	}
}
