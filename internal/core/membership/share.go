package membership

import "github.com/cicadacove/cicadacove/internal/core/ctlstate"

// equalShare is the share of a resource that is divided equally, so that an
// instance whose callers have just connected can serve them.
const equalShare = 0.5

// Share returns a member's share of a resource that the live members share:
// half of it is divided equally, half in proportion to the callers that each
// member serves. The shares of the live members add up to 1. A member that is
// not live gets the share of one additional member.
func Share(k ctlstate.MemberKey, sessions map[ctlstate.MemberKey]int) float64 {
	total := 0
	for _, n := range sessions {
		total += n
	}
	members := len(sessions)
	if _, live := sessions[k]; !live {
		members++
	}
	equal := 1 / float64(members)
	if total == 0 {
		return equal
	}
	return equalShare*equal + (1-equalShare)*float64(sessions[k])/float64(total)
}
