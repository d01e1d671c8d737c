// Package groupstate holds what an entry instance has learned of each database
// group from its own requests: positions, answer times, and the gates to the
// group's upstreams.
package groupstate

import (
	"maps"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/pool"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/gate"
)

// answerWeight is the weight of a new observation in the moving average of an
// upstream's answer time.
const answerWeight = 0.1

// activeFor is how long after its last use a group counts as in use.
const activeFor = 2 * time.Second

// sampleShare is the part of the lowest tolerated age after which the
// primary's position is asked for again.
const sampleShare = 4

// Shares says which part of each upstream's slots this instance may use.
type Shares interface {
	// Use tells that the instance has work for the upstream.
	Use(a topo.Announcement)
	// Slots and Average are the slots held now and over time; zero means all.
	Slots(id topo.UpstreamID) int
	Average(id topo.UpstreamID) float64
	// Poke tells that a request waits.
	Poke(id topo.UpstreamID)
}

// New returns a set that knows nothing.
func New(policy admission.Policy, shares Shares) *Set {
	return &Set{admission: policy, shares: shares}
}

// Set holds what this instance has learned of each group.
type Set struct {
	admission admission.Policy
	shares    Shares

	mu     sync.Mutex
	groups map[topo.GroupID]*Group
	gates  map[topo.UpstreamID]*gate.Gate
}

// GateOf returns the gate to an upstream that is in use.
func (gs *Set) GateOf(id topo.UpstreamID) (*gate.Gate, bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gt, ok := gs.gates[id]
	return gt, ok
}

func (gs *Set) noteGate(id topo.UpstreamID, gt *gate.Gate) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.gates == nil {
		gs.gates = map[topo.UpstreamID]*gate.Gate{}
	}
	gs.gates[id] = gt
}

// Get returns the group, made at its first use.
func (gs *Set) Get(id topo.GroupID) *Group {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.groups == nil {
		gs.groups = map[topo.GroupID]*Group{}
	}
	g, ok := gs.groups[id]
	if !ok {
		g = &Group{
			set:     gs,
			tracker: routing.NewTracker(),
			gates:   map[topo.UpstreamID]*gate.Gate{},
			answer:  map[topo.UpstreamID]time.Duration{},
			slots:   map[topo.UpstreamID]int{},
			failure: map[topo.UpstreamID]*routing.FailureRate{},
			queues:  map[topo.UpstreamID]*admission.Congestion{},
		}
		gs.groups[id] = g
	}
	return g
}

// Each calls f for every group that has been used.
func (gs *Set) Each(f func(id topo.GroupID, g *Group)) {
	gs.mu.Lock()
	groups := make(map[topo.GroupID]*Group, len(gs.groups))
	for id, g := range gs.groups {
		groups[id] = g
	}
	gs.mu.Unlock()
	for id, g := range groups {
		f(id, g)
	}
}

// Group is what this instance has learned of one group: positions, answer
// times, and the gates to its upstreams.
type Group struct {
	set *Set

	mu      sync.Mutex
	tracker *routing.Tracker
	gates   map[topo.UpstreamID]*gate.Gate
	answer  map[topo.UpstreamID]time.Duration
	failure map[topo.UpstreamID]*routing.FailureRate
	queues  map[topo.UpstreamID]*admission.Congestion
	// slots is what each upstream has announced, zero before it has.
	slots map[topo.UpstreamID]int
	// lastUse is the time of the last request, lastRead and leastAge
	// describe the reads that tolerate an age.
	lastUse  time.Time
	lastRead time.Time
	leastAge time.Duration
	sampling bool
	// sampled is closed at the next sample; nil while nobody waits.
	sampled chan struct{}
	// tail is what a write takes after it has given its slot back: the
	// confirmation and the answer. It is the latest peak, which fades.
	tail time.Duration
}

const (
	// tailFade is the part of the peak that each write leaves.
	tailFade = 0.99
	// targetSlack is kept free of each target for what nothing measures.
	targetSlack = 10 * time.Millisecond
)

// NoteTail records the time of a write after its slot.
func (g *Group) NoteTail(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tail = max(took, time.Duration(tailFade*float64(g.tail)))
}

// SlotTarget returns the part of a service's target in which the work at the
// upstream must end, so that the rest fits too.
func (g *Group) SlotTarget(s contract.Service) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := s.Target - targetSlack
	if s.Writes {
		left -= g.tail
	}
	return max(left, s.Target/2)
}

// NoteUse records a request.
func (g *Group) NoteUse(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUse = now
}

// NoteRead records a read that tolerates maxAge.
func (g *Group) NoteRead(maxAge time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastRead) > activeFor || maxAge < g.leastAge {
		g.leastAge = maxAge
	}
	g.lastRead = now
}

