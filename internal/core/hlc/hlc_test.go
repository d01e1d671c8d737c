package hlc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

// TestCausalOrder checks that timestamps preserve causal order between processes
// whose clocks differ and that exchange messages at random.
func TestCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clocks [3]Clock
		var offsets [3]time.Duration
		for i := range offsets {
			offsets[i] = time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Millisecond
		}
		now := time.UnixMicro(1_000_000_000)
		var previous [3]Timestamp
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Microsecond)
			from := rapid.IntRange(0, 2).Draw(t, "from")
			to := rapid.IntRange(0, 2).Draw(t, "to")
			sent := clocks[from].Tick(now.Add(offsets[from]))
			require.Positive(t, sent.Compare(previous[from]))
			previous[from] = sent
			require.True(t, clocks[to].Observe(sent, now.Add(offsets[to])))
			received := clocks[to].Tick(now.Add(offsets[to]))
			require.Positive(t, received.Compare(sent))
			require.Positive(t, received.Compare(previous[to]))
			previous[to] = received
		}
	})
}

func TestTimestampFarAheadIsIgnored(t *testing.T) {
	var c Clock
	now := time.UnixMicro(1_000_000)
	require.False(t, c.Observe(Timestamp{Wall: now.Add(MaxAhead + time.Second).UnixMicro()}, now))
	require.Equal(t, Timestamp{Wall: 1_000_000}, c.Tick(now))
}

func TestParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Timestamp{Wall: rapid.Int64().Draw(t, "wall"), Logical: rapid.Uint32().Draw(t, "logical")}
		got, err := Parse(want.String())
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
	for _, text := range []string{"", "1", "x.1", "1.x", "1.99999999999"} {
		_, err := Parse(text)
		require.Error(t, err, text)
	}
}

func TestCounterOverflowMovesToTheNextMicrosecond(t *testing.T) {
	c := Clock{latest: Timestamp{Wall: 5, Logical: ^uint32(0)}}
	require.Equal(t, Timestamp{Wall: 6}, c.Tick(time.UnixMicro(1)))
}
