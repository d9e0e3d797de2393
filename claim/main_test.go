package claim

import (
	"flag"
	"os"
	"testing"
)

var long = flag.Bool("long", false, "run the store budget test at its full length")

// TestMain sets a fixed seed and number of checks, so that each run draws the same scenarios. The flags -rapid.seed and
// -rapid.checks override them.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.checks", "1500")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
