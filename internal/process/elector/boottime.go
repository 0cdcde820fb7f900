package elector

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the host's start. Unlike the monotonic clock it
// includes the time for which the host was suspended.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // the kernel lacks this clock
	}
	return time.Duration(now.Nano())
}
