// Package transport sends HTTP requests to one backend server or host and tells
// exactly whether any part of a request may have arrived there.
//
// Connections can go silent: both ends believe in a connection that something
// between them has dropped. A non-idempotent request is therefore never sent on a
// connection that has been idle for longer than a bound, idle connections are
// closed early, and unacknowledged data ends a connection soon. After one
// connection proved dead, the other idle ones are closed too.
//
// A connection whose request was cancelled, or whose answer was not read to its
// end, is closed and never reused, so that a late answer reaches nobody else.
package transport

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds the opening of a connection, with the wait for a free place.
	dialTimeout = time.Second
	// userTimeout is how long sent data may stay unacknowledged before the connection ends.
	userTimeout = time.Second
	// keepAliveIdle is how long a connection is idle before it is probed.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes that ends a connection.
	keepAliveCount = 2
)

// ErrEgress reports that the egress proxy refused a connection.
var ErrEgress = errors.New("transport: egress proxy refused the connection")

// DialFunc opens a connection. It is the shape of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns the function by which every connection of the process is
// opened: directly where egress is empty, otherwise through the HTTP CONNECT
// proxy at that address.
func Dialer(egress string) DialFunc {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: control,
	}
	if egress == "" {
		return dialer.DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return dialThrough(ctx, dialer, network, egress, addr)
	}
}

// control sets the socket options of a new connection.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = setUserTimeout(fd, userTimeout) })
	return errors.CombineErrors(err, failed)
}

// dialThrough opens a connection to addr through the egress proxy.
func dialThrough(ctx context.Context, dialer *net.Dialer, network, egress, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, network, egress)
	if err != nil {
		return nil, errors.Wrap(err, "transport: dial egress proxy")
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	tunnel, err := connect(conn, addr)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return tunnel, nil
}

// connect asks the proxy at the other end of the connection for a tunnel to addr.
func connect(conn net.Conn, addr string) (net.Conn, error) {
	req := &http.Request{
		Method: http.MethodConnect,
		URL:    &url.URL{Opaque: addr},
		Host:   addr,
		Header: http.Header{},
	}
	if err := req.Write(conn); err != nil {
		return nil, errors.Wrap(err, "transport: ask egress proxy")
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, errors.Wrap(err, "transport: read egress proxy's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrEgress, "status %d for %s", resp.StatusCode, addr)
	}
	if reader.Buffered() > 0 {
		return &bufferedConn{Conn: conn, reader: reader}, nil
	}
	return conn, nil
}

// bufferedConn is a connection of which some bytes have been read ahead.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}
