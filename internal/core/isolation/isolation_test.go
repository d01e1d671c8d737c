package isolation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCutOff(t *testing.T) {
	const ms = time.Millisecond
	silent := Report{Zone: "b"}
	renewing := Report{Zone: "c", Reached: true, Renewed: true, RenewedAgo: 100 * ms}
	alike := Report{Zone: "c", Reached: true, Renewed: true, RenewedAgo: 900 * ms}
	without := Report{Zone: "b", Reached: true}
	far := Report{Zone: "d"}
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
		{"cut off together with others", time.Second, []Report{alike, silent, far}, true},
		{"the leader's zone is cut off", time.Second, []Report{alike, silent, silent}, false},
		{"cut off together with half of each zone", time.Second, []Report{alike, {Zone: "c"}, without, silent}, true},
		{"one instance of a zone is down", time.Second, []Report{silent, without}, false},
		{"both other zones are silent", time.Second, []Report{silent, far}, true},
		{"alone", time.Second, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, CutOff(c.ago, c.reports)) })
	}
}
