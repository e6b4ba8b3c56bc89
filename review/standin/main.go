// Command standin plays the cases of the review. It starts the project's programs as processes on loopback addresses and
// stands in for clients, workers, the operator and the platform.
//
//	standin CASE RECORD
//
// TROUBLE=0 leaves the disruption out. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. KEEP=1 keeps the logs of the processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const maxTime = 115 * time.Second

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

var cases = map[string]func(d *deployment, trouble bool) verdict{
	"lists": missingLists, "large": largeJob, "nested": nestedConfiguration, "unreadable": unreadableWorker,
	"lasting": lastingTask, "racks": gangOfOneRack, "failing": failingService, "reserved": reservedWorkers,
}

func main() { os.Exit(int(play())) }

func play() verdict {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return notRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	record := &recorder{file: file, start: time.Now()}
	d, err := newDeployment(record)
	if err != nil {
		record.add("not run: %v", err)
		return notRun
	}
	defer d.stop()
	result := make(chan verdict, 1)
	go func() { result <- cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0") }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case v := <-result:
		record.add("verdict: %s", []string{"the rule held", "the rule is broken", "not run"}[v])
		return v
	case <-signals:
		return notRun
	case <-time.After(maxTime):
		record.add("verdict: not run, no result after %v", maxTime)
		return notRun
	}
}

// begin waits for the deployment and installs the first configuration.
func (d *deployment) begin() bool {
	sleep(d.ctx, startTime/2)
	if d.replaceConfiguration(d.ctx, configuration(1)) != 200 {
		return false
	}
	sleep(d.ctx, startTime/2)
	return true
}
