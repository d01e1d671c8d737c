package engine

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// Guards against a valid configuration that ends the process: a route may have any
// rank, and all its statements are served.
func TestRoutesOfAnyRankAreServed(t *testing.T) {
	for _, rank := range []int{math.MinInt, -1, 0, contract.Ranks + 1, math.MaxInt} {
		for _, consistency := range []catalog.Consistency{catalog.Primary, catalog.OwnWrites, catalog.Bounded} {
			t.Run(fmt.Sprintf("rank %d, %s", rank, consistency), func(t *testing.T) {
				c := open(t, newEngineWith(newFakeGroup(), catalog.Route{
					Database: "any", Group: group, Consistency: consistency, StatementTimeout: time.Second,
					Service: contract.Service{Name: "any", Rank: rank, Target: time.Second, MaxAge: time.Minute},
				}), "any")
				requireServes(t, c)
			})
		}
	}
}

// requireServes checks that a session serves a read, a write and both kinds of
// transactions.
func requireServes(t *testing.T, c *client) {
	require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
	require.Equal(t, outcome.Done, c.write("y").Outcome.Kind)
	for _, readOnly := range []bool{true, false} {
		c.begin(readOnly)
		require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
		require.Equal(t, outcome.Done, c.commit().Outcome.Kind)
	}
}
