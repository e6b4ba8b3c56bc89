package runner_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/daemon/runner"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

// daemonMain runs this process as a daemon until it receives SIGTERM.
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
		Tick: runner.DefaultTick, Snapshots: runner.DefaultSnapshots, RepairAfter: repairAfter(),
		Files: filer.Disk{}, Log: log, Dial: delayedDial(os.Getenv("BLUEBELLGAUGE_TEST_DELAY")),
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

// delayedDial returns a Dial whose connections delay data in both directions, or nil if text is not a duration.
func delayedDial(text string) runner.Dial {
	delay, err := time.ParseDuration(text)
	if err != nil {
		return nil
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		local, remote := net.Pipe()
		go forwardDelayed(remote, c, delay)
		go forwardDelayed(c, remote, delay)
		return local, nil
	}
}

// forwardDelayed copies data with a delay. Chunks in transit do not delay those behind them.
func forwardDelayed(from, to net.Conn, delay time.Duration) {
	type chunk struct {
		due  time.Time
		data []byte
	}
	chunks := make(chan chunk, 4096)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{time.Now().Add(delay), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range chunks {
	}
}

// repairAfter returns the repair time-out from the environment, or the default.
func repairAfter() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("BLUEBELLGAUGE_TEST_REPAIR")); err == nil {
		return d
	}
	return runner.DefaultRepairAfter
}
