// Package testseed sets a fixed seed for rapid, so that a test draws the same
// cases on each run. Test files import it for its side effect. The flag
// -rapid.seed overrides the seed.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Seed is the default seed of all rapid tests.
const Seed = "20261"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
}
