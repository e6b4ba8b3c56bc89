// Command bluebellplatformd runs the daemon on the users' platform. The platform's settings file selects
// its role: an entry node that serves callers, or a replica (keeper) of the state.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/net/proxy"

	"github.com/bluebellgauge/bluebellgauge/internal/daemon/runner"
	"github.com/bluebellgauge/bluebellgauge/internal/daemon/signaller"
	"github.com/bluebellgauge/bluebellgauge/internal/report/logger"
	"github.com/bluebellgauge/bluebellgauge/internal/state/filer"
	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/platform"
)

const (
	exitFailure  = 1
	exitSettings = 2
	pollInterval = time.Second // of the settings file, which may change without a signal
)

type options struct {
	Check bool   `long:"check" description:"check the settings file and exit"`
	Proxy string `long:"proxy" value-name:"ADDRESS" description:"SOCKS5 proxy for connections to other daemons, such as a tunnel between regions"`
}

func main() { os.Exit(run(filer.Disk{})) }

// run runs the command on the given files and returns its exit code.
func run(files filer.Files) int {
	// Signals are registered first: the settings may change during startup, and an unhandled SIGHUP
	// ends the process.
	signals := signaller.New()
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return 0
		}
		return exitSettings
	}
	s, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellplatformd:", err)
		return exitSettings
	}
	if opts.Check {
		return 0
	}
	dial, err := proxyDial(opts.Proxy)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellplatformd:", err)
		return exitSettings
	}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(s.MemoryLimit)
	}
	sink := logger.New(os.Stdout)
	defer sink.Close()
	log := newLogger(sink)
	zap.RedirectStdLog(log)
	a, err := startWhenWritable(files, s.Daemon.Data, func() (*platform.Adapter, error) { return platform.New(s, files, dial, log) }, signals, log)
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailure
	}
	if a == nil {
		return 0
	}
	sink.CountIn(a.Metrics().SubScope("log"))
	return watch(a, signals, log)
}

// proxyDial returns a dial function through a SOCKS5 proxy, nil for direct connections.
func proxyDial(address string) (runner.Dial, error) {
	if address == "" {
		return nil, nil
	}
	proxyAddress, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("--proxy: %w", err)
	}
	d, err := proxy.SOCKS5("tcp", proxyAddress.String(), nil, &net.Dialer{})
	if err != nil {
		return nil, fmt.Errorf("--proxy: %w", err)
	}
	return d.(proxy.ContextDialer).DialContext, nil // all SOCKS5 dialers of the library are ContextDialers
}

// startWhenWritable starts the daemon once its data folder, if it has one, is writable. Waiting avoids a restart loop on
// a full disk. The result is nil if a signal to stop arrives first.
func startWhenWritable(
	files filer.Files, folder string, start func() (*platform.Adapter, error), signals *signaller.Signaller, log *zap.Logger,
) (*platform.Adapter, error) {
	for waiting := false; ; waiting = true {
		a, err := startIfWritable(files, folder, start)
		if !errors.Is(err, persister.ErrUnwritable) {
			return a, err
		}
		if !waiting {
			log.Warn("start waits for the disk", zap.String("folder", folder), zap.Error(err))
		}
		if !sleep(pollInterval, signals, log) {
			return nil, nil
		}
	}
}

func startIfWritable(files filer.Files, folder string, start func() (*platform.Adapter, error)) (*platform.Adapter, error) {
	if folder != "" {
		if err := persister.Writable(files, folder); err != nil {
			return nil, err
		}
	}
	return start()
}

// sleep returns after an interval, or with false on a signal to stop.
func sleep(interval time.Duration, signals *signaller.Signaller, log *zap.Logger) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case s := <-signals.Stop():
		signaller.Log(log, s)
		return false
	case <-timer.C:
		return true
	}
}

func newLogger(sink *logger.Logger) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, zapcore.InfoLevel))
}

// watch handles signals, changed settings and fatal errors. It returns the exit code.
func watch(a *platform.Adapter, signals *signaller.Signaller, log *zap.Logger) int {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(platform.SettingsPath()) // an error is reported by the next poll
	for {
		select {
		case s := <-signals.Stop():
			signaller.Log(log, s)
			a.Stop()
			return 0
		case s := <-signals.Reload():
			signaller.Log(log, s)
			last = applySettings(a, last, log)
		case <-ticker.C:
			last = applySettings(a, last, log)
		case err := <-a.Failed():
			log.Error("server failed", zap.Error(err))
			a.Stop() // answers the requests that are read
			return exitFailure
		case err := <-a.DaemonFailed():
			log.Error("daemon failed", zap.Error(err))
			a.Stop() // answers the requests that are read
			return exitFailure
		}
	}
}

// applySettings applies the settings file if it has changed, and returns the text now in force.
func applySettings(a *platform.Adapter, last []byte, log *zap.Logger) []byte {
	text, err := os.ReadFile(platform.SettingsPath())
	if err != nil {
		log.Warn("cannot read settings", zap.Error(err))
		return last
	}
	if bytes.Equal(text, last) {
		return last
	}
	s, err := platform.ReadSettings()
	if err != nil {
		log.Warn("invalid settings ignored", zap.Error(err))
		return last
	}
	a.Reload(s)
	return text
}
