// Command bluebellgauged runs the daemon: an entry for callers, operators and workers and, if a data folder is
// configured, a replica of the replicated state.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/daemon/runner"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

type options struct {
	Settings string `short:"s" long:"settings" required:"true" description:"file with the daemon's settings"`
}

func main() { os.Exit(run()) }

func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return 0
		}
		return exitSettings
	}
	// The daemon serves requests before start returns.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, log, err := start(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellgauged:", err)
		return exitSettings
	}
	select {
	case <-signals:
		d.Stop()
		log.Info("stopped")
		return 0
	case err := <-d.Failed():
		log.Error("daemon failed", zap.Error(err))
		d.Kill()
		return exitFailure
	}
}

func start(path string) (*runner.Runner, *zap.Logger, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s, err := parser.ParseSettings(path, text)
	if err != nil {
		return nil, nil, err
	}
	operator, err := runner.ReadToken(s.Operator)
	if err != nil {
		return nil, nil, err
	}
	secret, err := runner.ReadToken(s.Secret)
	if err != nil {
		return nil, nil, err
	}
	log, err := newLogger(s)
	if err != nil {
		return nil, nil, err
	}
	d, err := runner.New(runner.Options{
		Settings: s, Operator: operator, Secret: secret, Timing: registrar.DefaultTiming(),
		Tick: runner.DefaultTick, Snapshots: runner.DefaultSnapshots, RepairAfter: runner.DefaultRepairAfter, Files: filer.Disk{}, Log: log,
	})
	return d, log, err
}

func newLogger(s *parser.Settings) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Encoding = s.Format
	config.Sampling = nil
	level, err := zap.ParseAtomicLevel(s.Level)
	if err != nil {
		return nil, err
	}
	config.Level = level
	return config.Build()
}
