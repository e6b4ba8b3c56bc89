package allocator

import "flag"

// init fixes the seed of the property tests, so that their results are reproducible. A seed on the command line
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
