// Command bluebellgauge is the command line for callers, operators and the pipeline.
package main

import (
	"os"

	"github.com/bluebellgauge/bluebellgauge/internal/console/commander"
)

func main() { os.Exit(commander.New(os.Stdout, os.Stderr).Run(os.Args[1:])) }
