// Command bluebellgauge is the command-line client for callers, operators and deployment pipelines.
package main

import (
	"os"

	"github.com/bluebellgauge/bluebellgauge/internal/console/commander"
)

func main() { os.Exit(commander.New(os.Stdout, os.Stderr).Run(os.Args[1:])) }