// Active reports whether the group was used lately.
func (g *Group) Active(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.lastUse) < activeFor
}

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

// Gate returns the gate to an upstream, made at its first use.
func (g *Group) Gate(a topo.Announcement) *gate.Gate {
	g.mu.Lock()
	gt, ok := g.gates[a.ID]
	if !ok {
		gt = gate.New(gate.Options{
			Slots: max(a.Slots, 1), Policy: g.set.admission,
			Pressure: func() { g.set.shares.Poke(a.ID) },
		})
		g.gates[a.ID] = gt
	}
	announced := ok && a.Slots > 0 && g.slots[a.ID] != a.Slots
	g.slots[a.ID] = max(a.Slots, g.slots[a.ID])
	g.mu.Unlock()
	if announced && g.set.shares.Slots(a.ID) == 0 {
		gt.SetSlots(a.Slots)
	}
	if !ok {
		g.set.noteGate(a.ID, gt)
		g.set.shares.Use(a)
		if n := g.set.shares.Slots(a.ID); n > 0 {
			gt.SetShare(n, g.set.shares.Average(a.ID))
		}
	}
	return gt
}

// AllGates returns the gates that were made.
func (g *Group) AllGates() map[topo.UpstreamID]*gate.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.gates)
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

// ObserveAnswer records how long an upstream took to answer.
func (g *Group) ObserveAnswer(id topo.UpstreamID, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, ok := g.answer[id]
	if !ok {
		g.answer[id] = took
		return
	}
	g.answer[id] = old + time.Duration(answerWeight*float64(took-old))
}

// ObserveTime records how long an upstream took for a statement that takes
// least without a queue.
func (g *Group) ObserveTime(id topo.UpstreamID, took, least time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue(id).Observe(took, least, now)
}

// Hold reports whether work for an upstream is to wait at this instance.
func (g *Group) Hold(id topo.UpstreamID, h admission.Hold, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue(id).Hold(h, now)
}

// QueueWait returns the mean wait of statements inside an upstream.
func (g *Group) QueueWait(id topo.UpstreamID, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue(id).Wait(now)
}

// queue needs the lock.
func (g *Group) queue(id topo.UpstreamID) *admission.Congestion {
	q, ok := g.queues[id]
	if !ok {
		q = &admission.Congestion{}
		g.queues[id] = q
	}
	return q
}

// ObserveOutcome records whether an upstream served a statement. changed tells
// that it has begun or ceased to fail most of them.
func (g *Group) ObserveOutcome(id topo.UpstreamID, served bool, now time.Time) (rate float64, failing, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.failure[id]
	if !ok {
		f = &routing.FailureRate{}
		g.failure[id] = f
	}
	changed = f.Add(served, now)
	return f.Rate(now), f.Failing(), changed
}

// FailureRate returns the share of an upstream's latest statements that it did
// not serve.
func (g *Group) FailureRate(id topo.UpstreamID, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f, ok := g.failure[id]; ok {
		return f.Rate(now)
	}
	return 0
}

// Candidate describes an upstream to the routing decision. A position learned
// from an answer outweighs an older one from an announcement.
func (g *Group) Candidate(a topo.Announcement, heardAt time.Time, rank int) routing.Candidate {
	gt := g.Gate(a)
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, at := g.tracker.Point(a.ID); heardAt.After(at) {
		g.tracker.ObserveReplica(a.ID, a.Point, heardAt)
	}
	point, _ := g.tracker.Point(a.ID)
	return routing.Candidate{
		ID:        a.ID,
		Point:     point,
		Lag:       g.tracker.Lag(a.ID),
		RoundTrip: g.answer[a.ID],
		QueueWait: gt.Load().Wait[rank],
	}
}

// Choose runs the routing decision under the group's lock.
func (g *Group) Choose(p routing.Policy, now time.Time, state topo.Group, r routing.Read, replicas []routing.Candidate, primary *routing.Candidate) routing.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return routing.Choose(p, now, state, g.tracker, r, replicas, primary)
}

// Gauges are numbers about the present state of an upstream at this instance.
type Gauges struct {
	Upstream topo.UpstreamID
	Group    topo.GroupID
	Load     gate.Load
	Pool     pool.Stats
	Lag      time.Duration
}

// Gauges returns the numbers of all upstreams in use. connections returns
// those of an upstream's pool.
func (gs *Set) Gauges(connections func(topo.UpstreamID) pool.Stats) []Gauges {
	var out []Gauges
	gs.Each(func(id topo.GroupID, g *Group) {
		for up, gt := range g.AllGates() {
			out = append(out, Gauges{Upstream: up, Group: id, Load: gt.Load(), Pool: connections(up), Lag: g.Lag(up)})
		}
	})
	return out
}
