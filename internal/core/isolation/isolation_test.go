package isolation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIsolated(t *testing.T) {
	const ms = time.Millisecond
	unreachable := Report{}
	renewing := Report{Reached: true, Renewed: true, RenewedAgo: 100 * ms}
	equallyOld := Report{Reached: true, Renewed: true, RenewedAgo: 900 * ms}
	withoutLease := Report{Reached: true}
	cases := []struct {
		name    string
		ago     time.Duration
		reports []Report
		want    bool
		// overtaken is the result of Overtaken.
		overtaken bool
	}{
		{"a single lost renewal", 500 * ms, []Report{unreachable}, false, false},
		{"another instance still renews", time.Second, []Report{unreachable, renewing}, true, true},
		{"no instance replies", time.Second, []Report{unreachable, unreachable}, true, false},
		{"control is unavailable to all", time.Second, []Report{equallyOld, withoutLease}, false, false},
		{"isolated together with others", time.Second, []Report{equallyOld, unreachable}, true, false},
		{"no other instances", time.Second, nil, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, Isolated(c.ago, c.reports))
			require.Equal(t, c.overtaken, Overtaken(c.ago, c.reports))
		})
	}
}
