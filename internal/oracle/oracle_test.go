package oracle

import (
	"testing"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/stretchr/testify/require"
)

func requestRows(session, request string, parts int) []Row {
	var rows []Row
	for part := range parts {
		rows = append(rows, Row{session, request, part})
	}
	return rows
}

func recordWrite(o *Oracle, request string, parts int, kind outcome.Kind) {
	o.BeginWrite("s", request, parts, true)
	o.EndWrite(request, kind)
}

func violationKinds(o *Oracle) []Kind {
	kinds := []Kind{}
	for _, v := range o.Violations() {
		kinds = append(kinds, v.Kind)
	}
	return kinds
}

func TestCorrectHistoryHasNoViolations(t *testing.T) {
	o := New()
	recordWrite(o, "done", 2, outcome.Done)
	recordWrite(o, "refused", 1, outcome.NotRun)
	recordWrite(o, "unknown, ran", 1, outcome.Unknown)
	recordWrite(o, "unknown, did not run", 1, outcome.Unknown)
	o.BeginWrite("s", "running", 1, true)
	read := o.BeginRead("s")
	o.EndWrite("running", outcome.Done)
	read.End(requestRows("s", "done", 2), "replica")
	o.EndWrite("done", outcome.Unknown)
	o.EndWrite("unknown, ran", outcome.NotRun)
	rows := append(requestRows("s", "done", 2), requestRows("s", "running", 1)...)
	o.Finish(append(rows, requestRows("s", "unknown, ran", 1)...))
	require.Empty(t, violationKinds(o))
	require.Equal(t, 1, o.Summary().Reads)
	require.Equal(t, 2, o.Summary().Writes[outcome.Done])
}

func TestEachViolationIsReported(t *testing.T) {
	cases := map[Kind]func(*Oracle){
		Lost: func(o *Oracle) { recordWrite(o, "w", 1, outcome.Done); o.Finish(nil) },
		Doubled: func(o *Oracle) {
			recordWrite(o, "w", 1, outcome.Done)
			o.Finish(append(requestRows("s", "w", 1), requestRows("s", "w", 1)...))
		},
		StaleOwnRead: func(o *Oracle) { recordWrite(o, "w", 1, outcome.Done); o.BeginRead("s").End(nil, "replica") },
		RefusedButRan: func(o *Oracle) {
			recordWrite(o, "w", 1, outcome.NotRun)
			o.Finish(requestRows("s", "w", 1))
		},
		Partial: func(o *Oracle) {
			recordWrite(o, "w", 2, outcome.Unknown)
			o.Finish(requestRows("s", "w", 1))
		},
		Unexpected: func(o *Oracle) { o.Finish(requestRows("s", "never sent", 1)) },
	}
	for want, inject := range cases {
		o := New()
		inject(o)
		require.Equal(t, []Kind{want}, violationKinds(o))
		require.Equal(t, 1, o.Summary().Violations[want])
	}
}

func TestRowsOfAnotherSessionAreUnexpected(t *testing.T) {
	o := New()
	recordWrite(o, "w", 1, outcome.Done)
	o.BeginRead("other").End(requestRows("s", "w", 1), "replica")
	require.Equal(t, []Kind{Unexpected}, violationKinds(o))
}

func TestNonDurableWriteMayBeLost(t *testing.T) {
	o := New()
	o.BeginWrite("s", "w", 1, false)
	o.EndWrite("w", outcome.Done)
	o.BeginRead("s").End(nil, "replica")
	o.Finish(nil)
	require.Empty(t, violationKinds(o))
}
