//go:build !linux

package clock

import "time"

var started = time.Now()

// monotonic reads Go's monotonic clock. It may stop while the machine is suspended, so leases
// are safe across a suspension on Linux only.
func monotonic() time.Duration {
	return time.Since(started)
}
