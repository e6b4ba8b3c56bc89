// Command bluebellworker simulates a worker of the platform. It runs simulated tasks and can inject faults.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/executor"
	"github.com/bluebellgauge/bluebellgauge/internal/worker/registrar"
)

const exitUsage = 2

type options struct {
	Name         string        `long:"name" required:"true" description:"name of the worker"`
	Place        string        `long:"place" required:"true" description:"place of the worker"`
	Rack         string        `long:"rack" default:"r1" description:"rack of the worker"`
	Service      string        `long:"service" required:"true" description:"service that the worker serves"`
	Listen       string        `long:"listen" default:"127.0.0.1:0" description:"address to take orders at"`
	Entry        []string      `long:"entry" required:"true" description:"address of an entry, may be repeated"`
	Slots        int32         `long:"slots" default:"8" description:"tasks that may run at once"`
	Connections  int32         `long:"connections" default:"64" description:"connections that may be open at once"`
	Processors   float64       `long:"processors" default:"128" description:"processors"`
	Memory       float64       `long:"memory" default:"512" description:"memory in GiB"`
	Accelerators int32         `long:"accelerators" default:"8" description:"accelerators"`
	FailAll      bool          `long:"fail-all" description:"fault: every task ends badly"`
	Late         time.Duration `long:"late" description:"fault: time between the end of a task and its report"`
	SilentAfter  time.Duration `long:"silent-after" description:"fault: neither report nor take orders after this time"`
	DieAfter     time.Duration `long:"die-after" description:"fault: die after this time"`
	Drain        time.Duration `long:"drain" default:"30s" description:"bound on leaving"`
}

func main() { os.Exit(run()) }

func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	log, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellworker:", err)
		return 1
	}
	e, err := start(opts, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellworker:", err)
		return exitUsage
	}
	e.Faults.FailAll.Store(opts.FailAll)
	e.Faults.ReportDelay.Store(int64(opts.Late))
	if opts.SilentAfter > 0 {
		time.AfterFunc(opts.SilentAfter, func() { e.Faults.Unresponsive.Store(true) })
	}
	if opts.DieAfter > 0 {
		time.AfterFunc(opts.DieAfter, func() { os.Exit(1) })
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), opts.Drain)
	defer cancel()
	if err := e.Leave(ctx); err != nil {
		log.Warn("tasks still running at the end of the drain", zap.Error(err))
	}
	e.Kill()
	return 0
}

func start(opts options, log *zap.Logger) (*executor.Executor, error) {
	listen, err := netip.ParseAddrPort(opts.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	var entries []netip.AddrPort
	for _, text := range opts.Entry {
		entry, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("entry: %w", err)
		}
		entries = append(entries, entry)
	}
	return executor.New(executor.Options{
		Announcement: &messages.Announcement{
			Name: opts.Name, Place: opts.Place, Rack: opts.Rack, Service: opts.Service,
			Incarnation: uint64(time.Now().UnixNano()), Slots: opts.Slots, Connections: opts.Connections,
			Processors: opts.Processors, Memory: opts.Memory, Accelerators: opts.Accelerators,
		},
		Listen: listen, Entries: entries, Timing: registrar.DefaultTiming(), Log: log,
	})
}
