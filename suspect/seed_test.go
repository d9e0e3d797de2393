package suspect_test

import "flag"

// A fixed seed makes the results reproducible; the flag -rapid.seed overrides it.
func init() { flag.Set("rapid.seed", "1") }
