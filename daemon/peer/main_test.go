package peer_test

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes every run of the tests draw the same; `make fuzz` sets
// another one.
const fixedSeed = "20261202"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(fixedSeed)
	}
	os.Exit(m.Run())
}
