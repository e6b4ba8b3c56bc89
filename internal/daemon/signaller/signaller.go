// Package signaller receives the signals that supervisors and terminals send to a daemon.
package signaller

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Signaller receives the signals of a process. Those that it doesn't handle are ignored by the Go runtime or end the
// process with a dump of its goroutines, such as SIGABRT.
type Signaller struct {
	stop, reload chan os.Signal
}

// New handles the signals of the process from now on.
func New() *Signaller {
	// Each channel keeps one signal, which is enough for signals of its kind.
	s := &Signaller{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	// The runtime ends the process with SIGPIPE when the reader of standard output or standard error has gone.
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// Stop delivers the signals that ask for an orderly stop.
func (s *Signaller) Stop() <-chan os.Signal { return s.stop }

// Reload delivers the signals that ask for the settings to be read again.
func (s *Signaller) Reload() <-chan os.Signal { return s.reload }

// Log logs a signal.
func Log(log *zap.Logger, s os.Signal) {
	name := s.String()
	if n, ok := s.(syscall.Signal); ok {
		name = unix.SignalName(n)
	}
	log.Info("signal received", zap.String("signal", name))
}
