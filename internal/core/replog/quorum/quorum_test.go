package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommitted(t *testing.T) {
	cases := []struct {
		values []uint64
		want   uint64
	}{
		{nil, 0},
		{[]uint64{7}, 7},
		{[]uint64{7, 3}, 3},
		{[]uint64{7, 3, 5}, 5},
		{[]uint64{9, 0, 0}, 0},
		{[]uint64{4, 3, 2, 1}, 2},
		{[]uint64{5, 5, 5, 1, 1}, 5},
		{[]uint64{7, 6, 5, 4, 3, 2, 1}, 4},
	}
	for _, tc := range cases {
		require.Equal(t, tc.want, Committed(tc.values), "%v", tc.values)
	}
}

func TestTally(t *testing.T) {
	abc := []string{"a", "b", "c"}
	cases := []struct {
		name   string
		voters []string
		votes  map[string]bool
		want   Result
	}{
		{"no voters", nil, map[string]bool{"a": true}, Lost},
		{"single", []string{"a"}, map[string]bool{"a": true}, Won},
		{"no reply", abc, nil, Pending},
		{"one yes", abc, map[string]bool{"a": true}, Pending},
		{"two yes", abc, map[string]bool{"a": true, "b": true}, Won},
		{"one no", abc, map[string]bool{"a": true, "b": false}, Pending},
		{"two no", abc, map[string]bool{"a": true, "b": false, "c": false}, Lost},
		{"non-voter", abc, map[string]bool{"a": true, "x": true}, Pending},
		{"even half", []string{"a", "b"}, map[string]bool{"a": true}, Pending},
		{"even refusal", []string{"a", "b"}, map[string]bool{"a": true, "b": false}, Lost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, Tally(tc.voters, tc.votes))
		})
	}
}
