package engine

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// Guards against a relayed text that is changed on the way, and against one that becomes
// longer than it was.
func TestRelayedTextsSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := packedText(rapid.String().Draw(t, "text"))
		text += packedText(strings.Repeat("k", rapid.IntRange(0, 2000).Draw(t, "more")))
		wire, err := msgpack.Marshal(text)
		require.NoError(t, err)
		require.LessOrEqual(t, len(wire), len(text)+5)
		var got packedText
		require.NoError(t, msgpack.Unmarshal(wire, &got))
		require.Equal(t, text, got)
	})
}

// Guards against a malformed message of another instance that ends the process.
func TestMalformedRelayedTextsAreErrors(t *testing.T) {
	for _, v := range []any{[]byte("not compressed"), 7, map[string]int{"a": 1}} {
		wire, err := msgpack.Marshal(v)
		require.NoError(t, err)
		var got packedText
		require.Error(t, msgpack.Unmarshal(wire, &got), "%v", v)
	}
}
