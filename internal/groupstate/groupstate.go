// Package groupstate holds an entry instance's state of each database group as
// observed from its own requests: positions, answer times, and the gates to the
// group's upstreams.
package groupstate

import (
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/pool"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/gate"
)

// activeWindow is how long after its last use a group counts as active.
const activeWindow = 2 * time.Second

// sampleDivisor divides the lowest maximum age; the result is the interval after
// which the primary's position is queried again.
const sampleDivisor = 4

// Shares defines the share of each upstream's slots that this instance may use.
type Shares interface {
	// Use declares that the instance uses the upstream.
	Use(a topo.Announcement)
	// Slots and Average return the number of slots that the instance holds now
	// and on average; zero means all slots of the upstream.
	Slots(id topo.UpstreamID) int
	Average(id topo.UpstreamID) float64
	// DemandChanged reports a change of the demand, such as a request that waits.
	DemandChanged(id topo.UpstreamID)
}

// New returns an empty set whose gates use the policy and the shares.
func New(policy admission.Policy, shares Shares) *Set {
	return &Set{admission: policy, shares: shares}
}

// Set holds the state of all groups.
type Set struct {
	admission admission.Policy
	shares    Shares

	mu     sync.Mutex
	groups map[topo.GroupID]*Group
	gates  map[topo.UpstreamID]*gate.Gate
}

// GateOf returns the gate to an upstream, if one exists.
func (gs *Set) GateOf(id topo.UpstreamID) (*gate.Gate, bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gt, ok := gs.gates[id]
	return gt, ok
}

func (gs *Set) addGate(id topo.UpstreamID, gt *gate.Gate) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.gates == nil {
		gs.gates = map[topo.UpstreamID]*gate.Gate{}
	}
	gs.gates[id] = gt
}

// Get returns the group and creates it at its first use.
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

// Group is the observed state of one group: positions, answer times, and the
// gates to its upstreams.
type Group struct {
	set *Set

	mu        sync.Mutex
	tracker   *routing.Tracker
	upstreams map[topo.UpstreamID]*upstream
	// lastUse is the time of the last request, lastRead that of the last read
	// that accepts stale data, minMaxAge the lowest maximum age of such reads.
	lastUse   time.Time
	lastRead  time.Time
	minMaxAge time.Duration
	sampling  bool
	// positionMissing means that the primary was last asked for its position and did not report it.
	positionMissing bool
	// sampled is closed at the next sample; nil while there is no waiter.
	sampled chan struct{}
	// postSlotTime is the time that a write takes after the release of its
	// slot, for confirmation and answer. It is a decaying maximum.
	postSlotTime time.Duration
	// firstReplica is when a replica of the group was first considered for work.
	firstReplica time.Time
}

const (
	// postSlotDecay is the factor by which each write reduces the maximum.
	postSlotDecay = 0.99
	// targetSlack is reserved in each target for time that is not measured.
	targetSlack = 10 * time.Millisecond
)

// ObservePostSlotTime records the time that a write took after the release of its
// slot.
func (g *Group) ObservePostSlotTime(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.postSlotTime = max(took, time.Duration(postSlotDecay*float64(g.postSlotTime)))
}

// SlotTarget returns the time within which the work at the upstream must end, so
// that the whole request meets the service's target.
func (g *Group) SlotTarget(s contract.Service) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := s.Target - targetSlack
	if s.Writes {
		left -= g.postSlotTime
	}
	return max(left, s.Target/2)
}

// RecordUse records a request.
func (g *Group) RecordUse(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUse = now
}

// RecordRead records a read that accepts data up to maxAge old. It ignores one that
// accepts only current data, for which no position of the primary is queried.
func (g *Group) RecordRead(maxAge time.Duration, now time.Time) {
	if maxAge <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastRead) > activeWindow || maxAge < g.minMaxAge {
		g.minMaxAge = maxAge
	}
	g.lastRead = now
}

// Active reports whether the group was used recently.
func (g *Group) Active(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.lastUse) < activeWindow
}

// Choose runs the routing decision under the group's lock.
func (g *Group) Choose(p routing.Policy, now time.Time, state topo.Group, r routing.Read, replicas []routing.Candidate, primary *routing.Candidate) routing.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return routing.Choose(p, now, state, g.tracker, r, replicas, primary)
}

// Gauges describes the current state of an upstream at this instance.
type Gauges struct {
	Upstream topo.UpstreamID
	Group    topo.GroupID
	Load     gate.Load
	Pool     pool.Stats
	Lag      time.Duration
	// Pace is the fraction of its usual work that the upstream may be sent.
	Pace float64
}

// Gauges returns the gauges of all upstreams in use. connections returns the
// stats of an upstream's pool.
func (gs *Set) Gauges(connections func(topo.UpstreamID) pool.Stats) []Gauges {
	var out []Gauges
	gs.Each(func(id topo.GroupID, g *Group) {
		for up, gt := range g.Gates() {
			out = append(out, Gauges{Upstream: up, Group: id, Load: gt.Load(), Pool: connections(up), Lag: g.Lag(up), Pace: g.paceValue(up, clock.Now())})
		}
	})
	return out
}
