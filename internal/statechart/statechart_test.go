package statechart

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const doorChart = `
name = "door"
initial = "shut"
[[state]]
name = "shut"
on = [{ event = "open", to = "ajar", actions = ["ring"] }]
[[state]]
name = "ajar"
on = [{ event = "close", to = "shut" }]
`

func vocabulary() Vocabulary {
	return Vocabulary{Events: []string{"open", "close"}, Actions: []string{"ring"}}
}

func TestNextFollowsTheChart(t *testing.T) {
	c, err := Load([]byte(doorChart), vocabulary())
	require.NoError(t, err)
	to, actions, ok := c.Next("shut", "open")
	require.True(t, ok)
	require.Equal(t, "ajar", to)
	require.Equal(t, []string{"ring"}, actions)
	to, _, ok = c.Next("shut", "close")
	require.False(t, ok)
	require.Equal(t, "shut", to)
}

func TestLoadRejectsInvalidCharts(t *testing.T) {
	cases := []struct{ name, chart, want string }{
		{"unknown key", doorChart + "\nextra = 1", "extra"},
		{"unknown state", `initial = "x"`, `unknown state "x"`},
		{"unknown event", "initial=\"a\"\n[[state]]\nname=\"a\"\non=[{event=\"boo\",to=\"a\"}]", `unknown event "boo"`},
		{"unknown action", "initial=\"a\"\n[[state]]\nname=\"a\"\non=[{event=\"open\",to=\"a\",actions=[\"boo\"]}]", `unknown action "boo"`},
		{"unreachable", doorChart + "\n[[state]]\nname=\"lost\"", `"lost" is unreachable`},
		{"missing action", "initial=\"a\"\n[[state]]\nname=\"a\"\non=[{event=\"open\",to=\"a\"},{event=\"close\",to=\"a\"}]", `action "ring" has no transition`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Load([]byte(tc.chart), vocabulary())
			require.ErrorContains(t, err, tc.want)
		})
	}
}
