package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

func TestWriteGapSpansLossToRecovery(t *testing.T) {
	w := writeGaps{since: map[topo.GroupID]time.Time{}}
	start := time.Unix(0, 0)
	for _, step := range []struct {
		writable bool
		at       time.Duration
		gap      time.Duration
	}{
		{false, 0, 0}, {true, 0, 0}, {false, time.Second, 0}, {false, 2 * time.Second, 0}, {true, 3 * time.Second, 2 * time.Second}, {true, 4 * time.Second, 0},
	} {
		gap, ended := w.observe("ledger-1", step.writable, start.Add(step.at))
		require.Equal(t, step.gap > 0, ended)
		if ended {
			require.Equal(t, step.gap, gap)
		}
	}
}
