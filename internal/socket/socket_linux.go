// Package socket asks the kernel about a connection without reading from it.
package socket

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// HasUnread reports whether bytes have arrived on a connection that this process has not read.
func HasUnread(conn syscall.Conn) bool {
	arrived, err := peek(conn)
	return err == nil && arrived > 0
}

// ClosedByPeer reports whether the other end has closed or reset a connection, and this process has read all that it sent before.
func ClosedByPeer(conn syscall.Conn) bool {
	arrived, err := peek(conn)
	return err == nil && arrived == 0 || errors.Is(err, syscall.ECONNRESET)
}

// peek returns whether a byte has arrived that has not been read. Without an error, 0 says that the other end has closed.
func peek(conn syscall.Conn) (arrived int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		arrived, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return arrived, errors.CombineErrors(err, peekErr)
}
