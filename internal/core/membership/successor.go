package membership

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Successor names the upstream that is to follow a leaving primary: the one
// furthest ahead of those heard since fresh, else of all. Those in declined,
// to which a switchover has failed, are taken only when no other is left. Of
// equal ones the one heard last wins.
func Successor(candidates []Known, declined []topo.UpstreamID, fresh time.Time) (id topo.UpstreamID, ok bool) {
	best, bestGrade := Known{}, -1
	for _, k := range candidates {
		grade := 0
		if !slices.Contains(declined, k.ID) {
			grade += 2
		}
		if !k.HeardAt.Before(fresh) {
			grade++
		}
		if grade > bestGrade || grade == bestGrade && ahead(k, best) {
			best, bestGrade = k, grade
		}
	}
	return best.ID, best.ID != ""
}

func ahead(a, b Known) bool {
	if c := a.Point.Compare(b.Point); c != 0 {
		return c > 0
	}
	return a.HeardAt.After(b.HeardAt)
}
