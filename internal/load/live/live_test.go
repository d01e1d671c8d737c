package live

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/load/model"
)

// TestRunMatchesDatabaseContents sends load to a deployment for 2 s. Its checks
// do not depend on the machine's speed: each request ends once, and the
// databases' contents match the outcomes that the callers got.
func TestRunMatchesDatabaseContents(t *testing.T) {
	const offered = 20 // requests/s of each stream
	s := &model.Settings{
		Seed: 1, Length: 2 * time.Second, CallerTimeout: time.Second, Allocation: model.Grants,
		Workloads: []model.Workload{
			{Service: contract.Service{Name: "booking", Rank: 1, Writes: true, Target: time.Second}, Statements: WriteStatements, Time: ServiceTime},
			{Service: contract.Service{Name: "stock", Rank: 3, Target: time.Second}, Statements: 1, Time: ServiceTime},
		},
		Streams: []model.Stream{{Workload: 0, Rate: offered}, {Workload: 1, Rate: offered}},
	}
	r, err := Run(t.Context(), "selam", s)
	require.NoError(t, err)
	for _, rank := range []int{1, 3} {
		counts := r.Ranks[rank]
		require.Positive(t, counts.Offered)
		require.Equal(t, counts.Offered, counts.Done+counts.Refused+counts.Unknown)
	}
	require.Zero(t, r.RefusedButRan)
	require.Zero(t, r.Doubled)
	require.Zero(t, r.Lost)
	require.LessOrEqual(t, r.PeakConnections, 20)
}
