package groupstate

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// StartSample reports whether the primary's position is to be asked for now.
// After it has returned true, EndSample must follow.
func (g *Group) StartSample(now time.Time) bool { return g.StartSampleAfter(1.0/sampleShare, now) }

// StartSampleAfter is StartSample with the part of the lowest tolerated age
// that may pass between two samples.
func (g *Group) StartSampleAfter(share float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	due := g.tracker.LastSample().Add(time.Duration(share * float64(g.leastAge)))
	if g.sampling || g.leastAge <= 0 || now.Sub(g.lastRead) > activeFor || now.Before(due) {
		return false
	}
	g.sampling = true
	return true
}

// StartFirstSample reports whether the caller is to learn the primary's
// position because it is not known for maxAge and nobody else asks. EndSample
// must follow.
func (g *Group) StartFirstSample(maxAge time.Duration, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.tracker.RequirementWithin(maxAge, now)
	if known || g.sampling {
		return false
	}
	g.sampling = true
	return true
}

// Sampled returns a channel that is closed at the next sample of the
// primary's position.
func (g *Group) Sampled() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sampled == nil {
		g.sampled = make(chan struct{})
	}
	return g.sampled
}

// EndSample ends what StartSample began.
func (g *Group) EndSample() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sampling = false
}

// Lag returns the usual delay of a replica.
func (g *Group) Lag(id topo.UpstreamID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Lag(id)
}

// RequirementWithin returns what data no older than maxAge must cover. ok is
// false when the primary's position is not known for that time.
func (g *Group) RequirementWithin(maxAge time.Duration, now time.Time) (r routing.Requirement, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.RequirementWithin(maxAge, now)
}

// LatestSample returns the newest known position of the primary and when it
// was asked for.
func (g *Group) LatestSample() (p topo.Point, sentAt time.Time, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.LatestSample()
}

// ObservePrimary records the primary's point, from an answer whose request was
// sent at sentAt.
func (g *Group) ObservePrimary(p topo.Point, sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ObservePrimary(p, sentAt)
	if g.sampled != nil {
		close(g.sampled)
		g.sampled = nil
	}
}

// ObserveReplica records a replica's point, learned at time at.
func (g *Group) ObserveReplica(id topo.UpstreamID, p topo.Point, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ObserveReplica(id, p, at)
}
