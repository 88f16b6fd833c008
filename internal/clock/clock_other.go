//go:build !linux

package clock

import "time"

var started = time.Now()

// monotonic reads Go's monotonic clock.
func monotonic() time.Duration {
	return time.Since(started)
}
