package units

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

func TestRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bytes(rapid.Int64Range(0, math.MaxInt64).Draw(t, "bytes"))
		text, err := b.MarshalText()
		require.NoError(t, err)
		var back Bytes
		require.NoError(t, back.UnmarshalText(text))
		require.Equal(t, b, back)

		d := Duration(rapid.Int64().Draw(t, "duration"))
		text, err = d.MarshalText()
		require.NoError(t, err)
		var again Duration
		require.NoError(t, again.UnmarshalText(text))
		require.Equal(t, d, again)
	})
}

func TestDurationOmitsTrailingZeroUnits(t *testing.T) {
	for d, want := range map[time.Duration]string{
		time.Minute: "1m", time.Hour: "1h", 90 * time.Minute: "1h30m", 10 * time.Second: "10s", 0: "0s", 20 * time.Hour: "20h",
	} {
		require.Equal(t, want, Duration(d).String())
	}
}

func TestMalformedValues(t *testing.T) {
	var b Bytes
	for _, text := range []string{"", "12", "KiB", "-1B", "1.5MiB", "9223372036854775807GiB"} {
		require.Error(t, b.UnmarshalText([]byte(text)), text)
	}
	var d Duration
	require.ErrorContains(t, d.UnmarshalText([]byte("300")), "unit")
}
