//go:build !linux

package transport

import "time"

// setUserTimeout does nothing where the system has no such option; keep-alive
// probes then end a silent connection.
func setUserTimeout(uintptr, time.Duration) error {
	return nil
}
