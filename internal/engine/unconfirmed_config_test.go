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
