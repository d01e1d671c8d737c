package grant

import (
	"cmp"
	"slices"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// maxMinFair divides total among needs so that the smallest share is as large as
// possible and no share exceeds its need (max-min fairness).
func maxMinFair(needs []float64, total float64) []float64 {
	shares := make([]float64, len(needs))
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(needs[a], needs[b]) })
	for k, i := range order {
		equal := total / float64(len(order)-k)
		shares[i] = max(min(needs[i], equal), 0)
		total -= shares[i]
	}
	return shares
}

// maxMinFairInt is like maxMinFair, in whole units. It also divides evenly what
// is left when all needs are met, so that new needs can be served at once.
func maxMinFairInt(needs []int, total int) []int {
	shares := make([]int, len(needs))
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(needs[a], needs[b]) })
	for k, i := range order {
		shares[i] = min(needs[i], total/(len(order)-k))
		total -= shares[i]
	}
	total = assignOne(shares, order, total, func(i int) bool { return shares[i] < needs[i] })
	each := total / len(order)
	for i := range shares {
		shares[i] += each
	}
	assignOne(shares, order, total-each*len(order), func(int) bool { return true })
	return shares
}

// assignOne adds one unit to each share for which wants is true, in the given
// order, and returns what is left.
func assignOne(shares, order []int, total int, wants func(int) bool) int {
	for _, i := range order {
		if total > 0 && wants(i) {
			shares[i]++
			total--
		}
	}
	return total
}

// holderShare is the share of one holder over time.
type holderShare struct {
	// slots is the total share, floors the part of it that is guaranteed to
	// each rank even during a flood of more urgent work.
	slots  float64
	floors [contract.Ranks + 1]float64
}

// shareSlots divides the slots among the holders: first among the ranks, the most
// urgent first except for the floors of the others, then within each rank among
// the holders.
func shareSlots(demands []Demand, slots float64) []holderShare {
	all := make([]holderShare, len(demands))
	needs := make([]float64, len(demands))
	floors, quotas := rankQuotas(demands, slots)
	for rank := 1; rank <= contract.Ranks; rank++ {
		for i, d := range demands {
			needs[i] = d.Slots[rank]
		}
		if quotas[rank] == 0 {
			continue
		}
		for i, share := range maxMinFair(needs, quotas[rank]) {
			all[i].slots += share
		}
		for i, share := range maxMinFair(needs, floors[rank]) {
			all[i].floors[rank] = share
		}
	}
	return all
}

// rankQuotas returns the slots of each rank over all holders, and the part of
// them that its floor guarantees.
func rankQuotas(demands []Demand, slots float64) (floors, quotas [contract.Ranks + 1]float64) {
	var need, floor [contract.Ranks + 1]float64
	var reserved float64
	for rank := 1; rank <= contract.Ranks; rank++ {
		for _, d := range demands {
			need[rank] += d.Slots[rank]
			floor[rank] = max(floor[rank], d.Floors[rank])
		}
		floors[rank] = min(need[rank], floor[rank]*slots)
		reserved += floors[rank]
	}
	quotas = floors
	left := max(slots-reserved, 0)
	for rank := 1; rank <= contract.Ranks; rank++ {
		extra := min(need[rank]-quotas[rank], left)
		quotas[rank] += extra
		left -= extra
	}
	return floors, quotas
}
