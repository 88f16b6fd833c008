// Package clock reads a monotonic clock that includes the time in which the machine is suspended.
// Leases, grants and the age of information are measured with its readings: a host that resumes
// after a suspension must see that its leases have expired. Packages edge, host and transport call
// it, and pass it to others as a clock function. Readings of different machines, or from before a
// reboot, cannot be compared.
package clock

import "time"

// Monotonic returns the time since an arbitrary fixed point in the past.
func Monotonic() time.Duration {
	return monotonic()
}
