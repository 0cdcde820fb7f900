// Package clocker reads clocks that package time doesn't offer.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host's start, or since 1970 if the kernel lacks
// that clock; only differences are meaningful. Unlike the monotonic clock it includes
// the time for which the host was suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}
