// Package clock reads a monotonic clock that goes on while the machine is
// suspended. Leases are counted on it: a host that was suspended must find its
// leases lapsed.
package clock

import "time"

// Monotonic returns the time since an arbitrary point in the past.
func Monotonic() time.Duration {
	return monotonic()
}
