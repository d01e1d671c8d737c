package isolation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCutOff(t *testing.T) {
	const ms = time.Millisecond
	silent := Report{}
	renewing := Report{Reached: true, Renewed: true, RenewedAgo: 100 * ms}
	alike := Report{Reached: true, Renewed: true, RenewedAgo: 900 * ms}
	without := Report{Reached: true}
	cases := []struct {
		name    string
		ago     time.Duration
		reports []Report
		want    bool
	}{
		{"a single lost renewal", 500 * ms, []Report{silent}, false},
		{"another one still renews", time.Second, []Report{silent, renewing}, true},
		{"nobody answers", time.Second, []Report{silent, silent}, true},
		{"control is down for all", time.Second, []Report{alike, without}, false},
		{"cut off together with others", time.Second, []Report{alike, silent}, true},
		{"alone", time.Second, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, CutOff(c.ago, c.reports)) })
	}
}
