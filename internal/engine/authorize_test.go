package engine

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// keyedCatalog has a route that needs a key and a public one.
func keyedCatalog(t *testing.T, keys map[string]string) *catalog.Catalog {
	route := catalog.Route{
		Database: "strict", Group: group, Consistency: catalog.Primary, StatementTimeout: time.Second,
		Service: contract.Service{Name: "strict", Rank: 1, Target: time.Second},
	}
	public := route
	public.Database, public.Service.Name, public.Public = "public", "public", true
	c, err := catalog.Build(1, []catalog.Route{route, public}, []catalog.Group{{ID: group, Connections: 40}}, time.Second)
	require.NoError(t, err)
	byName := map[string][]string{}
	for key, name := range keys {
		byName[name] = append(byName[name], key)
	}
	var list []catalog.OrganisationKeys
	for name, keys := range byName {
		list = append(list, catalog.OrganisationKeys{Organisation: catalog.Organisation{Name: name}, Keys: keys})
	}
	require.NoError(t, c.SetOrganisations(list))
	return c
}

func openWith(t *testing.T, e *Engine[*fakeConn], database, key string) *client {
	s, refused := e.Open(database, key)
	require.NotNil(t, s, refused.Reason)
	return &client{s: s}
}

// Guards against work under a key that is unknown or was withdrawn, also in sessions and
// transactions that are open already.
func TestWithdrawnKeysEndTheWorkOfOpenSessions(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	current := keyedCatalog(t, map[string]string{"k1": "north", "k2": "south"})
	e.opts.Catalog = func() *catalog.Catalog { return current }
	for _, key := range []string{"", "k", "north"} {
		s, refused := e.Open("strict", key)
		require.Nil(t, s)
		require.Equal(t, outcome.CodeUnauthenticated, refused.Code)
	}
	require.Equal(t, outcome.Done, openWith(t, e, "public", "").read("p").Outcome.Kind)
	idle, tx, committing, kept := openWith(t, e, "strict", "k1"), openWith(t, e, "strict", "k1"), openWith(t, e, "strict", "k1"), openWith(t, e, "strict", "k2")
	for _, c := range []*client{tx, committing} {
		c.begin(false)
		require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
	}
	current = keyedCatalog(t, map[string]string{"k2": "south"})
	runs := len(db.runs)
	require.Equal(t, outcome.CodeUnauthenticated, idle.read("r").Outcome.Code)
	require.Equal(t, outcome.CodeUnauthenticated, idle.begin(false).Outcome.Code)
	require.Equal(t, outcome.CodeRolledBack, tx.write("w2").Outcome.Code)
	require.Equal(t, outcome.CodeRolledBack, committing.commit().Outcome.Code)
	require.Equal(t, TxNone, committing.s.State())
	require.Len(t, db.runs, runs, "nothing runs under a key that was withdrawn")
	require.Empty(t, db.committed)
	require.Equal(t, outcome.Done, kept.write("kept").Outcome.Kind)
}

// Guards against a transaction that goes on under another organisation, whose
// connections bear another name.
func TestKeyThatMovesEndsItsTransaction(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	current := keyedCatalog(t, map[string]string{"k": "north"})
	e.opts.Catalog = func() *catalog.Catalog { return current }
	c := openWith(t, e, "strict", "k")
	c.begin(false)
	require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
	first := db.lastRun("w").conn
	current = keyedCatalog(t, map[string]string{"k": "south"})
	require.Equal(t, outcome.CodeRolledBack, c.commit().Outcome.Code)
	require.Empty(t, db.committed)
	require.Equal(t, outcome.Done, c.write("w2").Outcome.Kind)
	require.NotEqual(t, first, db.lastRun("w2").conn, "organisations share no connection")
}

// countingQuota admits all operations and counts them.
type countingQuota struct{ taken int }

func (q *countingQuota) Take(context.Context, string) (time.Duration, bool) {
	q.taken++
	return 0, true
}

// Guards against a transaction that is counted twice for the rate limit since its first
// statement was retried inside the instance.
func TestRetriedTransactionIsCountedOnce(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	quota := &countingQuota{}
	e.opts.Quota = quota
	c := keyedCatalog(t, map[string]string{"k": "north"})
	e.opts.Catalog = func() *catalog.Catalog { return c }
	caller := openWith(t, e, "strict", "k")
	refuse := true
	db.fail = func(_ topo.UpstreamID, st Statement) failure {
		if st.Verb == Write && refuse {
			refuse = false
			return busy
		}
		return none
	}
	caller.begin(false)
	for _, item := range []string{"first", "second"} {
		require.Equal(t, outcome.Done, caller.write(item).Outcome.Kind)
	}
	require.Equal(t, outcome.Done, caller.commit().Outcome.Kind)
	require.Equal(t, 1, quota.taken)
}
