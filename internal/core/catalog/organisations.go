package catalog

import (
	"crypto/sha256"
	"fmt"
	"math"
)

// Organisation is a customer whose callers share keys and a rate limit.
type Organisation struct {
	Name string
	// Rate is how many operations per second all instances together may run for the
	// organisation, Burst how many it may start at once. Both are zero if Limited is
	// not set.
	Rate, Burst float64
	Limited     bool
}

// OrganisationKeys is an organisation of a configuration with its keys.
type OrganisationKeys struct {
	Organisation
	Keys []string
}

// KeyDigest identifies a key without revealing it. Digests are compared in place of keys,
// so the time of a comparison reveals nothing about a key either.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

const (
	// maxRate bounds a rate and a burst, so that multiples of them can't overflow.
	maxRate = 1e9
	// minRate and minBurst let an organisation with the lowest limit start an operation now
	// and then: a rate of 0 means no limit elsewhere.
	minRate  = 0.001
	minBurst = 1
)

// SetOrganisations makes callers present a key of one of the organisations, except on
// public routes. The error is a *FieldError.
func (c *Catalog) SetOrganisations(list []OrganisationKeys) error {
	c.RequiresKeys = true
	c.organisations = make(map[string]Organisation, len(list))
	c.byKey = map[KeyDigest]string{}
	for _, o := range list {
		if o.Name == "" {
			return &FieldError{"organisation", "has no name"}
		}
		if _, duplicate := c.organisations[o.Name]; duplicate {
			return &FieldError{"organisation " + o.Name, "is given twice"}
		}
		c.organisations[o.Name] = o.Organisation.limited()
		c.countLimited(c.organisations[o.Name] != o.Organisation)
		if err := c.addKeys(o); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalog) addKeys(o OrganisationKeys) error {
	for _, key := range o.Keys {
		if key == "" {
			continue // it would admit callers that send no key
		}
		digest := DigestKey(key)
		if owner, taken := c.byKey[digest]; taken && owner != o.Name {
			return &FieldError{"organisation " + o.Name, fmt.Sprintf("has a key of the organisation %s", owner)}
		}
		c.byKey[digest] = o.Name
	}
	return nil
}

func (o Organisation) limited() Organisation {
	if !o.Limited {
		o.Rate, o.Burst = 0, 0
		return o
	}
	o.Rate = min(max(o.Rate, minRate), maxRate)
	o.Burst = min(max(o.Burst, minBurst), maxRate)
	if math.IsNaN(o.Rate) || math.IsNaN(o.Burst) {
		o.Rate, o.Burst = minRate, minBurst
	}
	return o
}

// Authenticate returns the organisation that holds the key.
func (c *Catalog) Authenticate(key KeyDigest) (Organisation, bool) {
	name, ok := c.byKey[key]
	if !ok {
		return Organisation{}, false
	}
	return c.organisations[name], true
}

// Organisation returns the organisation with the name.
func (c *Catalog) Organisation(name string) (Organisation, bool) {
	o, ok := c.organisations[name]
	return o, ok
}

// Organisations returns the number of organisations.
func (c *Catalog) Organisations() int { return len(c.organisations) }
