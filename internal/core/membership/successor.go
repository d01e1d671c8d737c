package membership

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Successor selects the upstream that replaces a leaving primary: the one with
// the most advanced log among those that have announced since announcedSince,
// otherwise among all. Upstreams in failed, to which a switchover has failed, are selected only
// if there is no other. Among equals, the latest announcement wins.
func Successor(candidates []KnownUpstream, failed []topo.UpstreamID, announcedSince time.Time) (id topo.UpstreamID, ok bool) {
	best, bestGrade := KnownUpstream{}, -1
	for _, k := range candidates {
		grade := 0
		if !slices.Contains(failed, k.ID) {
			grade += 2
		}
		if !k.ReceivedAt.Before(announcedSince) {
			grade++
		}
		if grade > bestGrade || grade == bestGrade && ahead(k, best) {
			best, bestGrade = k, grade
		}
	}
	return best.ID, best.ID != ""
}

func ahead(a, b KnownUpstream) bool {
	if c := a.Point.Compare(b.Point); c != 0 {
		return c > 0
	}
	return a.ReceivedAt.After(b.ReceivedAt)
}
