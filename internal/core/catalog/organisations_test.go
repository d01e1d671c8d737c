package catalog

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func withOrganisations(list ...OrganisationKeys) (*Catalog, error) {
	c, err := Build(1, nil, nil, time.Second)
	if err != nil {
		return nil, err
	}
	return c, c.SetOrganisations(list)
}

func organisation(name string, keys ...string) OrganisationKeys {
	return OrganisationKeys{Organisation: Organisation{Name: name}, Keys: keys}
}

// Guards against a caller that is taken for another organisation, or for one although
// its key is unknown.
func TestKeysIdentifyTheirOrganisation(t *testing.T) {
	c, err := withOrganisations(organisation("north", "n1", "n2"), organisation("south", "s1", "s1"), organisation("none"))
	require.NoError(t, err)
	for key, want := range map[string]string{"n1": "north", "n2": "north", "s1": "south"} {
		o, ok := c.Authenticate(DigestKey(key))
		require.True(t, ok)
		require.Equal(t, want, o.Name)
	}
	for _, key := range []string{"", "n", "n11", "north"} {
		_, ok := c.Authenticate(DigestKey(key))
		require.False(t, ok, key)
	}
}

// Guards against a configuration under which it is undecided whose work a request is.
func TestAmbiguousOrganisationsAreInvalid(t *testing.T) {
	var invalid *FieldError
	for name, list := range map[string][]OrganisationKeys{
		"a shared key":  {organisation("north", "k"), organisation("south", "k")},
		"the same name": {organisation("north", "a"), organisation("north", "b")},
		"no name":       {organisation("", "a")},
	} {
		_, err := withOrganisations(list...)
		require.ErrorAs(t, err, &invalid, name)
		require.NotContains(t, err.Error(), "k\"", "a key must not appear in an error")
	}
}

// Guards against limits that overflow where they are multiplied.
func TestRateLimitsAreBroughtIntoRange(t *testing.T) {
	for _, v := range []float64{math.Inf(-1), -1, 0, math.NaN(), math.MaxFloat64} {
		c, err := withOrganisations(OrganisationKeys{Organisation: Organisation{Name: "o", Rate: v, Burst: v, Limited: true}})
		require.NoError(t, err)
		o, _ := c.Organisation("o")
		require.True(t, o.Rate >= minRate && o.Rate <= maxRate && o.Burst >= minBurst && o.Burst <= maxRate, "%v: %v", v, o)
	}
}
