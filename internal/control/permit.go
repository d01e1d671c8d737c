package control

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/dbapi"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// permitDuration is how long after the start of its confirmation a leadership may
// send a command. It is shorter than the election timeout, for which the voters that
// confirmed it elect no other leader.
const permitDuration = voter.DefaultElectionTimeout * 4 / 5

// errSuperseded means that the replicated state no longer calls for a command.
var errSuperseded = errors.New("control: the command is superseded")

// permit confirms the leadership in a quorum round that starts after the call, and
// returns the permit to send a command. wanted reports, for the group's state after
// the round, whether the command is still called for.
func (l *leadership) permit(ctx context.Context, g topo.GroupID, wanted func(ctlstate.GroupRecord) bool) (dbapi.Permit, error) {
	start := clock.Now()
	p := dbapi.Permit{Token: l.status.Term, SendBy: start.Add(permitDuration)}
	err := l.confirmNow(ctx)
	if err == nil {
		err = l.checkPermit(g, p, wanted)
	}
	if err != nil && ctx.Err() == nil {
		klog.InfoS("control: command not permitted", "group", g, "log_term", l.status.Term,
			"waited_ms", clock.Since(start).Milliseconds(), "reason", err.Error())
	}
	return p, err
}

// confirmNow executes a quorum round of its own: a command doesn't wait until renewals
// have been collected.
func (l *leadership) confirmNow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return l.c.opts.Log.Confirm(ctx)
}

func (l *leadership) checkPermit(g topo.GroupID, p dbapi.Permit, wanted func(ctlstate.GroupRecord) bool) error {
	if s := l.c.opts.Log.Status(); !s.IsLeader() || s.Term != p.Token {
		return ErrNotLeader
	}
	if record, known := l.c.opts.State.Group(g); !known || !wanted(record) {
		return errSuperseded
	}
	return p.Check(clock.Now())
}
