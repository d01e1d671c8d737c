package statement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClassify(t *testing.T) {
	cases := []struct {
		sql  string
		want Statement
	}{
		{"", Statement{Kind: Empty}},
		{" ; -- nothing\n", Statement{Kind: Empty}},
		{"select 1", Statement{}},
		{"/* a */ begin", Statement{Kind: Begin}},
		{"START TRANSACTION", Statement{Kind: Begin}},
		{"commit;", Statement{Kind: Commit}},
		{"rollback", Statement{Kind: Rollback}},
		{"rollback to savepoint s", Statement{}},
		{"ROLLBACK TRANSACTION TO s", Statement{}},
		{"COMMIT PREPARED 'x'", Statement{Kind: Refused, Feature: "two-phase commit"}},
		{"SET cicadacove.service = 'stock';", Statement{Kind: Set, Name: "cicadacove.service", Value: "stock"}},
		{"set SESSION Cicadacove.Service to stock", Statement{Kind: Set, Name: "cicadacove.service", Value: "stock"}},
		{"SET LOCAL x = 1", Statement{Kind: SetLocal}},
		{"SHOW cicadacove.session_token", Statement{Kind: Show, Name: "cicadacove.session_token"}},
		{"CREATE TEMP TABLE t(a int)", Statement{Kind: Refused, Feature: "temporary tables"}},
		{"CREATE TABLE t(a int)", Statement{}},
		{"select pg_advisory_lock(1)", Statement{Kind: Refused, Feature: "session advisory locks; use pg_advisory_xact_lock"}},
		{"copy t from stdin", Statement{Kind: Refused, Feature: "COPY"}},
	}
	for _, tc := range cases {
		require.Equal(t, tc.want, Classify(tc.sql), tc.sql)
	}
}

func TestContainsTransactionControl(t *testing.T) {
	require.False(t, ContainsTransactionControl("insert into t values (1); insert into t values (2)"))
	require.True(t, ContainsTransactionControl("insert into t values (1); commit; insert into t values (2)"))
	require.True(t, ContainsTransactionControl("insert into t values (1);BEGIN"))
}

func TestReadComments(t *testing.T) {
	var a Attributes
	require.NoError(t, a.ReadComments(`select '/*cicadacove.service=''no''*/' /*app='x',cicadacove.service='stock%20take',cicadacove.max_age='2s'*/`))
	require.Equal(t, Attributes{Service: "stock take", MaxAge: 2 * time.Second, HasMaxAge: true}, a)
	for sql, want := range map[string]string{
		"/*cicadacove.colour='red'*/":     "cicadacove.colour: unknown attribute",
		"/*cicadacove.max_age='old'*/":    "cicadacove.max_age",
		"/*cicadacove.service*/":          "has no value",
		"/*cicadacove.service='%zz'*/":    "URL-encoded",
		"/*cicadacove.request_id='%0a'*/": "control character",
	} {
		require.ErrorContains(t, a.ReadComments(sql), want)
	}
}

func FuzzReadComments(f *testing.F) {
	f.Add("select 1 /*cicadacove.service='stock'*/")
	f.Add("/*cicadacove.request_id='a%20b',x=1*/ select '/*'")
	f.Fuzz(func(t *testing.T, sql string) {
		var a Attributes
		err := a.ReadComments(sql)
		require.LessOrEqual(t, len(a.Service), MaxAttributeBytes)
		if err != nil {
			var bad *AttributeError
			require.ErrorAs(t, err, &bad)
		}
		require.NotPanics(t, func() { Classify(sql) })
	})
}
