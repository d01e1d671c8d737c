package membership

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
)

// Leases provides the state of the members' leases. lease.Granter implements it.
type Leases interface {
	// Held reports whether the member may hold a lease.
	Held(m ctlstate.MemberKey, now time.Time) bool
	// Live reports whether the member holds an unexpired lease granted by this
	// leader.
	Live(m ctlstate.MemberKey, now time.Time) bool
	// Ends returns the time from which the member holds no lease.
	Ends(m ctlstate.MemberKey) time.Time
	// LastGrant returns when this leader received the latest renewal.
	LastGrant(m ctlstate.MemberKey) (time.Time, bool)
}

// ClassifyMembers returns the status of the registered members, and the removable
// ones: members without a lease that are superseded, or whose lease ended longer
// than removeAfter ago. A member that an earlier leader counted as live stays live
// for the duration of a lease, so that it can renew it with this leader.
func ClassifyMembers(members []ctlstate.MemberRecord, e ctlstate.Epochs, leases Leases, confirmed map[ctlstate.MemberKey]uint64, now time.Time, removeAfter time.Duration) (candidates []MemberStatus, removable []ctlstate.MemberKey) {
	latest := e.Active.Members
	if e.Next != nil {
		latest = e.Next.Members
	}
	for _, m := range members {
		k := m.Key()
		held := leases.Held(k, now)
		if !held && (m.Superseded || now.After(leases.Ends(k).Add(removeAfter))) {
			removable = append(removable, k)
			continue
		}
		_, renewed := leases.LastGrant(k)
		awaitsRenewal := held && !renewed && slices.Contains(latest, k)
		candidates = append(candidates, MemberStatus{
			Key:       k,
			Live:      !m.Superseded && (awaitsRenewal || leases.Live(k, now)),
			Held:      held,
			Confirmed: confirmed[k],
		})
	}
	return candidates, removable
}
