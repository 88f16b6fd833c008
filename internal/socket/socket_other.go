//go:build !linux

// Package socket asks the kernel about a connection without reading from it.
package socket

import "syscall"

// HasUnread is not implemented on this system: bytes that this process has not read go unnoticed.
func HasUnread(syscall.Conn) bool { return false }

// ClosedByPeer is not implemented on this system: a close goes unnoticed.
func ClosedByPeer(syscall.Conn) bool { return false }
