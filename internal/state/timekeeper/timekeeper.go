// Package timekeeper reads the clock that drives the ticks of the consensus.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns the time since boot, including time spent suspended. The monotonic clock of package time
// excludes suspension.
func Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
