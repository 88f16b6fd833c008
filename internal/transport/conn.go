package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errSealed reports a write on a connection that may not be used for the request.
var errSealed = errors.New("transport: connection is sealed")

// trackedConn is a connection that knows whether a request has written on it
// and when the other end was last heard, and on which writing can be forbidden
// for good. Over HTTP/1.1 one request at a time uses a connection.
type trackedConn struct {
	net.Conn
	clock  func() time.Duration
	closed func()
	once   sync.Once
	// heard is the clock's reading when bytes last arrived, or at the opening.
	heard atomic.Int64

	mu      sync.Mutex
	written bool
	sealed  bool
}

// track returns a connection that has just been opened as a tracked one.
func track(conn net.Conn, clock func() time.Duration, closed func()) *trackedConn {
	c := &trackedConn{Conn: conn, clock: clock, closed: closed}
	c.heard.Store(int64(clock()))
	return c
}

// silence returns the time since the other end was last heard.
func (c *trackedConn) silence() time.Duration {
	return c.clock() - time.Duration(c.heard.Load())
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(int64(c.clock()))
	}
	return n, err
}

// begin starts a request on the connection.
func (c *trackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal forbids all further writes and reports whether the present request has
// written before.
func (c *trackedConn) seal() (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// Write implements net.Conn. A write counts before it is made.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.noteWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) noteWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.written = true
	return nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}
