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

// ErrSignature means that an announcement's signature is missing or wrong.
var ErrSignature = errors.New("agent: announcement: wrong signature")

// AnnounceError reports an announcement that was not taken.
type AnnounceError struct{ Outcome membership.Outcome }

// Error names the reason.
func (e *AnnounceError) Error() string { return "agent: announcement: " + e.Outcome.String() }

// AnnounceSigned checks the signature of an announcement's body, then takes
// it as Announce does.
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

// Announce takes in an upstream's announcement and passes it on to the other
// instances. The signature has been checked.
func (a *Agent) Announce(an topo.Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	outcome := a.registry.Hear(an, now)
	if !outcome.Accepted() {
		return &AnnounceError{outcome}
	}
	if outcome == membership.Updated {
		a.notify()
	}
	a.heard.Add(membership.Known{Announcement: an, HeardAt: now}, outcome == membership.Updated)
	return nil
}

func (a *Agent) spreadLoop(ctx context.Context) error {
	return a.heard.Run(ctx, func(batch ctlwire.Announcements) { a.spread(ctx, batch) })
}

// spread passes announcements on to the leader and to all other instances,
// without waiting for the answers.
func (a *Agent) spread(ctx context.Context, batch ctlwire.Announcements) {
	go func() {
		if _, err := call[ctlwire.Answer](ctx, a, ctlwire.KindHeard, batch); err != nil {
			klog.V(2).Infof("agent: %s: announcements not told to the leader: %v", a.opts.Self.ID, err)
		}
	}()
	for _, m := range a.Members() {
		if m.ID != a.opts.Self.ID {
			go a.tell(ctx, m, batch)
		}
	}
}

func (a *Agent) tell(ctx context.Context, m ctlstate.Member, batch ctlwire.Announcements) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.Call)
	defer cancel()
	if err := peer.Notify(ctx, a.opts.Client, m.PeerAddr, ctlwire.KindAnnounce, batch); err != nil {
		klog.V(2).Infof("agent: %s: announcements not passed on to %s: %v", a.opts.Self.ID, m.ID, err)
	}
}

// learnUpstreams asks the other instances and the voters for all
// announcements. A new run must know which announcements are old before it
// takes any.
func (a *Agent) learnUpstreams() {
	ctx, cancel := context.WithTimeout(context.Background(), a.timing.Lease)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	ask := func(addr, kind string) {
		g.Go(func() error {
			got, err := peer.Call[ctlwire.Announcements](ctx, a.opts.Client, addr, kind, ctlwire.Empty{})
			if err == nil {
				_, err = a.onAnnounce(ctx, got)
			}
			if err != nil {
				klog.V(2).Infof("agent: %s: announcements not learned from %s: %v", a.opts.Self.ID, addr, err)
			}
			return nil
		})
	}
	for _, m := range a.Members() {
		if m.ID != a.opts.Self.ID {
			ask(m.PeerAddr, ctlwire.KindUpstreams)
		}
	}
	for _, addr := range a.Voters() {
		ask(addr, ctlwire.KindHeardList)
	}
	_ = g.Wait()
}
