package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/conntest"
)

// TestRequestOfACallerThatHasClosedIsNotSent guards against work for callers that had left before their request was read (GONE): on a
// host that is short of processor time, requests wait in the kernel until their callers give up and close.
func TestRequestOfACallerThatHasClosedIsNotSent(t *testing.T) {
	const requests = 50
	for name, c := range map[string]struct{ method, path, body string }{
		"idempotent":            {http.MethodGet, "/any/x", ""},
		"not idempotent":        {http.MethodPost, "/post/x", "signed"},
		"download":              {http.MethodGet, "/download/x", ""},
		"with a key":            {http.MethodGet, "/keyed/x", ""},
		"with a key, POST":      {http.MethodPost, "/unsafe/x", "signed"},
		"not idempotent, empty": {http.MethodPost, "/post/x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, answerOK)
			s := newSystem(t, server)
			listener := conntest.Listen(t)
			for i := range requests {
				conn, err := net.Dial("tcp", listener.Addr().String())
				assert.NilError(t, err)
				_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Id: gone-%d\r\nX-Key: 4711\r\nX-Left: 20000\r\nContent-Length: %d\r\n\r\n%s",
					c.method, c.path, i, len(c.body), c.body)
				assert.NilError(t, err)
				conn.Close()
			}
			time.Sleep(50 * time.Millisecond)
			late := http.Server{Handler: s.ingress, ConnContext: ConnContext}
			t.Cleanup(func() { late.Close() })
			go late.Serve(listener)
			// A request of a caller that stays shows that the others have been read.
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			io.WriteString(conn, "GET /any/x HTTP/1.1\r\nHost: a.example\r\nX-Id: stays\r\nX-Left: 20000\r\n\r\n")
			_, err = conn.Read(make([]byte, 1))
			assert.NilError(t, err)
			time.Sleep(300 * time.Millisecond)
			assert.Equal(t, len(server.seen()), 1, "requests that reached the server")
		})
	}
}
