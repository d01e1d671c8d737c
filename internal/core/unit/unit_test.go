package unit

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/statement"
)

func unitOf(t *testing.T, known Statements, msgs ...pgproto3.FrontendMessage) *Unit {
	t.Helper()
	u := &Unit{}
	for i, m := range msgs {
		complete, err := u.Add(m)
		require.NoError(t, err)
		require.Equal(t, i == len(msgs)-1, complete)
	}
	require.NoError(t, u.Classify(known))
	return u
}

func extended(name, sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: name, Query: sql}, &pgproto3.Bind{PreparedStatement: name},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{},
	}
}

func TestClassify(t *testing.T) {
	known := Statements{"s": {SQL: "COMMIT"}}
	simple := unitOf(t, nil, &pgproto3.Query{String: "BEGIN"})
	require.Equal(t, statement.Begin, simple.Stmt.Kind)
	byName := unitOf(t, known, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	require.Equal(t, statement.Commit, byName.Stmt.Kind)
	require.True(t, byName.Executes)
	onlyParse := unitOf(t, nil, &pgproto3.Parse{Query: "BEGIN"}, &pgproto3.Sync{})
	require.False(t, onlyParse.Executes)
	require.Equal(t, statement.Other, onlyParse.Stmt.Kind)
}

func TestClassifyRefuses(t *testing.T) {
	batch := &Unit{Msgs: append(extended("", "BEGIN")[:4], extended("", "SELECT 1")...)}
	require.ErrorContains(t, batch.Classify(nil), "within a batch")
	several := &Unit{Simple: true, SQLs: []string{"SELECT 1; COMMIT"}}
	require.ErrorContains(t, several.Classify(nil), "several statements")
	_, err := (&Unit{}).Add(&pgproto3.Flush{})
	require.ErrorContains(t, err, "Flush")
}

func TestRewritePreparesWhatTheConnectionLacks(t *testing.T) {
	known := Statements{"s": {SQL: "SELECT 1"}}
	u := unitOf(t, known, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	out, err := u.Rewrite(known, func(string) bool { return false })
	require.NoError(t, err)
	parse, ok := out.Msgs[0].(*pgproto3.Parse)
	require.True(t, ok, "the statement is prepared first")
	require.Equal(t, []string{parse.Name}, out.Names)
	require.Equal(t, parse.Name, out.Msgs[1].(*pgproto3.Bind).PreparedStatement)

	var seen []pgproto3.BackendMessage
	sink := out.Filter(func(m pgproto3.BackendMessage) error {
		seen = append(seen, m)
		return nil
	})
	for _, m := range []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.ParseComplete{}} {
		require.NoError(t, sink(m))
	}
	require.Len(t, seen, 2, "only the answer to the injected Parse is dropped")

	out, err = u.Rewrite(known, func(name string) bool { return name == parse.Name })
	require.NoError(t, err)
	require.Len(t, out.Msgs, 3, "the connection has already prepared the statement")
}

func TestRewriteKeepsTheNumberOfAnswers(t *testing.T) {
	u := unitOf(t, nil, extended("s", "SELECT 1")...)
	out, err := u.Rewrite(nil, func(string) bool { return true })
	require.NoError(t, err)
	require.Len(t, out.Msgs, 5)
	require.Empty(t, out.Msgs[0].(*pgproto3.Parse).Name, "parsed again as an unnamed statement")
	require.Empty(t, out.Names)
	unnamed := unitOf(t, nil, extended("", "SELECT 1")...)
	out, err = unnamed.Rewrite(nil, func(string) bool { return false })
	require.NoError(t, err)
	require.Empty(t, out.Names, "unnamed statements are not kept on connections")
	_, err = unitOf(t, nil, &pgproto3.Bind{PreparedStatement: "x"}, &pgproto3.Sync{}).Rewrite(nil, func(string) bool { return false })
	require.ErrorContains(t, err, `"x" does not exist`)
}

func TestFingerprintIgnoresComments(t *testing.T) {
	a := unitOf(t, nil, extended("", "SELECT 1 /*cicadacove.session_token='a'*/")...)
	b := unitOf(t, nil, extended("", "SELECT 1 /*cicadacove.session_token='b'*/")...)
	c := unitOf(t, nil, extended("", "SELECT 2")...)
	require.Equal(t, a.Fingerprint(), b.Fingerprint())
	require.NotEqual(t, a.Fingerprint(), c.Fingerprint())
	require.Equal(t, "PBDE", a.Shape())
}
