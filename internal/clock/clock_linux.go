package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonic reads CLOCK_BOOTTIME, which counts the time in suspension.
func monotonic() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // The clock exists on every supported kernel.
	}
	return time.Duration(now.Nano())
}
