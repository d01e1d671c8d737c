package questionnaire_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/examples"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func example(t *testing.T, profile string) *questionnaire.Answers {
	t.Helper()
	data, err := examples.Answers(profile)
	require.NoError(t, err)
	a, err := questionnaire.Parse(data)
	require.NoError(t, err)
	return a
}

func TestExamplesGenerate(t *testing.T) {
	want := map[string][]contract.Service{
		"selam": {
			{Name: "booking", Rank: 1, Writes: true, Target: 2 * time.Second, Durability: 2},
			{Name: "returns", Rank: 2, Writes: true, Target: time.Second, FloorPercent: 20, Durability: 2},
			{Name: "stock", Rank: 3, Repeatable: true, MaxAge: 2 * time.Second, Target: 2 * time.Second, FloorPercent: 10, Durability: 1},
		},
		"baumwachs": {
			{Name: "placement", Rank: 1, Writes: true, Target: 2 * time.Second, Durability: 2},
			{Name: "dispatch", Rank: 2, Writes: true, Target: time.Second, FloorPercent: 20, Durability: 2},
			{Name: "catalogue", Rank: 3, Repeatable: true, MaxAge: 10 * time.Second, Target: 2 * time.Second, FloorPercent: 10, Durability: 1},
		},
	}
	for _, profile := range examples.Profiles() {
		g, err := questionnaire.Generate(example(t, profile), now)
		require.NoError(t, err, profile)
		require.Equal(t, want[profile], g.Contract.Services, profile)
		require.Len(t, g.Contract.Groups, 3)
		again, err := questionnaire.Generate(example(t, profile), now)
		require.NoError(t, err)
		require.Equal(t, g, again)
	}
}

func TestEveryValueHasASource(t *testing.T) {
	g, err := questionnaire.Generate(example(t, "selam"), now)
	require.NoError(t, err)
	require.Len(t, g.Sources, len(contract.Values(&g.Contract)))
	byField := map[string]questionnaire.Source{}
	for _, s := range g.Sources {
		byField[s.Field] = s
	}
	require.Equal(t, questionnaire.Source{
		Field: "services.booking.durability", Value: "2", Answer: "booking.harm_lost", Given: "severe",
		Rule: "a lost change does severe harm, so a second database holds it before it is acknowledged",
	}, byField["services.booking.durability"])
}

func TestRefusalsNameTheAnswer(t *testing.T) {
	cases := []struct {
		set     []questionnaire.Setting
		answer  string
		problem contract.Problem
	}{
		{set("stock.harm_lost", "slight"), "stock.harm_lost", contract.ProblemContradiction},
		{set("stock.harm_doubled", "slight"), "stock.harm_doubled", contract.ProblemContradiction},
		{set("booking.data_age", "1s"), "booking.data_age", contract.ProblemContradiction},
		{set("returns.priority", "3", "stock.priority", "2"), "stock.priority", contract.ProblemContradiction},
		{set("returns.harm_late", "severe", "returns.flood_share", "0"), "returns.flood_share", contract.ProblemContradiction},
		{set("booking.flood_share", "71"), "flood_share", contract.ProblemOutOfRange},
		{set("booking.wait", "0s"), "booking.wait", contract.ProblemOutOfRange},
		{set("booking.wait", "300"), "booking.wait", contract.ProblemMalformed},
		{set("booking.priority", "4"), "booking.priority", contract.ProblemOutOfRange},
		{set("support_ends", "2029-12-31"), "support_ends", contract.ProblemPast},
		{set("databases", "a,b,a"), "databases[2]", contract.ProblemDuplicate},
		{set("booking.work", ""), "booking.work", contract.ProblemMissing},
		{set("rental.wait", "1s"), "rental.wait", contract.ProblemUnknown},
		{set("booking.speed", "1s"), "booking.speed", contract.ProblemUnknown},
		{set("team", "baumwachs"), "team", contract.ProblemForbidden},
	}
	for _, tc := range cases {
		a, err := questionnaire.Amend(example(t, "selam"), tc.set)
		if err == nil {
			_, err = questionnaire.Generate(a, now)
		}
		var fields contract.FieldErrors
		require.ErrorAs(t, err, &fields, tc.answer)
		require.Equal(t, tc.answer, fields[0].Field)
		require.Equal(t, tc.problem, fields[0].Problem, tc.answer)
	}
}

func set(pairs ...string) []questionnaire.Setting {
	var settings []questionnaire.Setting
	for i := 0; i < len(pairs); i += 2 {
		settings = append(settings, questionnaire.Setting{Answer: pairs[i], Value: pairs[i+1]})
	}
	return settings
}

func TestParseNamesLineAndKey(t *testing.T) {
	_, err := questionnaire.Parse([]byte("contract = \"a\"\nsped = 3\n"))
	var parseErr *questionnaire.ParseError
	require.ErrorAs(t, err, &parseErr)
	require.Equal(t, 2, parseErr.Line)
	require.Equal(t, "sped", parseErr.Key)
	_, err = questionnaire.Parse([]byte("[[service]]\nname = \"a\"\nwait = \"soon\"\n"))
	require.ErrorAs(t, err, &parseErr)
	require.Equal(t, 3, parseErr.Line)
}

func TestFormatRoundTrip(t *testing.T) {
	for _, profile := range examples.Profiles() {
		a := example(t, profile)
		text, err := questionnaire.Format(a)
		require.NoError(t, err)
		again, err := questionnaire.Parse(text)
		require.NoError(t, err, string(text))
		require.Equal(t, a, again)
	}
}

func TestAmendLeavesTheOriginal(t *testing.T) {
	a := example(t, "selam")
	_, err := questionnaire.Amend(a, set("booking.wait", "9s", "databases", "x"))
	require.NoError(t, err)
	require.Equal(t, example(t, "selam"), a)
}

func FuzzParse(f *testing.F) {
	for _, profile := range examples.Profiles() {
		data, err := examples.Answers(profile)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte("[[service]]\nname = \"a.b\"\nwait = \"-1s\"\nflood_share = nan"))
	f.Add([]byte("service = [{name = \"\"}, {priority = 9}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := questionnaire.Parse(data)
		if err != nil {
			return
		}
		g, err := questionnaire.Generate(a, now)
		if err != nil {
			var fields contract.FieldErrors
			require.ErrorAs(t, err, &fields)
			return
		}
		require.NoError(t, contract.Validate(&g.Contract, nil, now))
		require.Len(t, g.Sources, len(contract.Values(&g.Contract)))
	})
}
