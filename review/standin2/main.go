// Command standin2 runs the cases of the second review. It starts the project's programs as separate processes on loopback
// addresses, with stand-ins for the callers, the operator, the workers and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// maxRunTime is less than the 120 seconds that a script may take.
const maxRunTime = 110 * time.Second

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule is broken")

// cases maps the name of a case to its function. trouble is false for the run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) error{
	"replaced":   runReplaced,
	"rejected":   runRejected,
	"flapping":   runFlapping,
	"checkpoint": runCheckpoint,
	"waiting":    runWaiting,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		return exitFailed
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, disruption: %v", os.Args[1], trouble)
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](f, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-result:
	case <-time.After(maxRunTime):
		err = errors.New("the case takes too long")
	case s := <-signals:
		err = fmt.Errorf("ended by %s", s)
	}
	outcome, code := "held", exitHeld
	switch {
	case errors.Is(err, errBroken):
		outcome, code = err.Error(), exitBroken
	case err != nil:
		outcome, code = "not run: "+err.Error(), exitFailed
	}
	f.note("%s", outcome)
	fmt.Println(outcome)
	return code
}

// broken returns the result of a case whose rule was broken.
func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}
