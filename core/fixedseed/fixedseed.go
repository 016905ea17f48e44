// Package fixedseed makes the property tests of a package that imports it draw
// the same in every run, unless the command line sets -rapid.seed. Only tests
// import it.
package fixedseed

import (
	"flag"

	// Registers the flag that is set below.
	_ "pgregory.net/rapid"
)

// seed is what the tests draw from.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
