package commander

import (
	"io"
	"os"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/console/demonstrator"
)

// demoCommand runs the demonstration fleets in this process.
type demoCommand struct {
	c       *Commander
	Seed    uint64 `long:"seed" default:"1" description:"seed of the load"`
	Verbose bool   `long:"verbose" description:"print the daemons' logs"`
}

// Execute runs the demonstration and fails if any guarantee was violated.
func (d *demoCommand) Execute([]string) error {
	log := zap.NewNop()
	if d.Verbose {
		var err error
		if log, err = zap.NewDevelopment(); err != nil {
			return err
		}
	}
	result, err := demonstrator.Run(demonstrator.Options{Seed: d.Seed, Progress: terminalWriter(os.Stderr), Log: log})
	if err != nil {
		return err
	}
	if d.c.globals.JSON {
		err = d.c.printJSON(result.Row)
	} else {
		err = result.Print(d.c.out)
	}
	if err == nil && result.HasViolations() {
		err = exitError{ExitFailure}
	}
	return err
}

// terminalWriter returns the file if it is a terminal, and nil otherwise.
func terminalWriter(f *os.File) io.Writer {
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return f
}
