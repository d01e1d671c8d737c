package pool

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Some connections stay free, so that instances that restart after a power loss
// can connect while the upstream still counts their old connections.
func TestShareReservesConnectionsForRestartedInstances(t *testing.T) {
	for _, c := range []struct {
		connections int
		share       float64
		want        int
	}{{55, 0.25, 9}, {21, 0.25, 3}, {21, 0.625, 9}, {47, 1.0 / 26, 1}, {0, 1, 1}} {
		require.Equal(t, c.want, Share(c.connections, c.share), "%+v", c)
	}
	for instances := 1; instances <= 14; instances++ {
		require.LessOrEqual(t, instances*Share(21, 1/float64(instances)), 14, instances)
	}
}
