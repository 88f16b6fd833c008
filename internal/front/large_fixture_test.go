package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// largeBody is the body of the large answers of tests.
var largeBody = strings.Repeat("0123456789abcdef", 20<<10)

// The framings of an answer: how its end is told.
const (
	framingLength      = "length"
	framingChunked     = "chunked"
	framingUndelimited = "undelimited"
)

var framings = []string{framingLength, framingChunked, framingUndelimited}

// largeServer is a server with one large answer, which it may break off.
type largeServer struct {
	framing string
	body    string
	// cutAfter is the number of bytes of the body after which the answer breaks off, -1 in the header, and none below -1.
	cutAfter int
	// reset says that the connection is reset, and not closed, where the answer breaks off.
	reset bool
	// pauseAfter is the number of bytes after which the server waits for resume, if that is set.
	pauseAfter int
	resume     chan struct{}
	// requests counts the requests, and ended the connections that have ended.
	requests, ended atomic.Int64
}

const noCut = -2

// start starts the server and returns its address.
func (s *largeServer) start(t *testing.T) string {
	t.Helper()
	return serveConns(t, s.serve)
}

func (s *largeServer) serve(conn net.Conn) {
	defer s.ended.Add(1)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		io.Copy(io.Discard, request.Body)
		if !s.answer(conn, request.Header.Get(testHeaders.RequestID)) || s.framing == framingUndelimited {
			return
		}
	}
}

// answer writes the answer, and returns false if the connection has to be closed.
func (s *largeServer) answer(conn net.Conn, id string) bool {
	head := "HTTP/1.1 200 X\r\nX-Id: " + id + "\r\nX-Digest: d\r\n"
	if s.cutAfter == -1 {
		io.WriteString(conn, head)
		return s.breakOff(conn)
	}
	switch s.framing {
	case framingLength:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(s.body))
	case framingChunked:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	default:
		head += "Connection: close\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	const part = 4 << 10
	for sent := 0; sent < len(s.body); sent += part {
		if s.cutAfter >= 0 && sent >= s.cutAfter {
			return s.breakOff(conn)
		}
		if s.resume != nil && sent >= s.pauseAfter && sent < s.pauseAfter+part {
			<-s.resume
		}
		if err := s.writePart(conn, s.body[sent:min(sent+part, len(s.body))]); err != nil {
			return false
		}
	}
	if s.framing == framingChunked {
		io.WriteString(conn, "0\r\n\r\n")
	}
	return true
}

func (s *largeServer) writePart(conn net.Conn, part string) error {
	if s.framing == framingChunked {
		part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	_, err := io.WriteString(conn, part)
	return err
}

// breakOff ends the connection. What was written before reaches the other end first, as it does when a server crashes.
func (s *largeServer) breakOff(conn net.Conn) bool {
	if s.reset {
		// A reset discards what the other end has not read yet.
		time.Sleep(100 * time.Millisecond)
		conn.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// throughHop returns a host that forwards the requests for keys to a second one, which has the servers.
func throughHop(t *testing.T, servers ...string) (receiver, primary *system) {
	t.Helper()
	receiver, primary = newHost(t, "h1", servers...), newHost(t, "h2", servers...)
	host := assign.Host{Name: "h2", Zone: "zlin", Addr: servePeers(t, primary.ingress)}
	receiver.assignAllKeys("revize-0", servers[0], 2, host)
	primary.assignAllKeys("revize-0", servers[0], 2, host)
	return receiver, primary
}

// dialCaller sends a request of a caller that reads the answer by itself, from a connection with a small buffer.
func (s *system) dialCaller(t *testing.T, path, id string) *net.TCPConn {
	t.Helper()
	return s.dialRaw(t, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Left: %s\r\nX-Key: 4711\r\n\r\n", path, id, s.timeoutMS))
}

// dialRaw sends the bytes of a request.
func (s *system) dialRaw(t *testing.T, request string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.callers.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	tcp := conn.(*net.TCPConn)
	assert.NilError(t, tcp.SetReadBuffer(16<<10))
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	return tcp
}

// serveWatched starts the server, and calls ended when the other end has closed a connection.
func serveWatched(t *testing.T, s *largeServer, ended func()) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		go s.answer(conn, request.Header.Get(testHeaders.RequestID))
		conn.Read(make([]byte, 1))
		ended()
	})
}

// awaitUntil waits until the condition holds, and returns how long that took.
func awaitUntil(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !holds() {
		assert.Assert(t, time.Since(started) < limit, "not after %v: %s", limit, what)
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started)
}
