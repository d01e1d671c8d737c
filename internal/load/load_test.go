package load

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/load/model"
)

func runModel(t *testing.T, e Experiment, p Profile, seed uint64) *Report {
	t.Helper()
	report, err := e.Run(t.Context(), p, ModeModel, seed)
	require.NoError(t, err)
	return report
}

// TestExperimentsMeetTheirTargets runs every experiment with both profiles. The
// model runs in virtual time, so the result depends on the seed alone.
func TestExperimentsMeetTheirTargets(t *testing.T) {
	for _, name := range ProfileNames() {
		p, err := ProfileByName(name)
		require.NoError(t, err)
		for _, e := range Experiments() {
			t.Run(name+"/"+e.Name, func(t *testing.T) {
				t.Parallel()
				e.Variants = e.Variants[:1]
				for _, c := range runModel(t, e, p, 1).Checks {
					require.True(t, c.OK(), "%s: %.3f, want %.2f", c.Name, c.Got, c.Want)
				}
			})
		}
	}
}

// TestTargetsCanBeMissed runs the overload experiments with a baseline policy
// and expects their checks to fail.
func TestTargetsCanBeMissed(t *testing.T) {
	p, err := ProfileByName("selam")
	require.NoError(t, err)
	for _, e := range []Experiment{floodLow(), floodUrgent()} {
		baseline := e.Variants[1]
		require.Equal(t, "fifo", baseline.Name)
		baseline.Name = DefaultVariant
		e.Variants = []Variant{baseline}
		require.True(t, runModel(t, e, p, 1).Failed(), e.Name)
	}
}

func TestRunIsDeterministic(t *testing.T) {
	p, err := ProfileByName("baumwachs")
	require.NoError(t, err)
	e := floodUrgent()
	e.Variants = e.Variants[:1]
	first, second := runModel(t, e, p, 7), runModel(t, e, p, 7)
	require.Equal(t, first, second)
	require.NotEqual(t, first.Variants, runModel(t, e, p, 8).Variants)
}

func TestReportFormats(t *testing.T) {
	p, err := ProfileByName("selam")
	require.NoError(t, err)
	e := reads()
	e.Variants = e.Variants[:1]
	report := runModel(t, e, p, 1)
	var text bytes.Buffer
	require.NoError(t, report.Print(&text))
	require.Contains(t, text.String(), "mode model, seed 1")
	data, err := json.Marshal(report)
	require.NoError(t, err)
	require.Contains(t, string(data), `"within_share"`)
}

// TestOracleChecksFail expects each kind of violation to fail a check.
func TestOracleChecksFail(t *testing.T) {
	p, err := ProfileByName("selam")
	require.NoError(t, err)
	for _, result := range []model.Result{{RefusedButRan: 1}, {Doubled: 1}, {Lost: 1}, {PeakConnections: p.Connections + 1}} {
		failed := Report{Checks: oracleChecks(&p, &result)}
		require.True(t, failed.Failed())
	}
}

func TestPlotFormats(t *testing.T) {
	report := Report{Variants: []VariantReport{{Name: DefaultVariant}}}
	for _, rank := range ranks() {
		report.Variants[0].Ranks = append(report.Variants[0].Ranks, RankReport{Rank: rank, Goodput: []float64{1, 2, 3}})
	}
	for _, name := range []string{"a.svg", "a.png"} {
		path := filepath.Join(t.TempDir(), name)
		require.NoError(t, report.Plot(path))
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NotEmpty(t, data)
	}
	require.ErrorContains(t, report.Plot(filepath.Join(t.TempDir(), "a.txt")), "want .svg or .png")
}

func TestSlopesRun(t *testing.T) {
	for _, s := range Slopes() {
		s.Sizes = s.Sizes[:1]
		report := s.Run()
		require.Len(t, report.Costs, 1)
		require.Positive(t, report.Costs[0].Nanoseconds)
	}
}
