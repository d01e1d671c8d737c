package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

func (db *fakeGroup) setConfigAge(age time.Duration) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.configAge = age
}

// Guards against a final refusal for a route or key that a later configuration may have added.
func TestNothingIsDeniedByAnUnconfirmedConfiguration(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	current := keyedCatalog(t, map[string]string{"k1": "north"})
	e.opts.Catalog = func() *catalog.Catalog { return current }
	dropped := openWith(t, e, "public", "")
	withdrawn := openWith(t, e, "strict", "k1")
	current = keyedCatalog(t, map[string]string{"k2": "south"})
	delete(current.Routes, "public")

	codes := func() []string {
		_, noRoute := e.Open("added", "k2")
		_, noKey := e.Open("strict", "added")
		return []string{
			noRoute.Code, dropped.read("r").Outcome.Code, dropped.begin(false).Outcome.Code,
			noKey.Code, withdrawn.read("r").Outcome.Code, withdrawn.begin(false).Outcome.Code,
		}
	}
	const noRoute, noKey = outcome.CodeNoDatabase, outcome.CodeUnauthenticated
	require.Equal(t, []string{noRoute, noRoute, noRoute, noKey, noKey, noKey}, codes())
	db.setConfigAge(time.Hour)
	for _, code := range codes() {
		require.NotContains(t, []string{noRoute, noKey}, code)
	}
}

// Guards against a denial by the former configuration while a later one is being applied.
func TestNothingIsDeniedByAConfigurationReadBeforeALaterOneWasConfirmed(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	former := e.opts.Catalog()
	c := openWith(t, e, "old", "")
	delete(former.Routes, "old")
	e.opts.Catalog = func() *catalog.Catalog {
		db.setConfigAge(0)
		return former
	}
	for _, refusal := range []func() outcome.Outcome{
		func() outcome.Outcome { _, o := e.Open("added", ""); return o },
		func() outcome.Outcome {
			return c.s.serveUpstream(t.Context(), Statement{Verb: Read}, time.Now()).Outcome
		},
		func() outcome.Outcome { return c.s.begin(Statement{}).Outcome },
	} {
		db.setConfigAge(time.Hour)
		require.Equal(t, outcome.CodeConfigUnconfirmed, refusal().Code)
	}
}

// Guards against reads on a route that a later configuration may have dropped, while another instance has that configuration.
func TestOvertakenInstanceServesNothingByAnOldConfiguration(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	c := openWith(t, e, "old", "")
	require.Equal(t, outcome.Done, c.read("r").Outcome.Kind)
	db.setConfigAge(configLimit)
	require.Equal(t, outcome.Done, c.read("r").Outcome.Kind, "an instance that is cut off with its zone goes on serving")
	db.overtaken = true
	_, refused := e.Open("old", "")
	for _, code := range []string{refused.Code, c.read("r").Outcome.Code, c.begin(true).Outcome.Code} {
		require.Equal(t, outcome.CodeConfigUnconfirmed, code)
	}
	db.setConfigAge(0)
	require.Equal(t, outcome.Done, c.begin(true).Outcome.Kind)
	db.setConfigAge(configLimit)
	require.Equal(t, outcome.Done, c.read("r").Outcome.Kind, "a transaction keeps its route")
}
