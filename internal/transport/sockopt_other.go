//go:build !linux

package transport

import "time"

// setUserTimeout does nothing if the system has no such option. Only keep-alive
// probes end a half-open connection there.
func setUserTimeout(uintptr, time.Duration) error {
	return nil
}
