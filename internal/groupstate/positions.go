package groupstate

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// StartSample reports whether the caller must query the primary's position now
// and then call EndSample.
func (g *Group) StartSample(now time.Time) bool { return g.StartSampleAfter(1.0/sampleDivisor, now) }

// StartSampleAfter is like StartSample, but the interval between two samples is
// the given share of the lowest maximum age.
func (g *Group) StartSampleAfter(share float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sampling || !g.sampleDue(share, now) {
		return false
	}
	g.sampling = true
	return true
}

// SampleDue reports whether StartSampleAfter would, but for a running sample.
func (g *Group) SampleDue(share float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sampleDue(share, now)
}

// sampleDue is SampleDue for callers that hold g.mu.
func (g *Group) sampleDue(share float64, now time.Time) bool {
	due := g.tracker.LatestSampleSentAt().Add(time.Duration(share * float64(g.minMaxAge)))
	return g.minMaxAge > 0 && now.Sub(g.lastRead) <= activeWindow && !now.Before(due)
}

// MinMaxAge returns the lowest maximum age of the group's recent reads.
func (g *Group) MinMaxAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.minMaxAge
}

// StartFirstSample reports whether the caller must query the primary's position
// and then call EndSample, because the position is not known for maxAge and no
// query is running.
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

// EndSample finishes a started sample.
func (g *Group) EndSample() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sampling = false
}

// ObservePositionReport records whether the primary reported its position when it was asked
// for it. changed means that it did otherwise the last time.
func (g *Group) ObservePositionReport(reported bool) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed = g.positionMissing == reported
	g.positionMissing = !reported
	return changed
}

// Lag returns the typical replication lag of a replica.
func (g *Group) Lag(id topo.UpstreamID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Lag(id)
}

// RequirementWithin returns the point that data no older than maxAge must cover.
// ok is false when the primary's position is not known for that time.
func (g *Group) RequirementWithin(maxAge time.Duration, now time.Time) (r routing.Requirement, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.RequirementWithin(maxAge, now)
}

// LatestSample returns the latest known position of the primary and the time at
// which its query was sent.
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

// ObserveReplica records a replica's point, received at time at.
func (g *Group) ObserveReplica(id topo.UpstreamID, p topo.Point, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ObserveReplica(id, p, at)
}
