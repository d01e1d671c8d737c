package drain

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSessionsEndBetweenRequestsFirst(t *testing.T) {
	for _, c := range []struct {
		step            Step
		betweenRequests bool
		inTransaction   bool
		want            bool
	}{
		{Serve, true, false, false},
		{Leave, true, false, true},
		{Leave, true, true, false},
		{Leave, false, false, false},
		{EndTransactions, true, true, true},
		{EndTransactions, false, false, true},
		{Abandon, false, true, true},
		{Close, true, false, true},
	} {
		require.Equal(t, c.want, c.step.EndsSession(c.betweenRequests, c.inTransaction), "%s, between requests: %t, in a transaction: %t", c.step, c.betweenRequests, c.inTransaction)
	}
}
