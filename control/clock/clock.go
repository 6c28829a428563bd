// Package clock reads the steady clock that goes on while the machine is
// suspended, unlike the one that package time uses for durations.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Kernels without this clock are older than Linux 2.6.39.
		return time.Since(start)
	}
	return time.Duration(t.Nano())
}

var start = time.Now()
