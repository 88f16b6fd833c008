package edge

import (
	"net"
	"syscall"
)

// hasUnread reports whether bytes have arrived on a connection that this process has not read. It reads none.
func hasUnread(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	arrived := 0
	err = raw.Control(func(fd uintptr) {
		arrived, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && arrived > 0
}
