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
	}{
		{"a single lost renewal", 500 * ms, []Report{unreachable}, false},
		{"another instance still renews", time.Second, []Report{unreachable, renewing}, true},
		{"no instance replies", time.Second, []Report{unreachable, unreachable}, true},
		{"control is unavailable to all", time.Second, []Report{equallyOld, withoutLease}, false},
		{"isolated together with others", time.Second, []Report{equallyOld, unreachable}, true},
		{"no other instances", time.Second, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Isolated(c.ago, c.reports)) })
	}
}
