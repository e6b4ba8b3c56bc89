package persister

import "flag"

// init fixes the seed of the random tests, so that a run has the same verdict each time. A seed
// on the command line goes before it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
