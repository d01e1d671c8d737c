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

// driver carries out one group's failover: it runs the commands of
// failover.Attempt and feeds their results back.
type driver struct {
	r       *reign
	group   topo.GroupID
	attempt *failover.Attempt
	events  chan failover.Event
	done    chan struct{}
	// cancel ends the commands that run.
	cancel context.CancelFunc
}

func newDriver(r *reign, g topo.GroupID) *driver {
	return &driver{
		r:       r,
		group:   g,
		attempt: failover.NewAttempt(r.c.chart, g, r.status.LeaderSince, r.c.opts.Upstreams.single(g)),
		events:  make(chan failover.Event),
		done:    make(chan struct{}),
		cancel:  func() {},
	}
}

// run handles events from the first one on until the failover has ended, or
// until ctx ends: then the next leader resumes the attempt.
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

// restart ends the commands that run and returns the context for new ones.
func (d *driver) restart(ctx context.Context) context.Context {
	d.cancel()
	running, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	return running
}

func (d *driver) handle(ctx, running context.Context, e failover.Event) context.Context {
	record, known := d.r.c.opts.State.Group(d.group)
	if !known {
		return running
	}
	name, commands := d.attempt.Handle(e, record, clock.Now())
	if name == "" {
		return running
	}
	klog.InfoS("control: failover", "group", d.group, "event", name, "state", d.attempt.State(), "term", d.attempt.Term(),
		"replaced", record.Primary, "chosen", d.attempt.Chosen())
	d.r.c.observe(Event{At: clock.Now(), Group: d.group, Term: d.attempt.Term(), Name: name})
	for _, c := range commands {
		if _, stop := c.(failover.Stop); stop {
			running = d.restart(ctx)
			continue
		}
		d.start(running, record, c)
	}
	return running
}

// start carries out a command. Its results come back as events.
func (d *driver) start(ctx context.Context, record ctlstate.GroupRecord, c failover.Command) {
	s := step{driver: d, record: record, attempt: d.attempt.Term()}
	switch c := c.(type) {
	case failover.Propose:
		go s.propose(ctx, c)
	case failover.AskGiveBack:
		s.askGiveBack(ctx, c)
	case failover.Fence:
		go s.fence(ctx, c)
	case failover.AwaitDrain:
		go s.awaitDrain(ctx, c)
	case failover.Promote:
		go s.promote(ctx, c)
	case failover.Publish:
		d.r.completed(record)
		d.r.publish(d.r.ctx, d.group)
		d.r.keepFollowing(d.r.ctx, d.group)
	}
}

// step is the run of one command.
type step struct {
	*driver
	record  ctlstate.GroupRecord
	attempt topo.Term
}

func (s step) send(ctx context.Context, e failover.Event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// propose commits an entry, again and again until its fate is known. An entry
// that was committed twice is refused the second time; the failover then ends
// here and is resumed from the replicated state.
func (s step) propose(ctx context.Context, c failover.Propose) {
	for {
		_, err := s.r.c.propose(ctx, c.Command)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			s.send(ctx, failover.Committed{Attempt: s.attempt, Step: c.Step, Refused: err != nil})
			return
		}
		klog.V(1).Infof("control: failover of %s: %v", s.group, err)
		if !clock.Sleep(ctx, s.r.c.timing.Tick) {
			return
		}
	}
}
