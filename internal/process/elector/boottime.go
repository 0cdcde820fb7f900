package elector

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the host's start, suspension included, which
// the steady clock leaves out.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // kernels without the clock
	}
	return time.Duration(now.Nano())
}
