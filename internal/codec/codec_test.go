package codec

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

type sample struct {
	Name  string            `msgpack:"n"`
	At    time.Time         `msgpack:"at"`
	List  []sample          `msgpack:"l"`
	Map   map[string]uint64 `msgpack:"m"`
	Bytes []byte            `msgpack:"b"`
	Float float64           `msgpack:"f"`
	Int   int64             `msgpack:"i"`
}

func example() sample {
	return sample{
		Name: "x", At: time.Unix(1, 2).UTC(), Bytes: make([]byte, 300), Float: 1.5, Int: -7_000_000,
		List: make([]sample, 20), Map: map[string]uint64{"a": 1, "b": 1 << 40},
	}
}

func TestRoundTrip(t *testing.T) {
	var decoded sample
	require.NoError(t, Unmarshal(Marshal(example()), &decoded))
	require.True(t, decoded.At.Equal(example().At))
	require.Equal(t, example().Map, decoded.Map)
	require.Len(t, decoded.List, 20)
}

func TestMalformedInput(t *testing.T) {
	encoded := Marshal(example())
	for n := range encoded {
		require.ErrorIs(t, Check(encoded[:n]), ErrTruncated, n)
	}
	require.ErrorIs(t, Check(append(encoded, 0)), ErrTrailing)
	require.ErrorIs(t, Check([]byte{0xc1}), ErrCode)
	require.ErrorIs(t, Check([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}), ErrTruncated)
	require.ErrorIs(t, Check([]byte{0xdf, 0xff, 0xff, 0xff, 0xff}), ErrTruncated)
	require.ErrorIs(t, Check(append(bytes.Repeat([]byte{0x91}, MaxDepth+1), 0)), ErrDepth)
	require.NoError(t, Check(append(bytes.Repeat([]byte{0x91}, MaxDepth), 0)))
	var s sample
	require.ErrorContains(t, Unmarshal([]byte{0x81, 0xa2, 'a', 't', 0xc0}, &s), "malformed")
}

func FuzzUnmarshal(f *testing.F) {
	f.Add(Marshal(example()))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		_ = Unmarshal(data, &s)
		// The library must be able to skip every value that Check accepts.
		dec := msgpack.NewDecoder(bytes.NewReader(data))
		if err := Check(data); err == nil {
			require.NoError(t, dec.Skip())
		}
	})
}
