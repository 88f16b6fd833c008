// Package transport sends HTTP/1.1 requests to backend servers and hosts. For each
// request it reports whether any part may have been written (Sent), from which its
// callers, the data paths of packages route and front among them, decide whether a
// retry is safe. A Target holds the connections to one address, a Pool all targets.
//
// Connections can be half-open: a middlebox has dropped the connection, but both ends
// still regard it as open. What is then written is lost. A non-idempotent request is
// therefore never sent on a connection that has been idle for longer than FreshFor,
// idle connections are closed early, and a connection with unacknowledged data ends
// after userTimeout. When one reused connection fails, the other idle ones of the
// target are closed too, and so they are when none has delivered anything for
// silentAfter while a request waits on one of them.
//
// A connection whose request was cancelled, or whose answer was not read to its
// end, is closed and never reused, so that a late answer cannot be taken for the
// answer to another request.
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

	"github.com/poplarcroft/poplarcroft/internal/answer"
)

const (
	// dialTimeout bounds the opening of a connection that no target waits for with a bound of its own.
	dialTimeout = DefaultDialTimeout
	// userTimeout is how long sent data may stay unacknowledged before the kernel ends the connection. It also
	// decides when unanswered keep-alive probes end one: at the first probe that is due after that time, so an
	// idle connection ends after keepAliveIdle + keepAliveInterval.
	userTimeout = time.Second
	// keepAliveIdle is how long a connection is idle before the kernel probes it.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes that would end a connection without userTimeout.
	keepAliveCount = 2
)

// ErrEgress reports that the egress proxy answered a CONNECT with another status than 200.
var ErrEgress = errors.New("transport: egress proxy refused the connection")

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns the function that opens every connection of the process: directly
// if egress is empty, otherwise through the HTTP CONNECT proxy at that address.
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

// AnyAccepts reports whether one of the addresses accepts a connection before the context ends. It tries all at
// the same time, and closes the connections.
func AnyAccepts(ctx context.Context, dial DialFunc, addrs []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	accepted := make(chan bool, len(addrs))
	for _, addr := range addrs {
		go func() {
			conn, err := dial(ctx, "tcp", addr)
			if err == nil {
				conn.Close()
			}
			accepted <- err == nil
		}()
	}
	for range addrs {
		if <-accepted {
			return true
		}
	}
	return false
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

// connect requests a tunnel to addr from the proxy at the other end of the connection.
func connect(conn net.Conn, addr string) (net.Conn, error) {
	req := &http.Request{
		Method: http.MethodConnect,
		URL:    &url.URL{Opaque: addr},
		Host:   addr,
		Header: http.Header{},
	}
	checked := answer.NewConn(conn)
	if err := req.Write(checked); err != nil {
		return nil, errors.Wrap(err, "transport: send CONNECT to egress proxy")
	}
	reader := bufio.NewReader(checked)
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

// bufferedConn is a connection of which the reader has already buffered some bytes.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}
