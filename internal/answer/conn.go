package answer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// writeStall is how long the rest of a request may make no progress after its connection has ended for reading.
const writeStall = 250 * time.Millisecond

// Conn is a connection of an HTTP/1.1 client, which sends one request at a time. Its reads fail with an error marked ErrFaulty if
// what arrives is no well-formed, whole answer.
type Conn struct {
	net.Conn
	// progress gets a value after each write and when the connection is closed.
	progress chan struct{}

	mu      sync.Mutex
	request requestWriter
	head    headReader
	closed  bool
	// err is the error of the first faulty answer. It ends the connection for reading.
	err error
}

// NewConn returns a connection on which no request has been sent.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, progress: make(chan struct{}, 1)}
}

// Dialer returns a function that opens connections with dial and checks the answers on them.
func Dialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.request.begin() {
		// The answer may arrive before the write returns.
		c.head.expect()
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.request.written(p[:n])
	c.request.failed = c.request.failed || err != nil
	c.mu.Unlock()
	c.signal()
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.check(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if faulty := c.check(p[:n]); faulty != nil {
		return 0, faulty
	}
	if err == io.EOF && !c.awaitRequest() {
		return 0, c.fail(FaultUnsent)
	}
	return n, err
}

// check checks bytes that have arrived.
func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && c.request.begun {
		c.err = c.head.read(p)
	}
	return c.err
}

// fail makes all reads fail.
func (c *Conn) fail(fault Fault) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = faulty(fault)
	}
	return c.err
}

// awaitRequest waits until the request has been written, and reports whether it was written whole. It gives up when
// nothing has been written for writeStall.
func (c *Conn) awaitRequest() bool {
	for {
		c.mu.Lock()
		whole, ended := c.request.whole(), c.request.failed || c.closed
		c.mu.Unlock()
		if whole || ended {
			return whole
		}
		select {
		case <-c.progress:
		case <-time.After(writeStall):
			return false
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.signal()
	return err
}

// signal wakes awaitRequest.
func (c *Conn) signal() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// SetReadBuffer sets the kernel's receive buffer of the connection, in bytes, if it has one.
func (c *Conn) SetReadBuffer(bytes int) error {
	if buffered, ok := c.Conn.(interface{ SetReadBuffer(int) error }); ok {
		return buffered.SetReadBuffer(bytes)
	}
	return nil
}
