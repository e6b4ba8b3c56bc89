package runner

import "flag"

// init fixes the seed of the property tests, so that results are reproducible. A seed on the command line takes
// precedence.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
