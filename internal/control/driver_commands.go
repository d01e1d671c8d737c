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

// commandRetryDelay is the delay before a failed request to a database or a member
// is retried.
const commandRetryDelay = 50 * time.Millisecond

// requestReleases asks every registered member to release the lease on the replaced
// term, and retries until the member has done so or the failover ends.
func (run commandRun) requestReleases(ctx context.Context, c failover.RequestRelease) {
	request := ctlwire.ReleaseLease{Group: run.group, Term: c.Term}
	for _, m := range run.leadership.c.opts.State.Members() {
		go run.requestRelease(ctx, m.Member, request)
	}
}

func (run commandRun) requestRelease(ctx context.Context, m ctlstate.Member, request ctlwire.ReleaseLease) {
	for {
		key, err := run.callRelease(ctx, m, request)
		if err == nil && key == m.Key() {
			run.leadership.recordRelease(key, request.Group, request.Term)
			return
		}
		if !clock.Sleep(ctx, commandRetryDelay) {
			return
		}
	}
}

func (run commandRun) callRelease(ctx context.Context, m ctlstate.Member, request ctlwire.ReleaseLease) (ctlstate.MemberKey, error) {
	ctx, cancel := context.WithTimeout(ctx, run.leadership.c.timing.Call)
	defer cancel()
	g, err := peer.Call[ctlwire.LeaseReleased](ctx, run.leadership.c.opts.Client, m.PeerAddr, ctlwire.KindReleaseLease, request)
	return g.Key, err
}

