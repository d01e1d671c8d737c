package lease

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Granter tracks, at the leader, which members may hold a lease. It is not safe
// for concurrent use.
type Granter struct {
	timing Timing
	// electedAt is when this leader was elected. The leases that earlier leaders
	// granted started with renewals that arrived before electedAt.
	electedAt time.Time
	grants    map[ctlstate.MemberKey]time.Time
	released  map[releasedKey]struct{}
	closed    map[ctlstate.MemberKey]struct{}
}

type releasedKey struct {
	member ctlstate.MemberKey
	group  topo.GroupID
	term   topo.Term
}

// NewGranter returns the granter of a leader that was elected at since.
func NewGranter(timing Timing, since time.Time) *Granter {
	return &Granter{
		timing:    timing,
		electedAt: since,
		grants:    map[ctlstate.MemberKey]time.Time{},
		released:  map[releasedKey]struct{}{},
		closed:    map[ctlstate.MemberKey]struct{}{},
	}
}

// Grant records the grant of a renewal that arrived at arrival. The caller must
// have confirmed its leadership with a quorum round started after arrival, and
// the reply to the renewal must carry all changes applied until then.
func (g *Granter) Grant(m ctlstate.MemberKey, arrival time.Time) {
	if arrival.After(g.grants[m]) {
		g.grants[m] = arrival
	}
}

// RecordRelease records that the member released its lease on all terms of the
// group up to t.
func (g *Granter) RecordRelease(m ctlstate.MemberKey, id topo.GroupID, t topo.Term) {
	g.released[releasedKey{m, id, t}] = struct{}{}
}

// Closed records that the member closed its lease permanently.
func (g *Granter) Closed(m ctlstate.MemberKey) { g.closed[m] = struct{}{} }

// Forget removes the lease state of a removed member.
func (g *Granter) Forget(m ctlstate.MemberKey) {
	delete(g.grants, m)
	delete(g.closed, m)
	for k := range g.released {
		if k.member == m {
			delete(g.released, k)
		}
	}
}

// ForgetGroup removes the records of released leases on terms of the group up
// to t.
func (g *Granter) ForgetGroup(id topo.GroupID, t topo.Term) {
	for k := range g.released {
		if k.group == id && k.term <= t {
			delete(g.released, k)
		}
	}
}

// Ends returns the time from which the member holds no lease, unless it is
// granted another one.
func (g *Granter) Ends(m ctlstate.MemberKey) time.Time {
	last := g.electedAt
	if t, ok := g.grants[m]; ok && t.After(last) {
		last = t
	}
	return last.Add(g.timing.GranterDuration())
}

// Held reports whether the member may still hold a lease.
func (g *Granter) Held(m ctlstate.MemberKey, now time.Time) bool {
	if _, ok := g.closed[m]; ok {
		return false
	}
	return now.Before(g.Ends(m))
}

// Live reports whether the member has renewed its lease with this leader and
// the lease has not expired.
func (g *Granter) Live(m ctlstate.MemberKey, now time.Time) bool {
	_, granted := g.grants[m]
	return granted && g.Held(m, now)
}

// LastGrant returns the arrival of the member's latest renewal.
func (g *Granter) LastGrant(m ctlstate.MemberKey) (time.Time, bool) {
	t, ok := g.grants[m]
	return t, ok
}

// Drained reports whether no member can acknowledge a write under a term of the
// group up to t. begun is when this leader applied the failover of that term.
// The reply to a renewal that arrived later carried the failover, so that
// renewal did not extend the lease on the group. If the result is false, wait
// is when the last lease ends.
func (g *Granter) Drained(members []ctlstate.MemberKey, id topo.GroupID, t topo.Term, begun, now time.Time) (drained bool, wait time.Time) {
	for _, m := range members {
		if _, ok := g.released[releasedKey{m, id, t}]; ok {
			continue
		}
		if _, ok := g.closed[m]; ok {
			continue
		}
		ends := g.Ends(m)
		if limit := begun.Add(g.timing.GranterDuration()); limit.Before(ends) {
			ends = limit
		}
		if now.Before(ends) && ends.After(wait) {
			wait = ends
		}
	}
	return wait.IsZero(), wait
}
