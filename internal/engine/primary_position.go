package engine

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/groupstate"
)

const (
	// positionTimeout bounds a query for the primary's position.
	positionTimeout = 500 * time.Millisecond
	// sampleAgeShare is the fraction of the lowest maximum age after which the
	// primary's position is queried, unless a statement's answer reported it.
	sampleAgeShare = 0.5
	// maxSampleWait bounds a read's wait for the primary's position. Without the
	// position, all reads go to the primary.
	maxSampleWait = 100 * time.Millisecond
)

// awaitSample waits until the primary's position is known for the route's
// maximum age. Concurrent reads share one query.
func (e *Engine[C]) awaitSample(w workItem) (routing.Requirement, bool) {
	g, maxAge := e.groups.Get(w.route.Group), w.route.Service.MaxAge
	if g.StartFirstSample(maxAge, clock.Now()) {
		go e.firstSample(w.route.Group, g)
	}
	timer := time.NewTimer(maxSampleWait)
	defer timer.Stop()
	for {
		sampled := g.Sampled()
		if r, known := g.RequirementWithin(maxAge, clock.Now()); known {
			return r, true
		}
		select {
		case <-sampled:
		case <-timer.C:
			return routing.Requirement{}, false
		}
	}
}

// firstSample queries the primary and the other instances for the primary's
// position, and finishes the sample that StartFirstSample started. The first position
// counts; an answer of the primary without one ends no other query.
func (e *Engine[C]) firstSample(id topo.GroupID, g *groupstate.Group) {
	defer g.EndSample()
	ctx, cancel := context.WithTimeout(context.Background(), positionTimeout)
	defer cancel()
	others := make(chan struct{})
	go func() {
		defer close(others)
		e.queryPeers(ctx, id)
	}()
	if errors.Is(e.trySample(ctx, id), errNoPosition) {
		<-others
	}
}

// sample queries the primary's position and finishes the sample that
// StartSampleAfter started.
func (e *Engine[C]) sample(ctx context.Context, id topo.GroupID, g *groupstate.Group) {
	defer g.EndSample()
	ctx, cancel := context.WithTimeout(ctx, positionTimeout)
	defer cancel()
	_ = e.trySample(ctx, id) // it is logged
}

// trySample is samplePrimary, except that it logs the error.
func (e *Engine[C]) trySample(ctx context.Context, id topo.GroupID) error {
	err := e.samplePrimary(ctx, id)
	if err != nil {
		klog.V(2).Infof("engine: failed to query the position of the primary of %s: %v", id, err)
	}
	return err
}

// samplePrimary queries the primary's position. An answer without a position is no
// sample: it doesn't tell what the primary has committed.
func (e *Engine[C]) samplePrimary(ctx context.Context, id topo.GroupID) error {
	auth, ok := e.opts.Control.Authority(id)
	if !ok {
		return errNoAuthority
	}
	sentAt := clock.Now()
	result, err := e.queryPosition(ctx, placement{upstream: auth.Primary, term: auth.Term})
	if err != nil {
		return err
	}
	if !e.opts.Control.Holds(id, auth.Term) {
		return errNoAuthority
	}
	e.opts.Control.ReportPrimary(id, auth.Term, true)
	g := e.groups.Get(id)
	point, known := result.Point.Point()
	if g.ObservePositionReport(known) {
		e.opts.Events.PositionReported(id, auth.Primary.ID, known)
	}
	if !known {
		return errNoPosition
	}
	g.ObservePrimary(point, sentAt)
	return nil
}

// queryPosition queries the position of an upstream.
func (e *Engine[C]) queryPosition(ctx context.Context, at placement) (Result, error) {
	r := request{arrived: time.Now()}
	if relayed, ok := e.newAccess(at, r).(*relayAccess[C]); ok {
		relayed.request = r
		return relayed.execute(ctx, connState{}, Statement{Verb: Reset})
	}
	return e.queryPositionLocally(ctx, at.upstream)
}

// queryPositionLocally is queryPosition on a connection of this instance.
func (e *Engine[C]) queryPositionLocally(ctx context.Context, a topo.Announcement) (Result, error) {
	m := e.pools.Get(a)
	pc, err := m.Acquire(ctx, connpool.Key{})
	if err != nil {
		return Result{}, err
	}
	defer m.Release(pc)
	return pc.queryPosition(ctx)
}
