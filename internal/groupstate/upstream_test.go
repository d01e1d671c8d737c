package groupstate

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// allSlots lets the instance use all slots of each upstream.
type allSlots struct{}

func (allSlots) Use(topo.Announcement)           {}
func (allSlots) Slots(topo.UpstreamID) int       { return 0 }
func (allSlots) Average(topo.UpstreamID) float64 { return 0 }
func (allSlots) DemandChanged(topo.UpstreamID)   {}

// Guards against a rank out of range that ends the process, whether it comes from a
// route or from a contract that an earlier version has stored.
func TestCandidatesOfAnyRank(t *testing.T) {
	g := New(admission.Ranked, allSlots{}).Get("g")
	a := topo.Announcement{Group: "g", ID: "a", Slots: 2}
	now := time.Now()
	for _, rank := range []int{math.MinInt, -1, 0, contract.Ranks + 1, math.MaxInt} {
		require.Zero(t, g.Candidate(a, now, rank).QueueWait, "rank %d", rank)
		hold := admission.Hold{Rank: rank, UrgentTarget: time.Second, Slots: 1}
		held, _ := g.ShouldHold(a.ID, hold, now)
		require.False(t, held, "rank %d", rank)
	}
}
