package registrar

import "flag"

// init sets a fixed seed for the property-based tests, so that their results are reproducible. A seed on the
// command line takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
