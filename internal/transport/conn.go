package transport

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/continuity"
)

// errWritesBlocked reports a write on a connection whose writes are blocked.
var errWritesBlocked = errors.New("transport: writes on the connection are blocked")

// trackedConn is a connection that records whether the present request has been
// written on it and when it last delivered bytes. Its writes can be blocked for good,
// so that "not written" stays true. Over HTTP/1.1 one request at a time uses a connection.
type trackedConn struct {
	net.Conn
	// number is the number of the connection.
	number continuity.Number
	clock  func() time.Duration
	closed func(*trackedConn)
	once   sync.Once
	// lastRead is the clock's reading when bytes last arrived, or when the connection was opened.
	lastRead atomic.Int64
	// delivered says that bytes have arrived.
	delivered atomic.Bool
	// fresh says that the connection serves non-idempotent requests.
	fresh atomic.Bool

	mu            sync.Mutex
	written       bool
	writesBlocked bool
	// user is the attempt that uses the connection; nil while the connection is idle.
	user *attempt
	// requests counts the requests that were given the connection, and carried holds the IDs of the last ones.
	requests int
	carried  []string
	// unexpectedBytes says that bytes arrived while no request used the connection.
	unexpectedBytes bool
}

// maxCarried is the number of request IDs that a connection remembers. A server's late second copy of an answer
// arrives within a few requests.
const maxCarried = 16

// track wraps a connection that has just been opened. closed is called once when it is closed.
func track(conn net.Conn, clock func() time.Duration, closed func(*trackedConn)) *trackedConn {
	c := &trackedConn{Conn: conn, clock: clock, closed: closed}
	c.lastRead.Store(int64(clock()))
	return c
}

// sinceLastRead returns the time since bytes last arrived.
func (c *trackedConn) sinceLastRead() time.Duration {
	return c.clock() - time.Duration(c.lastRead.Load())
}

// silentSince reports whether no byte has arrived since the given reading of the clock.
func (c *trackedConn) silentSince(since time.Duration) bool {
	return time.Duration(c.lastRead.Load()) < since
}

// deliveredSince reports whether bytes have arrived after the given reading of the clock.
func (c *trackedConn) deliveredSince(since time.Duration) bool {
	return c.delivered.Load() && time.Duration(c.lastRead.Load()) > since
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.delivered.Store(true)
		c.lastRead.Store(int64(c.clock()))
		c.recordRead()
	}
	return n, err
}

// recordRead notes bytes that arrive while no request uses the connection. What arrives then is no answer to a later request.
func (c *trackedConn) recordRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unexpectedBytes = c.unexpectedBytes || c.user == nil
}

// hasUnexpectedBytes reports whether bytes have arrived while no request used the connection.
func (c *trackedConn) hasUnexpectedBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unexpectedBytes
}

// hasCarried reports whether the connection has carried a request with this ID before, such as the first attempt of a
// request that is tried again. A second copy of that answer could not be told from the answer to the next attempt.
func (c *trackedConn) hasCarried(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return id != "" && slices.Contains(c.carried, id)
}

// first reports whether the connection has carried no request before the present one.
func (c *trackedConn) first() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests <= 1
}

// beginRequest marks the start of an attempt's request on the connection: nothing of it is written yet.
func (c *trackedConn) beginRequest(user *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
	c.user = user
	c.requests++
	if user.requestID != "" {
		c.carried = append(c.carried, user.requestID)
		c.carried = c.carried[max(0, len(c.carried)-maxCarried):]
	}
	c.fresh.Store(user.needsFresh)
}

// endRequest marks the connection as idle, unless a later attempt uses it already.
func (c *trackedConn) endRequest(user *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user == user {
		c.user = nil
	}
}

// closeIfIdleAndSilent closes the connection if no request uses it and no byte has arrived on it since the given
// reading of the clock. A request that is given the connection just then fails unwritten.
func (c *trackedConn) closeIfIdleAndSilent(since time.Duration) {
	c.mu.Lock()
	closing := c.user == nil && c.silentSince(since)
	if closing {
		c.writesBlocked = true
	}
	c.mu.Unlock()
	if closing {
		c.Close()
	}
}

// blockWrites blocks all further writes and reports whether any of the present
// request has been written before.
func (c *trackedConn) blockWrites() (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.written
}

// Write implements net.Conn. The write is recorded before it is made, so that a failed
// one counts as written.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.recordWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// recordWrite records that the request is being written, or fails if writes are blocked.
func (c *trackedConn) recordWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesBlocked {
		return errWritesBlocked
	}
	c.written = true
	return nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.closed(c) })
	return err
}
