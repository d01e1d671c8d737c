// Package quorum calculates majorities of a set of voters.
package quorum

import "slices"

// Size returns the number of voters that form a majority of n. Without voters
// no majority is possible.
func Size(n int) int { return n/2 + 1 }

// Committed returns the highest value that a majority of the voters has
// reached. values holds one value per voter.
func Committed(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)-Size(len(sorted))]
}

// Result is the outcome of a vote.
type Result int

// Vote outcomes.
const (
	Pending Result = iota
	Won
	Lost
)

// Tally counts the votes of the voters. A voter without an entry in votes has
// not replied. Votes of non-voters are ignored.
func Tally(voters []string, votes map[string]bool) Result {
	yes, no := 0, 0
	for _, id := range voters {
		granted, replied := votes[id]
		switch {
		case !replied:
		case granted:
			yes++
		default:
			no++
		}
	}
	need := Size(len(voters))
	if yes >= need {
		return Won
	}
	if len(voters)-no < need {
		return Lost
	}
	return Pending
}
