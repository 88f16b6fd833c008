package answer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestRequestsAreFollowed checks that the end of each request is found, however its bytes are written.
func TestRequestsAreFollowed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var w requestWriter
		for range 3 {
			body := strings.Repeat("\r\n\r\nx", random.IntN(8))
			head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body))
			if body == "" && random.IntN(2) == 0 {
				head = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
			}
			rest := []byte(head + body)
			for first := true; len(rest) > 0; first = false {
				assert.Equal(t, w.begin(), first)
				assert.Assert(t, !w.whole())
				n := 1 + random.IntN(len(rest))
				w.written(rest[:n])
				rest = rest[n:]
				assert.Equal(t, w.whole(), len(rest) == 0)
			}
		}
	}
	var w requestWriter
	assert.Assert(t, w.whole())
	w.begin()
	w.written([]byte("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	assert.Assert(t, !w.whole(), "the end of a body in chunks is not looked for")
}

// pair returns a connection that checks answers, and its other end.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		dialled.Close()
		accepted.Close()
	})
	return NewConn(dialled), accepted.(*net.TCPConn)
}

// TestEndOfAnAnswerWithoutALength checks when the end of a connection is that of an answer.
func TestEndOfAnAnswerWithoutALength(t *testing.T) {
	const head, answer = "POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 200 X\r\n\r\npart"
	for name, c := range map[string]struct {
		written, later string
		close          bool
		whole          bool
	}{
		"after the request":                 {head + "body", "", false, true},
		"before the end of the body":        {head + "bo", "", false, false},
		"before the end of the head":        {head[:9], "", false, false},
		"and the rest is written meanwhile": {head + "bo", "dy", false, true},
		"and the connection is closed":      {head + "bo", "", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			conn, server := pair(t)
			_, err := io.WriteString(conn, c.written)
			assert.NilError(t, err)
			_, err = io.WriteString(server, answer)
			assert.NilError(t, err)
			assert.NilError(t, server.CloseWrite())
			time.AfterFunc(50*time.Millisecond, func() {
				io.WriteString(conn, c.later)
				if c.close {
					conn.Close()
				}
			})
			began := time.Now()
			got, err := io.ReadAll(conn)
			assert.Equal(t, string(got), answer)
			assert.Assert(t, time.Since(began) < 10*writeStall)
			if c.whole {
				assert.NilError(t, err)
				return
			}
			if !c.close {
				assert.Assert(t, errors.Is(err, ErrFaulty), "%v", err)
			}
			assert.Assert(t, err != nil)
		})
	}
}

// TestIdleConnectionThatEnds checks that the end of a connection on which no request waits is no fault.
func TestIdleConnectionThatEnds(t *testing.T) {
	conn, server := pair(t)
	before := fmt.Sprint(Counts())
	assert.NilError(t, server.Close())
	_, err := conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, fmt.Sprint(Counts()), before)
}
