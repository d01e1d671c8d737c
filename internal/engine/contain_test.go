package engine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Guards against an unexpected error that ends the process with the requests of all
// other callers. Its request ends with an unknown result, its connection and its slot are given
// back, and the session goes on.
func TestUnexpectedErrorEndsOneRequest(t *testing.T) {
	for _, fault := range []failure{crashBefore, crashAfter} {
		for _, crashing := range []Verb{Begin, Read, Write, Commit} {
			db := newFakeGroup()
			e := newEngine(db)
			c, other := open(t, e, "strict"), open(t, e, "strict")
			const attempts = 10 // more than the slots of an upstream
			for range attempts {
				crashed := false
				db.fail = func(_ topo.UpstreamID, st Statement) failure {
					if crashed || st.Verb != crashing {
						return none
					}
					crashed = true
					return fault
				}
				var last Reply
				for _, do := range []func() Reply{func() Reply { return c.begin(false) }, func() Reply { return c.read("x") }, func() Reply { return c.write("w") }, c.commit} {
					last = do()
					if crashed {
						break
					}
				}
				require.True(t, crashed)
				require.Equal(t, outcome.Unknown, last.Outcome.Kind)
				require.NotContains(t, last.Outcome.Reason, "index", "callers get no internals")
				if last.State != TxNone {
					c.rollback()
				}
				require.Equal(t, TxNone, c.s.State())
				require.Equal(t, outcome.Done, other.write("of another session").Outcome.Kind)
				require.False(t, db.lastRun("of another session").inTx, "the connection is not used again")
			}
		}
	}
}
