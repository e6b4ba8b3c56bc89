package main

import (
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemon is one machine with a process of the project.
type daemon struct {
	fleet   *fleet
	name    string
	address netip.Addr
	keeper  bool
	folder  string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (d *daemon) at(port uint16) string { return netip.AddrPortFrom(d.address, port).String() }

func (d *daemon) data() string { return filepath.Join(d.folder, "data") }

// run writes the settings and starts the process.
func (d *daemon) run(seeds []*daemon, bootstrap bool) error {
	if err := os.MkdirAll(d.folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(d.folder, "node.json")
	if err := os.WriteFile(path, d.settings(seeds, bootstrap), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(d.fleet.program)
	command.Env = []string{"BLUEBELLGAUGE_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // the exit code of a process that was killed says nothing
		_ = log.Close()
		close(exited)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.command, d.exited = command, exited
	d.fleet.note("%s starts at %s, bootstrap %v", d.name, d.address, bootstrap)
	return nil
}

// settings returns the settings file in the form of the example for khuladin-ops.
func (d *daemon) settings(seeds []*daemon, bootstrap bool) []byte {
	class, serves := "edge", "edge"
	listen := map[string]string{"frontend": d.at(frontendPort), "ready": d.at(readyPort)}
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	var data any
	if d.keeper {
		class, serves = "core", "control_plane"
		listen = map[string]string{"control_plane": d.at(controlPort)}
		limits = map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 280, "file_descriptors": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		data = d.data()
	}
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, s.at(controlPort))
	}
	text, err := json.Marshal(map[string]any{
		"node_name": d.name, "role": class, "machine_class": class, "serves": []string{serves}, "ip": d.address.String(),
		"zone": "bagmati-patan", "region": "bagmati", "zones": map[string]string{"bagmati-patan": "bagmati"}, "listen_addrs": listen,
		"internal_ports": []int{firstPort, lastPort}, "seed_nodes": addresses, "bootstrap": bootstrap, "in_fault_budget": d.keeper,
		"limits": limits, "data_dir": data, "discovery": "registry", "entrypoint": "vip", "heartbeat_ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "region_losses": 0},
		"bounds": map[string]any{
			"contact_ms": contactTime.Milliseconds(), "catch_up_s": catchUpTime.Seconds(), "grace_s": graceTime.Seconds(),
			"config_apply_ms": configApplyTime.Milliseconds(), "recovery_s": recoveryTime.Seconds(), "hold_max_ms": maxHold.Milliseconds(),
			"stop_ms": stopTime.Milliseconds(), "gang_wait_ms": gangWait.Milliseconds(), "visible_ms": visibleTime.Milliseconds(),
			"cancel_ms": 3000, "ack_ms": 5000, "drain_ms": 2500, "status_s": 120, "far_factor": 3, "checkpoint_s": 2, "restore_ms": 100,
			"require_fence": true, "lease_ms": 3000,
		},
		"config_mode": "highest", "control_mode": "heartbeat",
	})
	if err != nil {
		panic(err) // the values above always encode
	}
	return text
}

// signal sends a signal to the process, if there is one.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s) // it may have exited
	}
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.awaitExit(time.Minute)
}

// awaitExit reports whether the process has exited within a time.
func (d *daemon) awaitExit(limit time.Duration) bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// wipe removes the disk of a machine whose process has ended.
func (d *daemon) wipe() error { return os.RemoveAll(d.data()) }
