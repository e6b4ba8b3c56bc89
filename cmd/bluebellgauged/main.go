// Command bluebellgauged runs the daemon: an entry for callers, operators and workers and, if a data folder is
// configured, a replica of the replicated state.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/daemon/runner"
	"github.com/bluebellgauge/bluebellgauge/internal/daemon/signaller"
	"github.com/bluebellgauge/bluebellgauge/internal/report/logger"
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
	signals := signaller.New()
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return 0
		}
		return exitSettings
	}
	sink := logger.New(os.Stderr)
	defer sink.Close()
	d, log, err := start(opts.Settings, sink)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellgauged:", err)
		return exitSettings
	}
	sink.CountIn(d.Metrics().SubScope("log"))
	return watch(d, signals, log)
}

// watch handles signals and fatal errors. It returns the exit code.
func watch(d *runner.Runner, signals *signaller.Signaller, log *zap.Logger) int {
	for {
		select {
		case s := <-signals.Stop():
			signaller.Log(log, s)
			d.Stop()
			log.Info("stopped")
			return 0
		case s := <-signals.Reload():
			signaller.Log(log, s)
			log.Info("settings are read at the start only")
		case err := <-d.Failed():
			log.Error("daemon failed", zap.Error(err))
			d.Stop() // answers the requests that are read
			return exitFailure
		}
	}
}

func start(path string, sink *logger.Logger) (*runner.Runner, *zap.Logger, error) {
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
	log, err := newLogger(s, sink)
	if err != nil {
		return nil, nil, err
	}
	d, err := runner.New(runner.Options{
		Settings: s, Operator: operator, Secret: secret, Timing: registrar.DefaultTiming(),
		Tick: runner.DefaultTick, Snapshots: runner.DefaultSnapshots, RepairAfter: runner.DefaultRepairAfter, Files: filer.Disk{}, Log: log,
	})
	return d, log, err
}

func newLogger(s *parser.Settings, sink *logger.Logger) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, err
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if s.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(zap.NewProductionEncoderConfig())
	}
	log := zap.New(zapcore.NewCore(encoder, sink, level), zap.AddCaller(), zap.AddStacktrace(zap.ErrorLevel))
	zap.RedirectStdLog(log)
	return log, nil
}
