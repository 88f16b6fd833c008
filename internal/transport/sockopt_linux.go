package transport

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

// setUserTimeout bounds how long sent data may stay unacknowledged.
func setUserTimeout(fd uintptr, timeout time.Duration) error {
	return syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
}
