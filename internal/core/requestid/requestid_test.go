package requestid

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

func TestStatementsQuoteTheirValues(t *testing.T) {
	now := time.Unix(100, 0)
	for _, sql := range []string{Claim("a'b", "f", now), TakeOver("a'b", "f", "n"), Cancel("a'b", "n", now), LookUp("a'b"), StoreAnswer("a'b", "x")} {
		require.Contains(t, sql, "'a''b'")
	}
}

func TestStoredAnswerFitsOnlyItsShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		got, ok := Decode("PBDE", Encode("PBDE", body))
		require.True(t, ok)
		require.Equal(t, string(body), string(got))
		_, ok = Decode("Q", Encode("PBDE", body))
		require.False(t, ok)
	})
	_, ok := Decode("Q", Encode("Q", make([]byte, MaxStoredBytes+1)))
	require.False(t, ok, "too long to be stored")
}

func TestParseRow(t *testing.T) {
	_, err := ParseRow(nil)
	require.ErrorIs(t, err, ErrUnknown)
	row, err := ParseRow([][]string{{"done", "f", "Q:"}})
	require.NoError(t, err)
	require.Equal(t, Row{Done, "f", "Q:"}, row)
}
