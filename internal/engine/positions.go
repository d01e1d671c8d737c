package engine

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// Request kinds: a query for one primary's position, and one for the positions of
// all primaries that the instance samples.
const (
	kindPosition  = "engine.position"
	kindPositions = "engine.positions"
)

type positionRequest struct {
	Group topo.GroupID `msgpack:"g"`
}

// positionReply is the latest position of the primary that the instance has
// observed.
type positionReply struct {
	// Known is false if the instance has observed none.
	Known bool `msgpack:"k"`
	relayedPosition
}

// relayedPosition is a position of a primary that another instance has observed. Age is the
// time since that instance sent its query to the primary.
type relayedPosition struct {
	Point topo.ReportedPoint `msgpack:"p"`
	Age   time.Duration      `msgpack:"a"`
}

// observeRelayed records a position that another instance reported to a request of this one,
// sent at sentAt. The age of the position counts from then, so that a delay only makes it
// look older.
func (e *Engine[C]) observeRelayed(id topo.GroupID, p relayedPosition, sentAt time.Time) {
	point, known := p.Point.Point()
	if known && p.Age >= 0 {
		e.groups.Get(id).ObservePrimary(point, sentAt.Add(-p.Age))
	}
}

// Peers connects to the other entry instances.
type Peers struct {
	Client *peer.Client
	Server *peer.Server
	// Others returns the addresses of some other instances.
	Others func() []string
	// Sampler returns the address of the instance that samples the positions of
	// primaries for this one, empty if there is none; nil means that there is none.
	Sampler func() string
	// Members returns the live entry instances; nil disables relaying.
	Members func() []ctlstate.Member
}

func (e *Engine[C]) handlePeers() {
	if e.opts.Peers.Server == nil {
		return
	}
	peer.Handle(e.opts.Peers.Server, kindPosition, func(_ context.Context, req positionRequest) (positionReply, error) {
		p, at, known := e.groups.Get(req.Group).LatestSample()
		return positionReply{known, relayedPosition{topo.Reported(p), clock.Since(at)}}, nil
	})
	peer.Handle(e.opts.Peers.Server, kindPositions, e.onPositions)
	peer.Handle(e.opts.Peers.Server, kindRelay, e.held.handle)
	peer.Handle(e.opts.Peers.Server, kindRelayEnd, func(_ context.Context, tx relayTx) (struct{}, error) {
		e.held.end(tx)
		return struct{}{}, nil
	})
}

// queryPeers queries the other instances for a primary's position.
func (e *Engine[C]) queryPeers(ctx context.Context, id topo.GroupID) {
	if e.opts.Peers.Others == nil {
		return
	}
	var wg sync.WaitGroup
	for _, addr := range e.opts.Peers.Others() {
		wg.Go(func() {
			sentAt := clock.Now()
			reply, err := peer.Call[positionReply](ctx, e.opts.Peers.Client, addr, kindPosition, positionRequest{id})
			if err != nil {
				klog.V(2).Infof("engine: failed to query the position of the primary of %s from %s: %v", id, addr, err)
				return
			}
			if reply.Known {
				e.observeRelayed(id, reply.relayedPosition, sentAt)
			}
		})
	}
	wg.Wait()
}
