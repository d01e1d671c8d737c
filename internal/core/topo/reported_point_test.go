package topo

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a message without a point that is read as the start of the log, such as one
// of an instance that doesn't know that a point may be absent.
func TestReportedPointTellsNoneFromZero(t *testing.T) {
	type message struct {
		Point ReportedPoint `msgpack:"p"`
	}
	type olderMessage struct {
		Point Point `msgpack:"p"`
	}
	cases := []struct {
		sent  any
		known bool
	}{
		{message{Reported(Point{Term: 3, Position: 9})}, true},
		{message{Reported(Point{})}, true},
		{message{}, false},
		{olderMessage{}, false},
		{olderMessage{Point{Term: 3, Position: 9}}, false},
		{struct{}{}, false},
	}
	for _, tc := range cases {
		encoded, err := msgpack.Marshal(tc.sent)
		require.NoError(t, err)
		var got message
		require.NoError(t, msgpack.Unmarshal(encoded, &got))
		require.Equal(t, tc.known, got.Point.Known, "%+v", tc.sent)
	}
	encoded, err := msgpack.Marshal(message{Reported(Point{Term: 3, Position: 9})})
	require.NoError(t, err)
	var older olderMessage
	require.NoError(t, msgpack.Unmarshal(encoded, &older), "an older instance reads the point")
	require.Equal(t, Point{Term: 3, Position: 9}, older.Point)
}
