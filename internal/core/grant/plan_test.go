package grant

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMaxMinFairInt checks that the total is divided completely, and that no
// share exceeds one whose need is not met by more than one unit.
func TestMaxMinFairInt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 8).Draw(t, "needs")
		total := rapid.IntRange(0, 60).Draw(t, "total")
		shares := maxMinFairInt(needs, total)
		sum := 0
		for i, share := range shares {
			sum += share
			for j := range shares {
				if shares[j] < needs[j] {
					require.LessOrEqual(t, share, shares[j]+1, "share %d exceeds unmet share %d by more than one", i, j)
				}
			}
		}
		require.Equal(t, total, sum)
	})
}

// TestRankQuotas checks that a rank gets its floor or its need, and that the
// most urgent rank gets what the floors leave.
func TestRankQuotas(t *testing.T) {
	demands := []Demand{
		{Slots: [4]float64{0, 9, 0, 0}, Floors: [4]float64{0, 0.4, 0.2, 0.1}},
		{Slots: [4]float64{0, 0, 9, 0.1}, Floors: [4]float64{0, 0.4, 0.2, 0.1}},
	}
	floors, quotas := rankQuotas(demands, 10)
	require.InDeltaSlice(t, []float64{0, 4, 2, 0.1}, floors[:], 1e-9)
	require.InDeltaSlice(t, []float64{0, 7.9, 2, 0.1}, quotas[:], 1e-9)
	all := shareSlots(demands, 10)
	require.InDelta(t, 10, all[0].slots+all[1].slots, 1e-9)
	require.InDelta(t, 2, all[1].floors[2], 1e-9)
}
