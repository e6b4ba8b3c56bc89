// Command bluebellplatformd is the daemon on the users' platform. The platform's settings file says
// whether it is an entry or a keeper.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/net/proxy"

	"github.com/bluebellgauge/bluebellgauge/internal/daemon/runner"
	"github.com/bluebellgauge/bluebellgauge/internal/report/logger"
	"github.com/bluebellgauge/bluebellgauge/internal/state/persister"
	"github.com/bluebellgauge/bluebellgauge/platform"
)

const (
	exitFailure  = 1
	exitSettings = 2
	lookEvery    = time.Second // at the settings file, which may change without a signal
)

type options struct {
	Check bool   `long:"check" description:"check the settings file and exit"`
	Proxy string `long:"proxy" value-name:"ADDRESS" description:"SOCKS5 proxy for connections to other daemons, such as a tunnel between regions"`
}

func main() { os.Exit(run()) }

func run() int {
	// The settings may change while the process starts, and a signal that nobody takes ends it.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
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
	dial, err := dialer(opts.Proxy)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellplatformd:", err)
		return exitSettings
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory)
	}
	sink := logger.New(os.Stdout)
	defer sink.Close()
	log := newLogger(sink)
	if !awaitDisk(s.Daemon.Data, signals, log) {
		return 0
	}
	a, err := platform.New(s, dial, log)
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailure
	}
	return watch(a, s.Daemon.Data, signals, log)
}

// dialer returns how other daemons are reached, nil for the network itself.
func dialer(address string) (runner.Dial, error) {
	if address == "" {
		return nil, nil
	}
	through, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("--proxy: %w", err)
	}
	d, err := proxy.SOCKS5("tcp", through.String(), nil, &net.Dialer{})
	if err != nil {
		return nil, fmt.Errorf("--proxy: %w", err)
	}
	return d.(proxy.ContextDialer).DialContext, nil // every SOCKS5 dialer of the library takes a context
}

// awaitDisk waits until the data folder takes writes. It reports false when the process is told to
// stop before that. Starting again and again on a full disk would serve nobody.
func awaitDisk(folder string, signals <-chan os.Signal, log *zap.Logger) bool {
	for folder != "" {
		err := persister.Writable(folder)
		if err == nil {
			return true
		}
		log.Warn("the disk takes no writes", zap.String("folder", folder), zap.Error(err))
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return false
			}
		case <-time.After(lookEvery):
		}
	}
	return true
}

func newLogger(sink *logger.Logger) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, zapcore.InfoLevel))
}

// watch waits for the end of the process and for changes of its settings.
func watch(a *platform.Adapter, folder string, signals <-chan os.Signal, log *zap.Logger) int {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	last, _ := os.ReadFile(platform.SettingsPath()) // a failure shows at the next look
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				last = reload(a, last, log)
				continue
			}
			a.Stop()
			return 0
		case <-ticker.C:
			last = reload(a, last, log)
		case err := <-a.Failed():
			log.Error("process fails", zap.Error(err))
			return exitFailure
		case err := <-a.DaemonFailed():
			// What a failed write left on the disk is only known after a start, which needs the disk.
			log.Error("daemon fails", zap.Error(err))
			awaitDisk(folder, signals, log)
			return exitFailure
		}
	}
}

// reload puts the settings file in force if it has changed, and returns its text.
func reload(a *platform.Adapter, last []byte, log *zap.Logger) []byte {
	text, err := os.ReadFile(platform.SettingsPath())
	if err != nil {
		log.Warn("settings can't be read", zap.Error(err))
		return last
	}
	if bytes.Equal(text, last) {
		return last
	}
	s, err := platform.ReadSettings()
	if err != nil {
		log.Warn("settings refused", zap.Error(err))
		return last
	}
	a.Reload(s)
	return text
}
