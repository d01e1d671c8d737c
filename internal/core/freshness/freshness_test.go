package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestState(t *testing.T) {
	const limit = 2 * time.Second
	cases := []struct {
		name            string
		state           State
		current, usable bool
	}{
		{"never confirmed", State{}, false, false},
		{"just confirmed", State{Confirmed: true}, true, true},
		{"a renewal is late", State{Confirmed: true, Age: limit - 1, Overtaken: true}, true, true},
		{"cut off with its zone", State{Confirmed: true, Age: limit}, false, true},
		{"others have renewed since", State{Confirmed: true, Age: limit, Overtaken: true}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, Trust{MayDeny: c.current, MayServe: c.usable}, c.state.Trust(limit))
		})
	}
}

func TestLimitIsWithinTheTimeToApply(t *testing.T) {
	require.Equal(t, 3500*time.Millisecond, Limit(4*time.Second))
	require.Less(t, Limit(8), time.Duration(8))
}
