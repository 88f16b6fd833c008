// Package clock reads a monotonic clock that includes the time in which the machine is suspended.
// All packages that measure leases, grants or the age of information use it: a host that resumes
// after a suspension must see that its leases have expired. Readings of different machines, or
// from before a reboot, cannot be compared.
package clock

import "time"

// Monotonic returns the time since an arbitrary fixed point in the past.
func Monotonic() time.Duration {
	return monotonic()
}
