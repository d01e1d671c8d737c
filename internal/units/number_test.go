package units

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against conversions whose result depends on the processor.
func TestNumbersOutOfRangeAreLimited(t *testing.T) {
	for text, want := range map[string]struct {
		count    int
		duration time.Duration
	}{
		"0":                    {0, 0},
		"null":                 {0, 0},
		"2.5":                  {2, 2500 * time.Microsecond},
		"1e3":                  {1000, time.Second},
		"-7":                   {-7, -7 * time.Millisecond},
		"9223372036854775807":  {math.MaxInt, math.MaxInt64},
		"-9223372036854775808": {math.MinInt, math.MinInt64},
		"1e19":                 {math.MaxInt, math.MaxInt64},
		"1e400":                {math.MaxInt, math.MaxInt64},
		"-1e400":               {math.MinInt, math.MinInt64},
		"10000000000000":       {10_000_000_000_000, math.MaxInt64},
	} {
		var n Number
		require.NoError(t, json.Unmarshal([]byte(text), &n), text)
		require.Equal(t, want.count, n.Int(), text)
		require.Equal(t, want.duration, n.Milliseconds(), text)
	}
	for _, text := range []string{`"3"`, `true`, `[1]`, `{}`} {
		var n Number
		require.Error(t, json.Unmarshal([]byte(text), &n), text)
	}
	require.Zero(t, Number(math.NaN()).Int())
	require.Equal(t, time.Duration(math.MaxInt64), Number(math.Inf(1)).Seconds())
}
