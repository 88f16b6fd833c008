package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/conntest"
)

// egressProxy starts a proxy that accepts CONNECT only for the allowed address.
func egressProxy(t *testing.T, allowed string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect || r.Host != allowed {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		far, err := net.Dial("tcp", r.Host)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer far.Close()
		near, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer near.Close()
		_, _ = io.WriteString(near, "HTTP/1.1 200 Connection established\r\n\r\n")
		go func() { _, _ = io.Copy(far, near) }()
		_, _ = io.Copy(near, far)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestDialer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	for name, c := range map[string]struct {
		egress string
		sent   Sent
		err    error
	}{
		"direct":  {"", Answered, nil},
		"allowed": {egressProxy(t, addr), Answered, nil},
		"refused": {egressProxy(t, "10.0.0.1:1"), NotSent, ErrEgress},
		"no HTTP": {addr, NotSent, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "no HTTP" {
				listener := startGreetingServer(t)
				c.egress = listener
			}
			target := NewTarget(addr, Options{Dial: Dialer(c.egress), Connections: 1})
			defer target.Close()
			sent, body, err := send(t, target, post)
			assert.Equal(t, sent, c.sent, "%v", err)
			if c.sent == Answered {
				assert.Equal(t, body, "done")
			}
			if c.err != nil {
				assert.Assert(t, errors.Is(err, c.err), "got %v", err)
			}
		})
	}
}

// startGreetingServer starts a server that sends the greeting of another protocol and closes the connection.
func startGreetingServer(t *testing.T) string {
	return conntest.Serve(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "220 mail.example\r\n")
		conn.Close()
	})
}

func TestDialTimesOutOnAnUnresponsiveProxy(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = Dialer(listener.Addr().String())(ctx, "tcp", "10.0.0.1:80")
	assert.Assert(t, err != nil)
}
