package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// ErrSignature means that an announcement's signature is missing or invalid.
var ErrSignature = errors.New("agent: announcement: invalid signature")

// AnnounceError reports an announcement that was rejected.
type AnnounceError struct{ Outcome membership.Outcome }

// Error implements error.
func (e *AnnounceError) Error() string { return "agent: announcement: " + e.Outcome.String() }

// AnnounceSigned verifies the signature of an announcement's body and then calls
// Announce.
func (a *Agent) AnnounceSigned(body []byte, signature string) error {
	if !membership.Verify(a.opts.AnnounceKey, body, signature) {
		return ErrSignature
	}
	var an topo.Announcement
	if err := json.Unmarshal(body, &an); err != nil {
		return fmt.Errorf("agent: announcement: %w", err)
	}
	return a.Announce(an)
}

// Announce records an upstream's announcement and forwards it to the leader and the
// other instances. The caller has verified the signature.
func (a *Agent) Announce(an topo.Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	outcome := a.registry.Receive(an, now)
	if !outcome.Accepted() {
		return &AnnounceError{outcome}
	}
	if outcome == membership.Updated {
		a.notify()
	}
	k, _ := a.registry.Get(an.Group, an.ID)
	a.outgoing.Add(k, outcome == membership.Updated)
	return nil
}

func (a *Agent) forwardLoop(ctx context.Context) error {
	return a.outgoing.Run(ctx, func(batch ctlwire.Announcements) { a.forward(ctx, batch) })
}

// forward sends announcements to the leader and to all other instances without
// waiting for responses.
func (a *Agent) forward(ctx context.Context, batch ctlwire.Announcements) {
	go func() {
		if _, err := call[ctlwire.Answer](ctx, a, ctlwire.KindAnnouncements, batch); err != nil {
			klog.V(2).Infof("agent: %s: failed to forward announcements to the leader: %v", a.opts.Self.ID, err)
		}
	}()
	for _, m := range a.Members() {
		if m.ID != a.opts.Self.ID {
			go a.forwardTo(ctx, m, batch)
		}
	}
}

func (a *Agent) forwardTo(ctx context.Context, m ctlstate.Member, batch ctlwire.Announcements) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.Call)
	defer cancel()
	if err := peer.Notify(ctx, a.opts.Client, m.PeerAddr, ctlwire.KindAnnounce, batch); err != nil {
		klog.V(2).Infof("agent: %s: failed to forward announcements to %s: %v", a.opts.Self.ID, m.ID, err)
	}
}

// upstreamSources is the number of other instances from which a new process fetches
// all announcements, besides the voters.
const upstreamSources = 3

// learnUpstreams fetches all announcements from the voters and a few other instances.
// A new process needs them to recognise stale announcements before it accepts any.
func (a *Agent) learnUpstreams() {
	ctx, cancel := context.WithTimeout(context.Background(), a.timing.Lease)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	fetch := func(addr, kind string) {
		g.Go(func() error {
			got, err := peer.Call[ctlwire.Announcements](ctx, a.opts.Client, addr, kind, ctlwire.Empty{})
			if err == nil {
				_, err = a.onAnnounce(ctx, got)
			}
			if err != nil {
				klog.V(2).Infof("agent: %s: failed to fetch announcements from %s: %v", a.opts.Self.ID, addr, err)
			}
			return nil
		})
	}
	for _, m := range membership.Peers(a.opts.Self.ID, a.Members(), upstreamSources) {
		fetch(m.PeerAddr, ctlwire.KindListUpstreams)
	}
	for _, addr := range a.Voters() {
		fetch(addr, ctlwire.KindListAnnouncements)
	}
	_ = g.Wait()
}
