package control

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/failover"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/dbapi"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// stepRetry is the pause before a database or a member that did not answer is
// asked again.
const stepRetry = 50 * time.Millisecond

// askGiveBack asks all registered members to give the lease on the replaced
// term back, until they have or the failover ends.
func (s step) askGiveBack(ctx context.Context, c failover.AskGiveBack) {
	request := ctlwire.GiveBack{Group: s.group, Term: c.Term}
	for _, m := range s.r.c.opts.State.Members() {
		go s.askMember(ctx, m.Member, request)
	}
}

func (s step) askMember(ctx context.Context, m ctlstate.Member, request ctlwire.GiveBack) {
	for {
		key, err := s.callGiveBack(ctx, m, request)
		if err == nil && key == m.Key() {
			s.r.given(key, request.Group, request.Term)
			return
		}
		if !clock.Sleep(ctx, stepRetry) {
			return
		}
	}
}

func (s step) callGiveBack(ctx context.Context, m ctlstate.Member, request ctlwire.GiveBack) (ctlstate.MemberKey, error) {
	ctx, cancel := context.WithTimeout(ctx, s.r.c.timing.Call)
	defer cancel()
	g, err := peer.Call[ctlwire.GivenBack](ctx, s.r.c.opts.Client, m.PeerAddr, ctlwire.KindGiveBack, request)
	return g.Key, err
}

// awaitDrain waits until no member can acknowledge a write under the replaced
// term.
func (s step) awaitDrain(ctx context.Context, c failover.AwaitDrain) {
	for {
		done, until, changed := s.r.drained(s.group, c.Term, c.Begun)
		if done {
			s.send(ctx, failover.LeasesDrained{Attempt: s.attempt})
			return
		}
		timer := time.NewTimer(clock.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// fence fences the group's databases.
func (s step) fence(ctx context.Context, c failover.Fence) {
	if c.Target != "" {
		s.bringTarget(ctx, c)
	}
	for _, db := range s.record.Databases {
		go s.fenceDatabase(ctx, db, c.Term)
	}
	patience := s.r.c.timing.FencePatience
	if c.Target != "" {
		patience = s.r.c.timing.CatchUp
	}
	if clock.Sleep(ctx, patience) {
		s.send(ctx, failover.PatienceOver{Attempt: s.attempt})
	}
}

// fenceDatabase fences one database, however often it takes.
func (s step) fenceDatabase(ctx context.Context, db ctlstate.Database, t topo.Term) {
	for {
		event, err := s.tryFence(ctx, db, t)
		if err == nil {
			s.send(ctx, event)
			return
		}
		klog.V(2).Infof("control: failover of %s: %s not fenced: %v", s.group, db.ID, err)
		if !clock.Sleep(ctx, stepRetry) {
			return
		}
	}
}

func (s step) tryFence(ctx context.Context, db ctlstate.Database, t topo.Term) (failover.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, s.r.c.timing.Call)
	defer cancel()
	status, err := s.r.c.db.Fence(ctx, locationOf(s.group, db), t)
	if err == nil {
		return failover.FenceConfirmed{Attempt: s.attempt, Database: db.ID, Point: status.Point}, nil
	}
	if !errors.Is(err, dbapi.ErrOutpaced) {
		return nil, err
	}
	status, err = s.r.c.db.Status(ctx, locationOf(s.group, db))
	if err != nil {
		return nil, err
	}
	return failover.FenceOutpaced{Attempt: s.attempt, Fenced: status.FencedTerm}, nil
}

// bringTarget fences the old primary alone and lets the target of a planned
// switchover copy the rest of its log. When that fails the attempt goes on as
// a failover.
func (s step) bringTarget(ctx context.Context, c failover.Fence) {
	ctx, cancel := context.WithTimeout(ctx, s.r.c.timing.CatchUp)
	defer cancel()
	target, ok := s.record.Database(c.Target)
	if !ok {
		return
	}
	old, err := s.r.c.db.Fence(ctx, primaryOf(s.record), c.Term)
	if err == nil {
		_, err = s.r.c.db.Wait(ctx, locationOf(s.group, target), old.Point, s.r.c.timing.CatchUp)
	}
	if err != nil {
		klog.Warningf("control: switchover of %s: %s not brought to the primary's point: %v", s.group, c.Target, err)
	}
}

// promote promotes the chosen database. It gives up after a while, since the
// database may have died.
func (s step) promote(ctx context.Context, c failover.Promote) {
	limit, cancel := context.WithTimeout(ctx, s.r.c.timing.Promote)
	defer cancel()
	for {
		status, err := s.r.c.db.Promote(limit, locationOf(s.group, c.Database), c.Term)
		if err == nil {
			s.send(ctx, failover.PromoteAnswer{Attempt: s.attempt, OK: true, Began: status.Began})
			return
		}
		klog.V(1).Infof("control: failover of %s: %s not promoted: %v", s.group, c.Database.ID, err)
		if errors.Is(err, dbapi.ErrOutpaced) || !clock.Sleep(limit, stepRetry) {
			s.send(ctx, failover.PromoteAnswer{Attempt: s.attempt})
			return
		}
	}
}
