// Command stand runs one case of the review: the programs of the system as processes on loopback addresses, with
// stand-ins for clients, workers and the operator.
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
	exitKept   = 0
	exitBroken = 1
	exitCannot = 2
)

const maxRunTime = 115 * time.Second // after it the case has not run

var cases = map[string]func(c *cluster, trouble bool) (broken string, err error){
	"lasting": lasting, "urgent": urgentBeyond, "apart": apart,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		return exitCannot
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	f, err := newFleet(os.Args[2], rec)
	if f != nil {
		defer f.stop(os.Getenv("KEEP") != "")
	}
	if err != nil {
		rec.add("cannot run: %v", err)
		return exitCannot
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(time.Until(rec.start.Add(maxRunTime))):
		}
		rec.add("cannot run: interrupted, or out of time")
		f.stop(false)
		os.Exit(exitCannot)
	}()
	broken, err := cases[os.Args[1]](newCluster(f), trouble)
	switch {
	case errors.Is(err, errCannotRun):
		rec.add("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitCannot
	case broken != "":
		rec.add("broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.add("kept")
	fmt.Println("kept")
	return exitKept
}
