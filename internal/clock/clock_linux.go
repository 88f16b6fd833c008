package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonic reads CLOCK_BOOTTIME, which includes the time in which the machine is suspended.
func monotonic() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // CLOCK_BOOTTIME exists on every supported kernel.
	}
	return time.Duration(now.Nano())
}
