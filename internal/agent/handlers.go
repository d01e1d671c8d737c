package agent

import (
	"context"
	"errors"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/spread"
)

// releaseTimeout bounds how long a release request waits for acknowledgements in
// progress.
const releaseTimeout = 100 * time.Millisecond

var errReleaseDisabled = errors.New("agent: early release is disabled; the lease remains until it expires")

func (a *Agent) handle(s *peer.Server) {
	peer.Handle(s, ctlwire.KindReleaseLease, a.onReleaseLease)
	peer.Handle(s, ctlwire.KindPublish, a.onPublish)
	peer.Handle(s, ctlwire.KindAnnounce, a.onAnnounce)
	peer.Handle(s, ctlwire.KindListUpstreams, a.onListUpstreams)
	peer.Handle(s, ctlwire.KindLeaseStatus, a.onLeaseStatus)
}

// onReleaseLease ends the lease on the group's terms up to the requested one. It
// answers once no acknowledgement under them can follow.
func (a *Agent) onReleaseLease(ctx context.Context, req ctlwire.ReleaseLease) (ctlwire.LeaseReleased, error) {
	if a.opts.DisableEarlyRelease {
		return ctlwire.LeaseReleased{}, errReleaseDisabled
	}
	a.mu.Lock()
	a.holder.Release(req.Group, req.Term)
	done := a.pendingAcks.whenIdle(req.Group)
	a.notify()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := wait(ctx, done); err != nil {
		return ctlwire.LeaseReleased{}, err
	}
	return ctlwire.LeaseReleased{Key: a.key()}, nil
}

// onPublish applies changes ahead of the next renewal.
func (a *Agent) onPublish(_ context.Context, req ctlwire.Publish) (ctlwire.Published, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controlState.Apply(req.Delta, false) {
		a.notify()
	}
	if req.Leader != "" && !a.holder.Valid(a.now()) {
		if a.leader != req.Leader {
			a.leader = req.Leader
			signal(a.leaderFound)
		}
		a.wakeRenewal()
	}
	return ctlwire.Published{
		Key:       a.key(),
		Confirmed: membership.ConfirmedEpoch(a.controlState.Epochs),
	}, nil
}

// onAnnounce records announcements forwarded by another instance or a voter.
func (a *Agent) onAnnounce(_ context.Context, req ctlwire.Announcements) (ctlwire.Empty, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if spread.Apply(a.registry, req, a.now()) {
		a.notify()
	}
	return ctlwire.Empty{}, nil
}

// onListUpstreams returns all announcements to an instance that has just started.
func (a *Agent) onListUpstreams(context.Context, ctlwire.Empty) (ctlwire.Announcements, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return spread.Snapshot(a.registry, a.now()), nil
}
