package groupstate

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/pace"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// newcomerAfter is the time after the first replica of a group from which an
// upstream that appears counts as just started. Before, it is this instance that
// has just started.
const newcomerAfter = 5 * time.Second

// paced is the pace of an upstream and what its restarts are derived from.
type paced struct {
	pace.Pace
	// role, incarnation and seq are those of the latest announcement; incarnation
	// is zero before the first.
	role             topo.Role
	incarnation, seq uint64
	unavailable      bool
}

// announced restarts the pace if the announcement shows a start or a promotion.
// newcomer means that the group's other upstreams have been known for some time.
func (p *paced) announced(a topo.Announcement, newcomer bool, now time.Time) {
	first := p.incarnation == 0
	switch {
	case a.Incarnation == 0: // made up from a lease, without an announcement
		return
	case a.Incarnation < p.incarnation || a.Incarnation == p.incarnation && a.Seq < p.seq:
		return // work that is held back still has an older announcement
	case first && (newcomer || a.ColdLeft > 0), !first && a.Incarnation > p.incarnation:
		p.Restart(pace.Started, a.ColdLeft, now)
	case p.role == topo.RoleReplica && a.Role == topo.RolePrimary:
		p.Restart(pace.Promoted, a.ColdLeft, now)
	case a.Seq > p.seq:
		p.Hint(a.ColdLeft, now)
	}
	p.role, p.incarnation, p.seq = a.Role, a.Incarnation, a.Seq
}

// Pace returns the fraction of its usual work that the upstream may be sent, and the
// change of its state since the last call, if there is one.
func (g *Group) Pace(a topo.Announcement, now time.Time) (value float64, change pace.Change, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &g.upstream(a.ID).paced
	p.announced(a, !g.firstReplica.IsZero() && now.Sub(g.firstReplica) > newcomerAfter, now)
	if g.firstReplica.IsZero() && a.Role == topo.RoleReplica {
		g.firstReplica = now
	}
	if p.unavailable {
		p.unavailable = false
		p.Restart(pace.Recovered, a.ColdLeft, now)
	}
	change, changed = p.TakeChange(now)
	return p.Value(now), change, changed
}

// ObserveUnavailable records that the upstream can't be reached. Its pace restarts
// when it is next considered for work.
func (g *Group) ObserveUnavailable(id topo.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.upstream(id).paced.unavailable = true
}

// HoldForPace reports whether work that arrived the given time ago, of a service with
// the target, must wait for the upstream's pace. Only work of the least urgent rank
// waits, and only for a part of its target.
func (g *Group) HoldForPace(id topo.UpstreamID, h admission.Hold, waited, target time.Duration, now time.Time) bool {
	limit := time.Duration(pace.MaxHoldShare * float64(target))
	if h.UrgentTarget <= 0 || contract.ClampRank(h.Rank) != contract.Ranks || waited >= limit {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream(id).paced.HoldBack(h.Interval(), now)
}

// paceValue returns the upstream's pace.
func (g *Group) paceValue(id topo.UpstreamID, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream(id).paced.Value(now)
}
