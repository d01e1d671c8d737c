package groupstate

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/pace"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/gate"
)

// answerWeight is the weight of a new observation in the exponential moving
// average of an upstream's answer time.
const answerWeight = 0.1

// upstream is the observed state of one upstream.
type upstream struct {
	// gate is nil before its first use.
	gate *gate.Gate
	// slots is the number of slots that the upstream has announced, zero before
	// its first announcement.
	slots int
	// answerTime is the mean answer time, zero before the first answer.
	answerTime time.Duration
	failures   routing.FailureRate
	queue      admission.Congestion
	paced      paced
}

// upstream returns the state of an upstream. The caller holds g.mu.
func (g *Group) upstream(id topo.UpstreamID) *upstream {
	u, ok := g.upstreams[id]
	if !ok {
		u = &upstream{}
		g.upstreams[id] = u
	}
	return u
}

// Gate returns the gate to an upstream and creates it at its first use.
func (g *Group) Gate(a topo.Announcement) *gate.Gate {
	gt, created, announced := g.gateFor(a)
	if announced && g.set.shares.Slots(a.ID) == 0 {
		gt.SetSlots(a.Slots)
	}
	if created {
		g.set.addGate(a.ID, gt)
		g.set.shares.Use(a)
		if n := g.set.shares.Slots(a.ID); n > 0 {
			gt.SetShare(n, g.set.shares.Average(a.ID))
		}
	}
	return gt
}

// gateFor returns the gate to an upstream, whether this call has created it, and
// whether the upstream announces another number of slots than before.
func (g *Group) gateFor(a topo.Announcement) (gt *gate.Gate, created, announced bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstream(a.ID)
	created = u.gate == nil
	if created {
		u.gate = gate.New(gate.Options{
			Slots: max(a.Slots, 1), Policy: g.set.admission,
			OnDemandChange: func() { g.set.shares.DemandChanged(a.ID) },
		})
	}
	announced = !created && a.Slots > 0 && u.slots != a.Slots
	u.slots = max(a.Slots, u.slots)
	return u.gate, created, announced
}

// Gates returns the gates that exist.
func (g *Group) Gates() map[topo.UpstreamID]*gate.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gates := make(map[topo.UpstreamID]*gate.Gate, len(g.upstreams))
	for id, u := range g.upstreams {
		if u.gate != nil {
			gates[id] = u.gate
		}
	}
	return gates
}

// ObserveAnswer records how long an upstream took to answer.
func (g *Group) ObserveAnswer(id topo.UpstreamID, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstream(id)
	if u.answerTime == 0 {
		u.answerTime = took
		return
	}
	u.answerTime += time.Duration(answerWeight * float64(took-u.answerTime))
}

// ObserveTime records how long an upstream took for a statement whose service
// time without queueing is least.
func (g *Group) ObserveTime(id topo.UpstreamID, took, least time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstream(id)
	u.queue.Observe(took, least, now)
	u.paced.Observe(took, least, now)
}

// ShouldHold reports whether work for an upstream must wait at this instance, and
// the mean wait in the upstream's queue.
func (g *Group) ShouldHold(id topo.UpstreamID, h admission.Hold, now time.Time) (held bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.upstream(id).queue
	return q.Hold(h, now), q.Wait(now)
}

// ObserveOutcome records whether an upstream served a statement. changed reports
// whether it has started or stopped failing most statements.
func (g *Group) ObserveOutcome(id topo.UpstreamID, served bool, now time.Time) (rate float64, failing, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstream(id)
	f := &u.failures
	changed = f.Add(served, now)
	if !served {
		u.paced.Refused(now)
	}
	if changed && f.Failing() {
		u.paced.Restart(pace.Failed, 0, now)
	}
	return f.Rate(now), f.Failing(), changed
}

// FailureRate returns the fraction of an upstream's recent statements that it
// did not serve.
func (g *Group) FailureRate(id topo.UpstreamID, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream(id).failures.Rate(now)
}

// Candidate describes an upstream for the routing decision. receivedAt is when its
// announcement arrived; the later of the positions from answers and announcements
// counts.
func (g *Group) Candidate(a topo.Announcement, receivedAt time.Time, rank int) routing.Candidate {
	gt := g.Gate(a)
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, at := g.tracker.Point(a.ID); receivedAt.After(at) {
		g.tracker.ObserveReplica(a.ID, a.Point, receivedAt)
	}
	point, _ := g.tracker.Point(a.ID)
	return routing.Candidate{
		ID:        a.ID,
		Point:     point,
		Lag:       g.tracker.Lag(a.ID),
		RoundTrip: g.upstream(a.ID).answerTime,
		QueueWait: gt.Wait(rank),
	}
}
