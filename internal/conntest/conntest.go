// Package conntest has connections on the loopback interface for tests whose other end writes raw bytes.
package conntest

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Listen returns a listener on a free port, which is closed when the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// Accept calls serve with each connection that the listener accepts, in a goroutine of its own, until the listener is closed.
func Accept(listener net.Listener, serve func(*net.TCPConn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn.(*net.TCPConn))
	}
}

// Serve accepts connections until the test ends, as Accept does, and returns the address.
func Serve(t testing.TB, serve func(*net.TCPConn)) (addr string) {
	t.Helper()
	listener := Listen(t)
	go Accept(listener, serve)
	return listener.Addr().String()
}

// Pair returns the two ends of a connection, which is closed when the test ends.
func Pair(t testing.TB) (dialled, accepted *net.TCPConn) {
	t.Helper()
	listener := Listen(t)
	outgoing, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	incoming, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		outgoing.Close()
		incoming.Close()
	})
	return outgoing.(*net.TCPConn), incoming.(*net.TCPConn)
}
