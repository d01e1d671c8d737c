package engine

import (
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/freshness"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// authorize returns the organisation of the key, empty if the route needs no key. ok is
// false if the key is unknown or has been withdrawn.
func authorize(c *catalog.Catalog, r catalog.Route, key catalog.KeyDigest) (organisation string, ok bool) {
	if !c.RequiresKeys || r.Public {
		return "", true
	}
	o, ok := c.Authenticate(key)
	return o.Name, ok
}

// authorize checks the key of the session's caller against the current configuration, so
// that a key that is withdrawn ends the work of open sessions too. A key that has moved to
// another organisation ends an open transaction.
func (s *Session[C]) authorize(r catalog.Route) (organisation string, ok bool) {
	c := s.engine.opts.Catalog()
	if c == nil {
		return "", false
	}
	organisation, ok = authorize(c, r, s.key)
	if s.tx != nil && s.tx.organisation != organisation {
		return "", false
	}
	return organisation, ok
}

func unauthenticated() outcome.Outcome {
	return outcome.Refused(outcome.CodeUnauthenticated, "the key is unknown or has been withdrawn")
}

// refuseUnauthenticated refuses a statement and rolls back an open transaction.
func (s *Session[C]) refuseUnauthenticated(st Statement, trust freshness.Trust) Reply {
	if s.tx == nil {
		return refused(trust.Deny(unauthenticated()))
	}
	if st.Verb == Commit {
		s.endTransaction()
	} else {
		s.failTransaction()
	}
	return refused(rolledBack("the caller's key has been withdrawn"))
}
