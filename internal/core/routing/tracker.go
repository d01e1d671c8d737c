// Package routing chooses the upstream that serves a read.
//
// Two points decide whether a replica can serve a read: the session's token, and
// the point that the primary had reached within the service's tolerated age. A
// replica whose log covers both can serve it. The tracked position of a replica
// is only a hint: the driver verifies it on the connection that serves the read
// (Decision.Require) before it forwards the answer.
//
// The package is pure: no I/O, no clock. Time is an argument.
package routing

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// minSampleInterval is the shortest time between two kept samples of the
	// primary's position.
	minSampleInterval = 10 * time.Millisecond
	// maxSamples bounds the samples kept for one group.
	maxSamples = 512
	// lagWeight is the weight of a new observation in the moving average
	// of a replica's lag.
	lagWeight = 0.2
)

// sample records that everything committed before sentAt lies at or before
// point.
type sample struct {
	sentAt time.Time
	point  topo.Point
}

type replica struct {
	point topo.Point
	at    time.Time
	lag   time.Duration
	// lagSampleAt is the send time of the newest sample that lag includes.
	lagSampleAt time.Time
}

// Tracker tracks the positions of the primary and the replicas of one group.
type Tracker struct {
	samples  []sample
	replicas map[topo.UpstreamID]replica
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{replicas: map[topo.UpstreamID]replica{}}
}

// ObservePrimary records the primary's point from the reply to a request that was
// sent at sentAt.
func (t *Tracker) ObservePrimary(point topo.Point, sentAt time.Time) {
	if n := len(t.samples); n > 0 {
		last := t.samples[n-1]
		if point.Compare(last.point) < 0 || sentAt.Sub(last.sentAt) < minSampleInterval {
			return
		}
	}
	t.samples = append(t.samples, sample{sentAt, point})
	if len(t.samples) > maxSamples {
		t.samples = t.samples[len(t.samples)-maxSamples:]
	}
}

// ObserveReplica records a replica's point observed at time at. A later
// observation replaces an earlier one, even if the position has moved back.
func (t *Tracker) ObserveReplica(id topo.UpstreamID, point topo.Point, at time.Time) {
	r := t.replicas[id]
	if at.Before(r.at) {
		return
	}
	r.point, r.at = point, at
	if s, ok := t.newestCovered(point); ok && s.sentAt.After(r.lagSampleAt) {
		r.lagSampleAt = s.sentAt
		r.lag += time.Duration(lagWeight * float64(at.Sub(s.sentAt)-r.lag))
	}
	t.replicas[id] = r
}

// Point returns the last known point of a replica.
func (t *Tracker) Point(id topo.UpstreamID) (point topo.Point, at time.Time) {
	r := t.replicas[id]
	return r.point, r.at
}

// Lag returns the usual replication lag of a replica.
func (t *Tracker) Lag(id topo.UpstreamID) time.Duration { return t.replicas[id].lag }

// PointWithin returns the point that data no older than maxAge must cover. ok is
// false if no position of the primary within maxAge is known.
func (t *Tracker) PointWithin(maxAge time.Duration, now time.Time) (point topo.Point, ok bool) {
	r, ok := t.RequirementWithin(maxAge, now)
	return r.Point, ok
}

// RequirementWithin is like PointWithin and also returns the age of the point.
func (t *Tracker) RequirementWithin(maxAge time.Duration, now time.Time) (r Requirement, ok bool) {
	oldest := now.Add(-maxAge)
	for _, s := range t.samples {
		if !s.sentAt.Before(oldest) {
			return Requirement{s.point, now.Sub(s.sentAt)}, true
		}
	}
	return Requirement{}, false
}

// LatestSample returns the newest sample of the primary's position and the time
// at which its request was sent.
func (t *Tracker) LatestSample() (p topo.Point, sentAt time.Time, known bool) {
	if len(t.samples) == 0 {
		return topo.Point{}, time.Time{}, false
	}
	last := t.samples[len(t.samples)-1]
	return last.point, last.sentAt, true
}

// LatestSampleSentAt returns when the request for the newest sample of the primary
// was sent.
func (t *Tracker) LatestSampleSentAt() time.Time {
	if len(t.samples) == 0 {
		return time.Time{}
	}
	return t.samples[len(t.samples)-1].sentAt
}

func (t *Tracker) newestCovered(point topo.Point) (sample, bool) {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if topo.Covers(point, t.samples[i].point) {
			return t.samples[i], true
		}
	}
	return sample{}, false
}
