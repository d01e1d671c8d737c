package engine

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
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

// Guards against a duration whose use overflows: statements of any route are answered
// at once while the upstreams answer at once.
func TestRoutesOfAnyDurationsAreServed(t *testing.T) {
	durations := []time.Duration{math.MinInt64, -time.Second, 1, time.Millisecond, math.MaxInt64}
	for _, timeout := range durations {
		for _, target := range append(durations, 0) {
			for _, maxAge := range append(durations, 0) {
				synctest.Test(t, func(t *testing.T) {
					db := newFakeGroup()
					e := newEngineWith(db, catalog.Route{
						Database: "any", Group: group, Consistency: catalog.Bounded, StatementTimeout: timeout,
						Service: contract.Service{Name: "any", Rank: contract.RankLow, Target: target, MaxAge: maxAge},
					}, catalog.Route{
						Database: "urgent", Group: group, Consistency: catalog.Primary, StatementTimeout: time.Second,
						Service: contract.Service{Name: "urgent", Rank: contract.RankUrgent, Target: target},
					})
					requireServes(t, open(t, e, "any"))
					e.maintain(t.Context())
					synctest.Wait()
					requireServes(t, open(t, e, "urgent"))
				})
			}
		}
	}
}

// Guards against reads that wait for a position that can't be recent enough for
// their route, and against such a route ending the queries of positions for the others.
func TestReadsThatTolerateNoAgeGoToThePrimary(t *testing.T) {
	for _, consistency := range []catalog.Consistency{catalog.OwnWrites, catalog.Bounded} {
		for _, maxAge := range []time.Duration{-time.Second, 0, time.Nanosecond} {
			synctest.Test(t, func(t *testing.T) {
				db := newFakeGroup()
				route := func(name string, maxAge time.Duration) catalog.Route {
					return catalog.Route{
						Database: name, Group: group, Consistency: consistency, StatementTimeout: time.Second,
						Service: contract.Service{Name: name, Rank: contract.RankLow, Target: time.Second, MaxAge: maxAge},
					}
				}
				e := newEngineWith(db, route("latest", maxAge), route("aged", time.Minute))
				require.Equal(t, outcome.Done, open(t, e, "aged").read("x").Outcome.Kind)
				began := time.Now()
				require.Equal(t, outcome.Done, open(t, e, "latest").read("y").Outcome.Kind)
				require.Zero(t, time.Since(began), "the read must not wait")
				require.Equal(t, db.primary, db.lastRun("y").upstream)
				require.Equal(t, time.Minute, e.groups.Get(group).MinMaxAge(), "the positions of the other route are still queried")
				synctest.Wait()
			})
		}
	}
}
