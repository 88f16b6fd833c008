package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/answer"
	"github.com/poplarcroft/poplarcroft/internal/conntest"
)

// TestMalformedAnswersAreErrors checks that whoever sends through a Pool, as the product's own interface does, gets an error for an answer
// that is none, and that it does not say that the request was not sent.
func TestMalformedAnswersAreErrors(t *testing.T) {
	for name, malformed := range map[string]string{
		"status 000":      "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"status 042":      "HTTP/1.1 042 X\r\nContent-Length: 0\r\n\r\n",
		"blank in a name": "HTTP/1.1 200 X\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"blank at a name": "HTTP/1.1 200 X\r\nContent-Length : 0\r\n\r\n",
		"interim answer":  "HTTP/1.1 103 X\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := conntest.Serve(t, func(conn *net.TCPConn) {
				defer conn.Close()
				http.ReadRequest(bufio.NewReader(conn))
				io.WriteString(conn, malformed)
			})
			pool := NewPool(Options{Dial: Dialer(""), Connections: 1})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/x", nil)
			assert.NilError(t, err)
			response, err := pool.RoundTrip(request)
			if err == nil {
				response.Body.Close()
			}
			assert.Assert(t, errors.Is(err, answer.ErrFaulty) && !errors.Is(err, ErrNotSent), "%v", err)
		})
	}
}
