package membership

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
)

// MemberStatus is the leader's view of a registered member.
type MemberStatus struct {
	Key ctlstate.MemberKey
	// Live means that the member renews its lease and is not superseded.
	Live bool
	// Held means that the member may hold a lease.
	Held bool
	// Confirmed is the highest epoch that the member has confirmed: it uses no
	// earlier one.
	Confirmed uint64
}

// EpochStep is the leader's next step in changing the live view. At most one
// field is set.
type EpochStep struct {
	Prepare  *ctlstate.Epoch
	Activate uint64
}

const (
	// prepareIntervalPerMember and maxPrepareInterval determine how often an epoch
	// is prepared. Each one costs a message to every member, so that the members that
	// join or leave within the interval share one.
	prepareIntervalPerMember = 2 * time.Millisecond
	maxPrepareInterval       = time.Second
)

// PrepareInterval returns the minimum time between the preparation of two epochs
// for the given number of members.
func PrepareInterval(members int) time.Duration {
	return min(time.Duration(members)*prepareIntervalPerMember, maxPrepareInterval)
}

// NextEpochStep compares the live members with the epochs. The leader activates a
// prepared epoch only when no member can use an earlier one: each member has
// confirmed it or holds no lease. sincePrepared is the time since the leader last
// prepared an epoch.
func NextEpochStep(e ctlstate.Epochs, members []MemberStatus, sincePrepared time.Duration) EpochStep {
	latest := e.Active
	if e.Next != nil {
		latest = *e.Next
	}
	live := liveKeys(members)
	if !slices.Equal(live, latest.Members) && sincePrepared < PrepareInterval(len(members)) {
		return EpochStep{}
	}
	if !slices.Equal(live, latest.Members) {
		return EpochStep{Prepare: &ctlstate.Epoch{Number: latest.Number + 1, Members: live}}
	}
	if e.Next == nil {
		return EpochStep{}
	}
	for _, m := range members {
		if m.Held && m.Confirmed < e.Next.Number {
			return EpochStep{}
		}
	}
	return EpochStep{Activate: e.Next.Number}
}

// liveKeys returns the keys of the live members, in the order of members.
func liveKeys(members []MemberStatus) []ctlstate.MemberKey {
	var live []ctlstate.MemberKey
	for _, m := range members {
		if m.Live {
			live = append(live, m.Key)
		}
	}
	return live
}

// UsableEpoch reports whether a member that has received e and holds a lease may
// use the active epoch: the epoch includes the member, and no next epoch is
// prepared.
func UsableEpoch(e ctlstate.Epochs, self ctlstate.MemberKey) bool {
	return e.Next == nil && slices.Contains(e.Active.Members, self)
}

// ConfirmedEpoch returns the epoch that a member confirms once it has received e.
// From then on it uses no earlier one.
func ConfirmedEpoch(e ctlstate.Epochs) uint64 {
	if e.Next != nil {
		return e.Next.Number
	}
	return e.Active.Number
}
