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

// giveBackWait bounds how long a request to give back waits for
// acknowledgements that are being sent.
const giveBackWait = 100 * time.Millisecond

var errKept = errors.New("agent: the lease is kept until it expires")

func (a *Agent) handle(s *peer.Server) {
	peer.Handle(s, ctlwire.KindGiveBack, a.onGiveBack)
	peer.Handle(s, ctlwire.KindPublish, a.onPublish)
	peer.Handle(s, ctlwire.KindAnnounce, a.onAnnounce)
	peer.Handle(s, ctlwire.KindUpstreams, a.onUpstreams)
	peer.Handle(s, ctlwire.KindStanding, a.onStanding)
}

// onGiveBack ends the lease on a group's terms. It answers when no
// acknowledgement under them can follow.
func (a *Agent) onGiveBack(ctx context.Context, req ctlwire.GiveBack) (ctlwire.GivenBack, error) {
	if a.opts.KeepUntilExpiry {
		return ctlwire.GivenBack{}, errKept
	}
	a.mu.Lock()
	a.holder.GiveBack(req.Group, req.Term)
	idle := a.guards.whenIdle(req.Group)
	a.notify()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, giveBackWait)
	defer cancel()
	if err := wait(ctx, idle); err != nil {
		return ctlwire.GivenBack{}, err
	}
	return ctlwire.GivenBack{Key: a.key()}, nil
}

// onPublish learns changes ahead of the next renewal.
func (a *Agent) onPublish(_ context.Context, req ctlwire.Publish) (ctlwire.Published, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known.Apply(req.Delta, false) {
		a.notify()
	}
	if req.Leader != "" && !a.holder.Valid(a.now()) {
		a.leader = req.Leader
		a.wakeRenewal()
	}
	return ctlwire.Published{
		Key:       a.key(),
		Confirmed: membership.ConfirmedEpoch(a.known.Epochs),
	}, nil
}

// onAnnounce takes in announcements that another instance passes on.
func (a *Agent) onAnnounce(_ context.Context, req ctlwire.Announcements) (ctlwire.Empty, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if spread.TakeIn(a.registry, req, a.now()) {
		a.notify()
	}
	return ctlwire.Empty{}, nil
}

// onUpstreams returns all announcements, for an instance that has started.
func (a *Agent) onUpstreams(context.Context, ctlwire.Empty) (ctlwire.Announcements, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return spread.Listing(a.registry, a.now()), nil
}
