package engine

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/groupstate"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// Where many instances share few databases, one instance of each availability zone,
// the sampler, queries the primaries for their positions, and the others of the zone
// ask the sampler. An instance whose sampler does not answer, or not recently enough,
// queries the primaries itself.

const (
	// samplerAgeShare is the fraction of the lowest maximum age after which an
	// instance that samples for others queries a primary again. It is below
	// sampleAgeShare, so that the others rarely get a position that is already due.
	samplerAgeShare = 0.25
	// directAgeShare is the fraction after which an instance queries the primary
	// itself although it has a sampler.
	directAgeShare = 0.75
	// samplerTimeout bounds a query of the sampler.
	samplerTimeout = 150 * time.Millisecond
	// maxRelayedAge is the greatest age of a position that a sampler reports.
	maxRelayedAge = 5 * time.Second
)

// positionsRequest names the groups whose positions are due at the sender, so that
// the sampler goes on sampling them.
type positionsRequest struct {
	Groups []sampledGroup `msgpack:"g"`
}

// sampledGroup is a group with reads that accept data up to MaxAge old.
type sampledGroup struct {
	ID     topo.GroupID  `msgpack:"i"`
	MaxAge time.Duration `msgpack:"a"`
}

// positionsReply lists the recent positions of all groups that the sampler knows.
type positionsReply struct {
	Positions []groupPosition `msgpack:"p"`
}

// groupPosition is the position of one group's primary.
type groupPosition struct {
	ID topo.GroupID `msgpack:"i"`
	relayedPosition
}

// onPositions answers an instance for which this one samples.
func (e *Engine[C]) onPositions(_ context.Context, req positionsRequest) (positionsReply, error) {
	now := clock.Now()
	e.sampledForOthersAt.Store(&now)
	for _, g := range req.Groups {
		e.groups.Get(g.ID).RecordRead(g.MaxAge, now)
	}
	var reply positionsReply
	e.groups.Each(func(id topo.GroupID, g *groupstate.Group) {
		p, at, known := g.LatestSample()
		if age := now.Sub(at); known && age <= maxRelayedAge {
			reply.Positions = append(reply.Positions, groupPosition{id, relayedPosition{topo.Reported(p), age}})
		}
	})
	return reply, nil
}

// samplesForOthers reports whether another instance has asked this one lately.
func (e *Engine[C]) samplesForOthers(now time.Time) bool {
	at := e.sampledForOthersAt.Load()
	return at != nil && now.Sub(*at) <= maxRelayedAge
}

// samplerAddr returns the address of this instance's sampler, empty if there is none.
func (e *Engine[C]) samplerAddr() string {
	if e.opts.Peers.Sampler == nil {
		return ""
	}
	return e.opts.Peers.Sampler()
}

// samplePositions queries the positions of the primaries that are due.
func (e *Engine[C]) samplePositions(ctx context.Context, now time.Time) {
	share, sampler := sampleAgeShare, e.samplerAddr()
	if e.samplesForOthers(now) {
		share, sampler = samplerAgeShare, ""
	}
	due := map[topo.GroupID]*groupstate.Group{}
	e.groups.Each(func(id topo.GroupID, g *groupstate.Group) {
		if g.StartSampleAfter(share, now) {
			due[id] = g
		}
	})
	if len(due) == 0 {
		return
	}
	if sampler != "" {
		go e.sampleVia(ctx, sampler, due)
		return
	}
	for id, g := range due {
		go e.sample(ctx, id, g)
	}
}

// sampleVia gets the positions that are due from the sampler, and those that it
// lacks from the primaries.
func (e *Engine[C]) sampleVia(ctx context.Context, sampler string, due map[topo.GroupID]*groupstate.Group) {
	if err := e.queryPositions(ctx, sampler, due); err != nil {
		klog.V(2).Infof("engine: failed to get positions of primaries from %s: %v", sampler, err)
	}
	now := clock.Now()
	for id, g := range due {
		if g.SampleDue(directAgeShare, now) {
			go e.sample(ctx, id, g)
			continue
		}
		g.EndSample()
	}
}

// queryPositions asks the sampler once.
func (e *Engine[C]) queryPositions(ctx context.Context, sampler string, due map[topo.GroupID]*groupstate.Group) error {
	ctx, cancel := context.WithTimeout(ctx, samplerTimeout)
	defer cancel()
	var req positionsRequest
	for id, g := range due {
		req.Groups = append(req.Groups, sampledGroup{ID: id, MaxAge: g.MinMaxAge()})
	}
	sentAt := clock.Now()
	reply, err := peer.Call[positionsReply](ctx, e.opts.Peers.Client, sampler, kindPositions, req)
	if err != nil {
		return fmt.Errorf("%s: %w", kindPositions, err)
	}
	for _, p := range reply.Positions {
		e.observeRelayed(p.ID, p.relayedPosition, sentAt)
	}
	return nil
}
