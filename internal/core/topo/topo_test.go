package topo

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

func TestPointRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Point{Term(rapid.Uint64().Draw(t, "term")), Position(rapid.Uint64().Draw(t, "position"))}
		q, err := ParsePoint(p.String())
		require.NoError(t, err)
		require.Equal(t, p, q)
	})
}

func TestParsePointNamesTheField(t *testing.T) {
	for text, want := range map[string]string{"7": "term/position", "x/1": "term", "1/x": "position"} {
		_, err := ParsePoint(text)
		require.ErrorContains(t, err, want)
	}
}

func TestSurvives(t *testing.T) {
	g := Group{Term: 4, Starts: []TermStart{{2, 10}, {4, 25}}}
	cases := []struct {
		point           Point
		survives, known bool
	}{
		{Point{4, 99}, true, true},
		{Point{2, 25}, true, true},
		{Point{2, 26}, false, true},
		{Point{3, 26}, false, true},
		{Point{1, 10}, true, true},
		{Point{1, 11}, false, true},
		{Point{5, 1}, false, false},
	}
	for _, tc := range cases {
		survives, known := g.Survives(tc.point)
		require.Equal(t, tc.survives, survives, tc.point)
		require.Equal(t, tc.known, known, tc.point)
	}
}

func TestCoversNeedsTermAndPosition(t *testing.T) {
	require.True(t, Covers(Point{2, 5}, Point{2, 5}))
	require.True(t, Covers(Point{3, 5}, Point{2, 4}))
	require.False(t, Covers(Point{2, 9}, Point{3, 4}))
	require.False(t, Covers(Point{3, 3}, Point{2, 4}))
}

// A later term may begin at a lower position than an earlier one, if the database
// that was promoted had received fewer entries. The entries between the two starts
// are also lost.
func TestLaterTermMayRollBackFurther(t *testing.T) {
	g := Group{Term: 9, Starts: []TermStart{{3, 0}, {4, 1200}, {5, 1195}}}
	survives, known := g.Survives(Point{3, 1198})
	require.True(t, known)
	require.False(t, survives)
	require.Equal(t, Point{3, 1195}, g.Clamp(Point{3, 1198}))
	require.Equal(t, Point{3, 1190}, g.Clamp(Point{3, 1190}))
	require.Equal(t, Point{4, 1195}, g.Clamp(Point{4, 1207}))
	require.Equal(t, Point{5, 2000}, g.Clamp(Point{5, 2000}))
	require.Equal(t, Point{7, 1}, g.Clamp(Point{7, 1}), "a term that is not in the history")
}
