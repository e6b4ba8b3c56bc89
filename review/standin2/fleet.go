package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Ports of the daemons, as in the example of the settings.
const (
	frontendPort = 8521
	readyPort    = 8523
	controlPort  = 8526
	firstPort    = 7000
	lastPort     = 7015
	metricsPort  = 9464
)

// Bounds of the deployment, as for khuladin-ops.
const (
	contactTime     = 4 * time.Second
	catchUpTime     = 4 * time.Second
	graceTime       = 6 * time.Second
	configApplyTime = 2500 * time.Millisecond
	recoveryTime    = 12 * time.Second
	maxHold         = 10 * time.Second
	stopTime        = 400 * time.Millisecond
	gangWait        = 3 * time.Second
	visibleTime     = 3 * time.Second
	leadTime        = 10 * time.Second // from the start of the machines to the first call
)

// fleet is a deployment of daemons and workers in a temporary folder.
type fleet struct {
	program string
	folder  string
	network [2]byte // second and third byte of all addresses
	start   time.Time
	quiet   atomic.Bool // no lines about single runs

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	daemons []*daemon
	workers []*worker
}

func newFleet(program, record string) (*fleet, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	folder, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	f := &fleet{program: path, folder: folder, start: time.Now(), record: bufio.NewWriter(file), file: file}
	if err := f.chooseNetwork(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// chooseNetwork chooses loopback addresses of which no port is in use.
func (f *fleet) chooseNetwork() error {
	for range 20 {
		f.network = [2]byte{byte(100 + rand.IntN(100)), byte(1 + rand.IntN(250))}
		if f.isFree() {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (f *fleet) isFree() bool {
	for host := byte(1); host <= 8; host++ {
		for _, port := range []uint16{frontendPort, readyPort, controlPort, firstPort, firstPort + 1, metricsPort} {
			l, err := net.Listen("tcp", netip.AddrPortFrom(f.address(host), port).String())
			if err != nil {
				return false
			}
			if l.Close() != nil {
				return false
			}
		}
	}
	return true
}

func (f *fleet) address(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], host})
}

// note writes a line with the time since the start to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = fmt.Fprintln(f.record, line) // reported by Flush
}

// newDaemon adds a machine of the given class, without starting it.
func (f *fleet) newDaemon(name string, host byte, keeper bool) *daemon {
	d := &daemon{fleet: f, name: name, address: f.address(host), keeper: keeper, folder: filepath.Join(f.folder, name)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, d)
	return d
}

// startCore starts three keepers and one entry for the first time.
func (f *fleet) startCore() (keepers []*daemon, entry *daemon, err error) {
	for i := range 3 {
		keepers = append(keepers, f.newDaemon(fmt.Sprintf("core-%d", i+1), byte(i+1), true))
	}
	entry = f.newDaemon("edge-1", 6, false)
	for _, d := range append([]*daemon{entry}, keepers...) {
		if err := d.run(keepers, true); err != nil {
			return nil, nil, err
		}
	}
	return keepers, entry, nil
}

// close ends all processes that were started and removes the temporary folder.
func (f *fleet) close() {
	f.mu.Lock()
	daemons, workers := f.daemons, f.workers
	f.mu.Unlock()
	for _, w := range workers {
		w.end()
	}
	for _, d := range daemons {
		d.kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	err := errors.Join(f.record.Flush(), f.file.Close())
	if os.Getenv("KEEP") == "" {
		err = errors.Join(err, os.RemoveAll(f.folder))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
