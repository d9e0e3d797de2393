package authority

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that each run draws the same scenarios. The flags -rapid.seed and -rapid.checks override
// it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.checks", "400")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
