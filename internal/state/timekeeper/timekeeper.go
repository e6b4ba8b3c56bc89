// Package timekeeper reads the clock that the consensus counts its ticks by.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns the time since the machine started, the time it was suspended included. The
// steady clock of the time package leaves that out.
func Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
