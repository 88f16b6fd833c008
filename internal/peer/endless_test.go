package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
	"github.com/poplarcroft/poplarcroft/internal/conntest"
)

// readCounter is a connection that counts the bytes read from it.
type readCounter struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c readCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestHandshakeWithoutEnd guards against a host that keeps the endless answer of another process which has a peer's address.
func TestHandshakeWithoutEnd(t *testing.T) {
	addr := conntest.Serve(t, func(conn *net.TCPConn) {
		defer conn.Close()
		_, err := io.WriteString(conn, "HTTP/1.0 200 Connected\r\n")
		for lines := strings.Repeat("a:b\r\n", 1000); err == nil; {
			_, err = io.WriteString(conn, lines)
		}
	})
	var read atomic.Int64
	pool := NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return readCounter{conn, &read}, err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	err := pool.Call(ctx, addr, "Any.Method", struct{}{}, &struct{}{})
	assert.Assert(t, errors.Is(err, ErrUnreachable), "%v", err)
	assert.Assert(t, read.Load() <= bounded.MaxHeaderBytes, "%d bytes read", read.Load())
	assert.NilError(t, ctx.Err())
}
