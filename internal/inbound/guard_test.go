package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testServer is an HTTP server behind a guard. It answers each request after its body has been read, and those for /wait when the
// test ends.
type testServer struct {
	guard *Guard
	addr  string
}

func newTestServer(t *testing.T, config Config, limits Limits) *testServer {
	t.Helper()
	config.Limits = func() Limits { return limits }
	config.Log = func(string, ...any) {}
	s := &testServer{guard: New(config)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	go s.guard.Run(ctx)
	server := s.guard.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/wait" {
			<-ctx.Done()
		}
	}))
	go server.Serve(s.guard.Listener(l))
	t.Cleanup(func() {
		cancel()
		server.Close()
	})
	return s
}

// dial opens a connection and sends a text.
func (s *testServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	return conn
}

// rest returns all that arrives on a connection.
func rest(conn net.Conn) string {
	conn.SetReadDeadline(time.Now().Add(time.Minute))
	text, _ := io.ReadAll(conn)
	return string(text)
}

// hung stands for the status of an answer on a connection that neither brings one nor ends.
const hung = -1

// status returns the status of the next answer, or zero if the connection ends without one.
func status(conn net.Conn) int {
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return hung
	}
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// await waits until a condition holds for the guard's metrics.
func (s *testServer) await(t *testing.T, holds func(Metrics) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if m := s.guard.Metrics(); !holds(m) {
			return poll.Continue("%+v", m)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
}

// awaitWaiting waits until the given number of connections have no complete request.
func (s *testServer) awaitWaiting(t *testing.T, count int) {
	t.Helper()
	s.await(t, func(Metrics) bool {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		return s.guard.waiting.Len() == count
	})
}

// head returns the head of a request with the given number of short lines.
func head(path string, lines int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n", path)
	for i := range lines {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String() + "\r\n"
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	s := newTestServer(t, Config{}, Limits{HeadBytes: 1000})
	for size, want := range map[int]int{900: 200, 1000: 431, 5000: 431, 50_000: 431, 2 << 20: 431} {
		conn, err := net.Dial("tcp", s.addr)
		assert.NilError(t, err)
		go io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nA:"+strings.Repeat("x", size)+"\r\n\r\n")
		// A connection that is closed with unread bytes is reset, and the answer may get lost.
		if got := status(conn); got != 0 || want == 200 || size < 5000 {
			assert.Equal(t, got, want, "%d bytes", size)
		}
		conn.Close()
	}
}

// TestLargeHeadsTakeLimitedMemory guards against many heads of short lines that together take more memory than the process has, and
// against a limit that a single one meets.
func TestLargeHeadsTakeLimitedMemory(t *testing.T) {
	const lines = 1000
	s := newTestServer(t, Config{HeadMemory: 2 * lines * lineCost}, Limits{HeadBytes: 64 << 10})
	waiting := s.dial(t, head("/wait", lines))
	s.await(t, func(m Metrics) bool { return m.HeadMemory > 0 })
	assert.Equal(t, rest(s.dial(t, head("/", 3*lines))), answerNoMemory, "one answer, and no other")
	assert.Equal(t, status(s.dial(t, head("/", 5))), http.StatusOK, "an ordinary request")
	assert.Equal(t, s.guard.Metrics().NoMemory, int64(1))
	waiting.Close()
}

// TestLinesOfABodyAreNoLinesOfAHead guards against ordinary requests that are refused, because the lines of their bodies, which arrive with
// the heads, count as those of heads.
func TestLinesOfABodyAreNoLinesOfAHead(t *testing.T) {
	const lines = 1000
	s := newTestServer(t, Config{HeadMemory: lines * lineCost}, Limits{HeadBytes: 64 << 10})
	s.dial(t, head("/wait", lines))
	s.await(t, func(m Metrics) bool { return m.HeadMemory > 0 })
	body := strings.Repeat("\n", 3000)
	conn := s.dial(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	assert.Equal(t, status(conn), http.StatusOK)
	// The end of this head is divided between two reads. What follows counts until the head is known.
	conn = s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n")
	s.awaitWaiting(t, 2)
	_, err := io.WriteString(conn, "\r\n")
	assert.NilError(t, err)
	assert.Equal(t, status(conn), http.StatusOK)
}

// TestLoneLargeHeadIsServed checks that a head within the limit is served while there is no other, again and again.
func TestLoneLargeHeadIsServed(t *testing.T) {
	s := newTestServer(t, Config{HeadMemory: 1}, Limits{HeadBytes: 64 << 10})
	for range 3 {
		conn := s.dial(t, head("/", 3000))
		assert.Equal(t, status(conn), http.StatusOK)
		s.await(t, func(m Metrics) bool { return m.HeadMemory == 0 })
		conn.Close()
	}
}

// TestOldestWaitingConnectionMakesRoom checks that a new connection takes the place of the one that has been without a request for
// longest, and never that of one with a request.
func TestOldestWaitingConnectionMakesRoom(t *testing.T) {
	s := newTestServer(t, Config{Connections: 3}, Limits{})
	s.dial(t, head("/wait", 0))
	idle := s.dial(t, head("/", 0))
	assert.Equal(t, status(idle), http.StatusOK)
	s.awaitWaiting(t, 1)
	slow := s.dial(t, "GET / HTTP/1.1\r\n")
	s.awaitWaiting(t, 2)
	s.dial(t, head("/wait", 0))
	assert.Equal(t, status(idle), 0)
	s.awaitWaiting(t, 1)
	s.dial(t, head("/wait", 0))
	assert.Equal(t, status(slow), 0)
	s.awaitWaiting(t, 0)
	assert.Equal(t, status(s.dial(t, "")), 0)
	m := s.guard.Metrics()
	assert.Equal(t, m.Evicted, int64(2))
	assert.Equal(t, m.Refused, int64(1))
	assert.Equal(t, m.Connections, 3)
}

// TestConnectionsWithoutRequestsEnd checks both time limits of the configuration.
func TestConnectionsWithoutRequestsEnd(t *testing.T) {
	s := newTestServer(t, Config{}, Limits{HeadTimeout: 100 * time.Millisecond, IdleTimeout: 400 * time.Millisecond})
	slow, idle := s.dial(t, "GET / HTTP/1.1\r\n"), s.dial(t, "")
	working := s.dial(t, head("/wait", 0))
	assert.Equal(t, status(slow), 0)
	assert.Equal(t, status(idle), 0)
	s.await(t, func(m Metrics) bool { return m.SlowHeads == 1 && m.Idle == 1 && m.Connections == 1 })
	working.Close()
}

// FuzzHeads checks that whatever a client sends, its connection is answered or ended and all that it took is given back.
func FuzzHeads(f *testing.F) {
	for _, text := range []string{
		head("/", 3), "\r\n\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\n",
		"GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\x00: b\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 1000) + "\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n",
		head("/", 1) + head("/", 1) + head("/", 1),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s := newTestServer(t, Config{Connections: 4, HeadMemory: 1 << 20}, Limits{HeadBytes: 4096, HeadTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
		conn, err := net.Dial("tcp", s.addr)
		assert.NilError(t, err)
		go conn.Write(text)
		go io.Copy(io.Discard, conn)
		time.Sleep(time.Millisecond)
		conn.(*net.TCPConn).CloseWrite()
		s.await(t, func(m Metrics) bool { return m.Connections == 0 && m.HeadMemory == 0 })
		conn.Close()
	})
}
