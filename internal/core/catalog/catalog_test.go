package catalog

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// testRoute returns a valid route, changed by edit.
func testRoute(edit func(*Route)) Route {
	r := Route{
		Database: "looks", Group: "g", Consistency: Bounded, StatementTimeout: time.Second,
		Service: contract.Service{Name: "looks", Rank: contract.RankLow, Target: time.Second, MaxAge: time.Second},
	}
	edit(&r)
	return r
}

func build(t *testing.T, routes ...Route) *Catalog {
	c, err := Build(1, routes, []Group{{ID: "g", Connections: 20, Durability: 1}}, time.Second)
	require.NoError(t, err)
	return c
}

// Guards against a valid route whose rank lies outside of the arrays that are
// indexed by rank: its first read ended the process.
func TestRanksAreBroughtIntoRange(t *testing.T) {
	for rank, want := range map[int]int{
		math.MinInt: contract.RankUrgent, -1: contract.RankUrgent, 0: contract.RankUrgent,
		contract.RankNormal: contract.RankNormal, contract.Ranks: contract.Ranks,
		contract.Ranks + 1: contract.Ranks, math.MaxInt: contract.Ranks,
	} {
		c := build(t, testRoute(func(r *Route) { r.Service.Rank = rank }))
		require.Equal(t, want, c.Routes["looks"].Service.Rank, "rank %d", rank)
	}
}
