package engine

import (
	"maps"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/relay"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// relayPlan is the assignment of holders to upstreams, computed from the live members,
// the known upstreams and the configuration.
type relayPlan struct {
	catalog *catalog.Catalog
	// relayed holds the groups whose statements are relayed.
	relayed map[topo.GroupID]bool
	holders map[topo.UpstreamID]holderSet
	// upstreams are the known upstreams of these groups.
	upstreams map[topo.UpstreamID]topo.Announcement
}

// holderSet are the holders of one upstream.
type holderSet struct {
	members []ctlstate.Member
	// holdsSelf means that this instance is one of them.
	holdsSelf bool
	// connections and slots are the limits of each holder.
	connections, slots int
}

// relays decides through which instances statements are sent.
type relays struct {
	mu   sync.Mutex
	plan relayPlan
	// changed is closed when the plan may be out of date.
	changed <-chan struct{}
	health  map[topo.InstanceID]*relay.Health
	// blocked holds until when a holder gets no statements for an upstream that did not
	// answer it.
	blocked map[holderOfUpstream]time.Time

	counters relayCounters
}

type holderOfUpstream struct {
	holder   topo.InstanceID
	upstream topo.UpstreamID
}

// blockTime is how long a holder gets no statements for an upstream that did not answer it.
// Another holder may reach the upstream.
const blockTime = 500 * time.Millisecond

// updateRelayPlan computes the plan again if the members, the upstreams or the
// configuration may have changed.
func (e *Engine[C]) updateRelayPlan() {
	if e.opts.Peers.Members == nil {
		return
	}
	c := e.opts.Catalog()
	if c == nil || !e.relays.outdated(c) {
		return
	}
	changed := e.opts.Control.Changed()
	plan := e.newRelayPlan(c)
	e.relays.mu.Lock()
	defer e.relays.mu.Unlock()
	e.relays.plan, e.relays.changed = plan, changed
}

// outdated reports whether the plan must be computed again for the configuration.
func (r *relays) outdated(c *catalog.Catalog) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil || r.plan.catalog != c {
		return true
	}
	select {
	case <-r.changed:
		return true
	default:
		return false
	}
}

func (e *Engine[C]) newRelayPlan(c *catalog.Catalog) relayPlan {
	members := e.opts.Peers.Members()
	instances, upstreams := map[topo.Zone]int{}, map[topo.Zone]int{}
	for _, m := range members {
		instances[m.Zone]++
	}
	known := map[topo.GroupID][]topo.Announcement{}
	for id := range c.Groups {
		for _, u := range e.opts.Control.Upstreams(id) {
			known[id] = append(known[id], u.Announcement)
			upstreams[u.Zone]++
		}
	}
	plan := relayPlan{
		catalog: c, relayed: map[topo.GroupID]bool{},
		holders: map[topo.UpstreamID]holderSet{}, upstreams: map[topo.UpstreamID]topo.Announcement{},
	}
	for id, list := range known {
		g := c.Groups[id]
		d := relay.Density{Connections: g.Connections, Instances: len(members), Organisations: c.Organisations()}
		if !relay.Needed(d, e.relaysGroup(id)) {
			continue
		}
		plan.relayed[id] = true
		for _, u := range list {
			plan.upstreams[u.ID] = u
			n := relay.HolderCount(instances[u.Zone], upstreams[u.Zone])
			plan.holders[u.ID] = e.newHolderSet(u, g.Connections, relay.Holders(u.ID, u.Zone, members, n))
		}
	}
	return plan
}

func (e *Engine[C]) newHolderSet(u topo.Announcement, connections int, members []ctlstate.Member) holderSet {
	set := holderSet{
		members: members, connections: relay.ConnectionLimit(connections, len(members)),
		slots: relay.Slots(max(u.Slots, 1), len(members)),
	}
	for _, m := range members {
		set.holdsSelf = set.holdsSelf || m.ID == e.opts.Self
	}
	return set
}

// knownUpstream returns the announcement that this instance has of an upstream whose
// statements are relayed.
func (e *Engine[C]) knownUpstream(id topo.UpstreamID) (topo.Announcement, bool) {
	e.relays.mu.Lock()
	defer e.relays.mu.Unlock()
	a, ok := e.relays.plan.upstreams[id]
	return a, ok
}

func (e *Engine[C]) relaysGroup(id topo.GroupID) bool {
	e.relays.mu.Lock()
	defer e.relays.mu.Unlock()
	return e.relays.plan.relayed[id]
}

// holdersOf returns the holders of an upstream. ok is false if its statements are not
// relayed.
func (e *Engine[C]) holdersOf(id topo.UpstreamID) (set holderSet, ok bool) {
	e.relays.mu.Lock()
	defer e.relays.mu.Unlock()
	set, ok = e.relays.plan.holders[id]
	return set, ok && len(set.members) > 0
}

// relayCandidates returns the holders to which a statement for an upstream may be
// relayed, in the order in which they are tried. It is empty if the statement runs on a
// connection of this instance.
func (e *Engine[C]) relayCandidates(id topo.UpstreamID, organisation string) []ctlstate.Member {
	set, ok := e.holdersOf(id)
	if !ok || set.holdsSelf && organisation == "" {
		return nil
	}
	key := organisation
	if key == "" {
		key = string(e.opts.Self)
	}
	var candidates []ctlstate.Member
	for _, m := range relay.Order(set.members, key) {
		if m.ID == e.opts.Self {
			break
		}
		if e.relays.usable(holderOfUpstream{m.ID, id}, clock.Now()) {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// usable reports whether a holder may get a statement for an upstream now.
func (r *relays) usable(pair holderOfUpstream, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healthOf(pair.holder).Usable(now) && !now.Before(r.blocked[pair])
}

// block keeps statements for an upstream away from a holder for a short time.
func (r *relays) block(holder topo.InstanceID, upstream topo.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked == nil {
		r.blocked = map[holderOfUpstream]time.Time{}
	}
	now := clock.Now()
	maps.DeleteFunc(r.blocked, func(_ holderOfUpstream, until time.Time) bool { return now.After(until) })
	r.blocked[holderOfUpstream{holder, upstream}] = now.Add(blockTime)
}

// record updates the health of a holder.
func (r *relays) record(id topo.InstanceID, event func(*relay.Health, time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event(r.healthOf(id), clock.Now())
}

// healthOf returns the health of a holder. The caller holds r.mu.
func (r *relays) healthOf(id topo.InstanceID) *relay.Health {
	h, ok := r.health[id]
	if !ok {
		if r.health == nil {
			r.health = map[topo.InstanceID]*relay.Health{}
		}
		h = &relay.Health{}
		r.health[id] = h
	}
	return h
}
