package node

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// writeGaps measures, for each group, the periods in which this instance cannot
// acknowledge writes. The time before the first lease does not count.
type writeGaps struct {
	since map[topo.GroupID]time.Time // zero while this instance can acknowledge writes
}

// observe records whether writes of the group may be acknowledged now. When a
// gap ends it returns the length of the gap.
func (g *writeGaps) observe(id topo.GroupID, writable bool, now time.Time) (gap time.Duration, ended bool) {
	began, known := g.since[id]
	switch {
	case writable:
		g.since[id] = time.Time{}
		return now.Sub(began), known && !began.IsZero()
	case known && began.IsZero():
		g.since[id] = now
	}
	return 0, false
}

func (n *Node) recordWriteGaps(gaps *writeGaps, now time.Time) {
	for _, id := range groupsOf(n.Agent.Config()) {
		_, writable := n.Agent.Authority(id)
		if gap, ended := gaps.observe(id, writable, now); ended {
			n.instruments().WriteGap(id, gap)
		}
	}
}

// recordReplicaLags records by how many transactions each replica is behind
// its primary, according to their latest announcements.
func (n *Node) recordReplicaLags() {
	for _, id := range groupsOf(n.Agent.Config()) {
		state, ok := n.Agent.Group(id)
		if !ok {
			continue
		}
		upstreams := n.Agent.Upstreams(id)
		var primaryPosition topo.Position
		for _, u := range upstreams {
			if u.ID == state.Primary {
				primaryPosition = u.Point.Position
			}
		}
		for _, u := range upstreams {
			if u.ID != state.Primary && primaryPosition > 0 {
				n.instruments().ReplicaLag(u.ID, uint64(max(primaryPosition, u.Point.Position)-u.Point.Position))
			}
		}
	}
}
