package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of a large fleet: 118 instances share an upstream that allows 140
// connections, and each of them runs a statement there every other second. Opening a
// connection takes 12 ms of a slot, a statement 24 ms.
func TestManyInstancesThatShareAnUpstreamRarelyOpenConnections(t *testing.T) {
	const (
		instances, connections = 118, 140
		perSecond              = 0.55
		statement              = 24 * time.Millisecond
		tick                   = 20 * time.Millisecond
		runFor                 = 60 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	limit := Share(connections, 1.0/instances)
	pools := make([]*Pool, instances)
	for i := range pools {
		pools[i] = New(limit)
	}
	busyUntil := make([]time.Time, instances)
	var nextID uint64
	opened, statements, served, mostOpen := 0, 0, 0, 0
	for now := time.Unix(0, 0); now.Before(time.Unix(0, 0).Add(runFor)); now = now.Add(tick) {
		open := 0
		for i, p := range pools {
			if !busyUntil[i].IsZero() && !now.Before(busyUntil[i]) {
				p.Release(ConnID(i+1), true, now)
				busyUntil[i] = time.Time{}
			}
			p.Reap(now, IdleTimeout(limit))
			if busyUntil[i].IsZero() && random.Float64() < perSecond*tick.Seconds() {
				nextID++
				statements++
				actions, _ := p.Acquire(WaiterID(nextID), Key{})
				for _, a := range actions {
					if _, opens := a.(Open); opens {
						opened++
						actions = p.Opened(ConnID(i+1), Key{}, now)
					}
				}
				require.Contains(t, actions, Assign{WaiterID(nextID), ConnID(i + 1)})
				served++
				busyUntil[i] = now.Add(statement)
			}
			open += p.Stats().Open
		}
		mostOpen = max(mostOpen, open)
	}
	require.Equal(t, statements, served, "every statement gets a connection")
	require.LessOrEqual(t, mostOpen, connections, "the upstream refuses none")
	require.Less(t, float64(opened)/float64(statements), 0.2, "share of the statements that open a connection")
	require.LessOrEqual(t, mostOpen, connections*9/10, "some are left for instances that restart")
}
