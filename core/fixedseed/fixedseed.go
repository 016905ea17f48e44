// Package fixedseed makes the property tests of a package that imports it use the same random
// values in every run, unless -rapid.seed is set on the command line. Only tests import it.
package fixedseed

import (
	"flag"

	// Registers the flag -rapid.seed, which init sets.
	_ "pgregory.net/rapid"
)

// seed is the default random seed of property tests.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
