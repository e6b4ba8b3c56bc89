package runner_test

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/daemon/runner"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// daemonMain runs this process as a daemon until it is told to stop.
func daemonMain(path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	s, err := parser.ParseSettings(path, text)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	log, err := zap.NewDevelopment()
	if err != nil {
		os.Exit(1)
	}
	d, err := runner.New(runner.Options{
		Settings: s, Operator: operatorToken, Secret: "secret", Timing: registrar.DefaultTiming(),
		Tick: runner.DefaultTick, Snapshots: runner.DefaultSnapshots, Log: log,
	})
	if err != nil {
		log.Error("start", zap.Error(err))
		os.Exit(1)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	select {
	case <-signals:
		d.Stop()
	case err := <-d.Failed():
		log.Error("failed", zap.Error(err))
		os.Exit(1)
	}
}
