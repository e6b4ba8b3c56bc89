package replicator

import "flag"

// init sets a fixed seed for the rapid tests, so that their results are reproducible. A seed given on the
// command line takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
