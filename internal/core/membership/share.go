package membership

import "github.com/cicadacove/cicadacove/internal/core/ctlstate"

// equalPart is the part of a shared resource that is divided equally, so that
// an instance whose callers have just arrived can serve them.
const equalPart = 0.5

// Share returns a member's part of what the live members share: half in equal
// parts, half by the callers that each serves. The parts add up to 1. A member
// that is not live gets what one more member would.
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
	return equalPart*equal + (1-equalPart)*float64(sessions[k])/float64(total)
}