// awaitDrain waits until no member can acknowledge a write under the replaced
// term.
func (run commandRun) awaitDrain(ctx context.Context, c failover.AwaitDrain) {
	for {
		done, until, changed := run.leadership.drained(run.group, c.Term, c.Begun)
		if done {
			run.send(ctx, failover.LeasesDrained{Attempt: run.attempt})
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

// fence fences the group's databases. In a switchover it first lets the target
// catch up.
func (run commandRun) fence(ctx context.Context, c failover.Fence) {
	if c.Target != "" {
		run.catchUpTarget(ctx, c)
	}
	go run.fenceAll(ctx, c.Term)
	timeout := run.leadership.c.timing.FenceTimeout
	if c.Target != "" {
		timeout = run.leadership.c.timing.CatchUp
	}
	if clock.Sleep(ctx, timeout) {
		run.send(ctx, failover.FenceTimedOut{Attempt: run.attempt})
	}
}

// fenceAll fences the databases of the group, including those that join it before
// the attempt has chosen one.
func (run commandRun) fenceAll(ctx context.Context, t topo.Term) {
	started := map[topo.UpstreamID]bool{}
	for {
		record, known := run.leadership.c.opts.State.Group(run.group)
		if !known || record.Attempt == nil || record.Attempt.Term != run.attempt || record.Attempt.Chosen != "" {
			return
		}
		for _, db := range record.Databases {
			if !started[db.ID] {
				started[db.ID] = true
				go run.fenceDatabase(ctx, db, t)
			}
		}
		if !clock.Sleep(ctx, commandRetryDelay) {
			return
		}
	}
}

// fenceDatabase fences one database and retries until it succeeds or ctx ends.
func (run commandRun) fenceDatabase(ctx context.Context, db ctlstate.Database, t topo.Term) {
	for {
		event, err := run.tryFence(ctx, db, t)
		if err == nil {
			run.send(ctx, event)
			return
		}
		klog.V(2).Infof("control: failover of %s: failed to fence %s: %v", run.group, db.ID, err)
		if !clock.Sleep(ctx, commandRetryDelay) {
			return
		}
	}
}

func (run commandRun) tryFence(ctx context.Context, db ctlstate.Database, t topo.Term) (failover.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, run.leadership.c.timing.Call)
	defer cancel()
	status, err := run.fenceAt(ctx, locationOf(run.group, db), t)
	if err == nil {
		return run.fenceConfirmed(db, status)
	}
	if !errors.Is(err, dbapi.ErrHigherTerm) {
		return nil, err
	}
	status, err = run.leadership.c.db.Status(ctx, locationOf(run.group, db))
	if err != nil {
		return nil, err
	}
	return failover.FenceHigherTerm{Attempt: run.attempt, Fenced: status.FencedTerm}, nil
}

// fenceConfirmed returns the event of a fenced database. One that does not report the end
// of its log can't be compared with the others, so it is not ready to be chosen.
func (run commandRun) fenceConfirmed(db ctlstate.Database, status dbapi.Status) (failover.Event, error) {
	end, err := status.LogEnd()
	if err != nil {
		return nil, err
	}
	return failover.FenceConfirmed{Attempt: run.attempt, Database: db.ID, Point: end, Leaving: run.leadership.mustLeave(run.group, db.ID)}, nil
}

// catchUpTarget fences only the old primary and lets the target of a planned
// switchover copy the rest of the primary's log. If that fails, the attempt
// continues as a failover.
func (run commandRun) catchUpTarget(ctx context.Context, c failover.Fence) {
	ctx, cancel := context.WithTimeout(ctx, run.leadership.c.timing.CatchUp)
	defer cancel()
	target, ok := run.record.Database(c.Target)
	if !ok {
		return
	}
	if err := run.copyRest(ctx, c, target); err != nil {
		klog.Warningf("control: switchover of %s: %s did not catch up with the primary: %v", run.group, c.Target, err)
	}
}

// copyRest fences the old primary and waits until the target has its whole log.
func (run commandRun) copyRest(ctx context.Context, c failover.Fence, target ctlstate.Database) error {
	old, err := run.fenceAt(ctx, primaryOf(run.record), c.Term)
	if err != nil {
		return err
	}
	end, err := old.LogEnd()
	if err != nil {
		return err
	}
	_, err = run.leadership.c.db.Wait(ctx, locationOf(run.group, target), end, run.leadership.c.timing.CatchUp)
	return err
}

func (run commandRun) fenceAt(ctx context.Context, at dbapi.Location, t topo.Term) (dbapi.Status, error) {
	permit, err := run.permit(ctx, "")
	if err != nil {
		return dbapi.Status{}, err
	}
	return run.leadership.c.db.Fence(ctx, permit, at, t)
}

// promote promotes the chosen database. It gives up after Timing.Promote, since
// the database may have failed.
func (run commandRun) promote(ctx context.Context, c failover.Promote) {
	limit, cancel := context.WithTimeout(ctx, run.leadership.c.timing.Promote)
	defer cancel()
	for {
		status, err := run.tryPromote(limit, c)
		if err == nil {
			run.send(ctx, failover.PromoteReply{Attempt: run.attempt, OK: true, Began: status.Began})
			return
		}
		klog.V(1).Infof("control: failover of %s: failed to promote %s: %v", run.group, c.Database.ID, err)
		if errors.Is(err, dbapi.ErrHigherTerm) || !clock.Sleep(limit, commandRetryDelay) {
			run.send(ctx, failover.PromoteReply{Attempt: run.attempt})
			return
		}
	}
}

func (run commandRun) tryPromote(ctx context.Context, c failover.Promote) (dbapi.Status, error) {
	permit, err := run.permit(ctx, c.Database.ID)
	if err != nil {
		return dbapi.Status{}, err
	}
	return run.leadership.c.db.Promote(ctx, permit, locationOf(run.group, c.Database), c.Term)
}

// permit returns a permit for a command of the attempt, which must be in progress and,
// unless chosen is empty, have chosen that database.
func (run commandRun) permit(ctx context.Context, chosen topo.UpstreamID) (dbapi.Permit, error) {
	return run.leadership.permit(ctx, run.group, func(record ctlstate.GroupRecord) bool {
		a := record.Attempt
		return a != nil && a.Term == run.attempt && (chosen == "" || a.Chosen == chosen)
	})
}
