package catalog

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
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

// Guards against values that overflow where they are used, with a result that
// depends on the processor: any value is accepted and brought within its limits.
func TestValuesAreBroughtWithinTheirLimits(t *testing.T) {
	for _, d := range []time.Duration{math.MinInt64, -1, 1, math.MaxInt64} {
		for _, n := range []int{math.MinInt, -1, 0, math.MaxInt} {
			r := testRoute(func(r *Route) {
				r.StatementTimeout, r.Service.Target, r.Service.MaxAge, r.Service.Rank = d, d, d, n
			})
			c, err := Build(1, []Route{r}, []Group{{ID: "g", Connections: n, Durability: n}}, d)
			require.NoError(t, err)
			requireWithinLimits(t, c)
			require.Equal(t, 2, c.Limited)
		}
	}
}

func requireWithinLimits(t *testing.T, c *Catalog) {
	between := func(lowest, value, highest any) {
		require.GreaterOrEqual(t, value, lowest)
		require.LessOrEqual(t, value, highest)
	}
	between(MinTimeout, c.IdleTransaction, MaxDuration)
	for _, r := range c.Routes {
		between(contract.RankUrgent, r.Service.Rank, contract.Ranks)
		between(MinTimeout, r.StatementTimeout, MaxDuration)
		between(MinTarget, r.Service.Target, MaxDuration)
		if r.Consistency != Primary {
			between(MinMaxAge, r.Service.MaxAge, MaxDuration)
		}
	}
	for _, g := range c.Groups {
		between(1, g.Connections, topo.MaxConnections)
		between(contract.MinDurability, g.Durability, contract.MaxDurability)
	}
}

func TestUsualValuesAreKept(t *testing.T) {
	r := testRoute(func(*Route) {})
	c := build(t, r)
	require.Equal(t, r, c.Routes["looks"])
	require.Equal(t, Group{ID: "g", Connections: 20, Durability: 1}, c.Groups["g"])
	require.Zero(t, c.Limited)
}

// A route without a target gets the default one, as admission gives it.
func TestRouteWithoutATarget(t *testing.T) {
	c := build(t, testRoute(func(r *Route) { r.Service.Target = 0 }))
	require.Equal(t, admission.DefaultTarget, c.Routes["looks"].Service.Target)
}

// Guards against routes that share the state of admission because they share a name:
// their ranks and targets would replace each other with each request.
func TestRoutesWithTheSameNameKeepTheirOwnService(t *testing.T) {
	var routes []Route
	for _, database := range []string{"a", "b", "c"} {
		for _, name := range []string{"", "same", "same (b)"} {
			routes = append(routes, testRoute(func(r *Route) { r.Database, r.Service.Name = database+" of "+name, name }))
		}
	}
	c := build(t, routes...)
	names := map[string]bool{}
	for _, r := range c.Routes {
		require.NotEmpty(t, r.Service.Name)
		names[r.Service.Name] = true
	}
	require.Len(t, names, len(routes))
	require.Equal(t, "same", c.Routes["a of same"].Service.Name, "the first one keeps its name")
}
