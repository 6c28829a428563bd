// Package clock reads the monotonic clock that advances while the machine is
// suspended, unlike the one that package time uses.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspensions.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Kernels without this clock are older than Linux 2.6.39.
		return time.Since(start)
	}
	return time.Duration(t.Nano())
}

var start = time.Now()
