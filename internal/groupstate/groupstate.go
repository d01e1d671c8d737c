// Package groupstate holds what an entry instance has learned of each database
// group from its own requests: positions, answer times, and the gates to the
// group's upstreams.
package groupstate

import (
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/pool"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/gate"
)

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
			set:       gs,
			tracker:   routing.NewTracker(),
			upstreams: map[topo.UpstreamID]*upstream{},
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

	mu        sync.Mutex
	tracker   *routing.Tracker
	upstreams map[topo.UpstreamID]*upstream
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
