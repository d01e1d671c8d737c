package catalog

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Limits of the values in use. A catalog with a value beyond them is valid, and the
// nearest limit is used in its place, so that no user of a value has to expect
// another one.
const (
	// MinTimeout is the shortest timeout of a statement.
	MinTimeout = time.Millisecond
	// MinTarget is the shortest target. A shorter one would refuse every request,
	// since none is expected to end in time.
	MinTarget = 10 * time.Millisecond
	// MinMaxAge is the lowest maximum age that a replica can serve: positions of a
	// primary are kept at this interval. Reads that tolerate less go to the primary.
	MinMaxAge = 10 * time.Millisecond
	// MaxDuration limits all durations. Sums and small multiples of it can't overflow.
	MaxDuration = 24 * time.Hour
)

// limited returns the route with all values within their limits. A route without a
// target gets the default one.
func (r Route) limited() Route {
	s := &r.Service
	if s.Target <= 0 {
		s.Target = admission.DefaultTarget
	}
	s.Rank = contract.ClampRank(s.Rank)
	s.Target = clamp(s.Target, MinTarget, MaxDuration)
	s.MaxAge = clamp(s.MaxAge, 0, MaxDuration)
	if s.MaxAge < MinMaxAge && r.Consistency != Primary {
		s.MaxAge, r.Consistency = 0, Primary
	}
	r.StatementTimeout = clamp(r.StatementTimeout, MinTimeout, MaxDuration)
	return r
}

// limited returns the group with all values within their limits.
func (g Group) limited() Group {
	g.Connections = clamp(g.Connections, 1, topo.MaxConnections)
	g.Durability = clamp(g.Durability, contract.MinDurability, contract.MaxDurability)
	return g
}

func clamp[T int | time.Duration](value, lowest, highest T) T {
	return min(max(value, lowest), highest)
}
