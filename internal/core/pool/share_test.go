package pool

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// With half of the connections free, instances that come back from a power
// loss find room beside the connections that they left behind.
func TestShareLeavesRoomForInstancesThatComeBack(t *testing.T) {
	cases := []struct{ connections, slots, instances, want int }{
		{55, 5, 4, 6}, {55, 5, 7, 5}, {21, 3, 4, 3}, {21, 3, 7, 3}, {47, 5, 26, 1}, {20, 3, 0, 10}, {0, 3, 4, 1},
	}
	for _, c := range cases {
		got := Share(c.connections, c.slots, c.instances)
		require.Equal(t, c.want, got, "%+v", c)
		require.LessOrEqual(t, got*max(c.instances, 1), max(c.connections, c.instances), "%+v", c)
	}
}
