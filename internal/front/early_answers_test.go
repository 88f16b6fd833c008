package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// uploadBytes is the size of a body that no kernel buffer holds: it is still being written when its answer ends.
const uploadBytes = 12 << 20

// earlyHead is the head of an answer without a length.
const earlyHead = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Digest: d\r\n\r\n"

// earlyServer answers a request before it has read its body, and ends the connection after a part of the answer.
type earlyServer struct {
	head string
	// end ends the connection.
	end func(*net.TCPConn)
	// after is the time from the part to the end.
	after time.Duration
	// requests counts the requests.
	requests atomic.Int64
}

// The ways in which an early answer ends.
var (
	// reset discards what the other end has sent.
	reset = func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() }
	// closeUnread closes the connection, which resets it since bytes have not been read.
	closeUnread = func(conn *net.TCPConn) { conn.Close() }
	// closeWrite ends the answer as a whole one would, reads no more, and then closes.
	closeWrite = func(conn *net.TCPConn) { conn.CloseWrite(); time.Sleep(5 * time.Millisecond); conn.Close() }
)

func (s *earlyServer) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	io.WriteString(conn, strings.ReplaceAll(s.head, "{id}", request.Header.Get(testHeaders.RequestID))+"part")
	time.Sleep(s.after)
	s.end(conn.(*net.TCPConn))
}

// acceptUploads lets a host take bodies of uploadBytes.
func (s *system) acceptUploads() {
	table := *s.table.Load()
	table.Limits = routetable.Limits{BodyBytes: 2 * uploadBytes}
	s.table.Store(&table)
}

// TestPartOfAnAnswerToAnUnfinishedUploadIsNoAnswer guards against a part of an answer that a caller gets as the whole: the server reset
// the connection while the request was still being written, the failed write took the reset's error from the kernel, and to the
// reader the connection had ended as after a whole answer without a length (MIXED).
func TestPartOfAnAnswerToAnUnfinishedUploadIsNoAnswer(t *testing.T) {
	body := strings.Repeat("x", uploadBytes)
	for name, end := range map[string]func(*net.TCPConn){"reset": reset, "closed": closeUnread, "half closed": closeWrite} {
		for version, head := range map[string]string{"1.1": earlyHead, "1.0": strings.Replace(earlyHead, "1.1", "1.0", 1)} {
			t.Run(name+" "+version, func(t *testing.T) {
				var runs sync.WaitGroup
				for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
					for _, path := range []string{"/unsafe/x", "/post/x", "hop /unsafe/x", "hop /post/x"} {
						runs.Go(func() {
							server := &earlyServer{head: head, end: end, after: after}
							s := hostFor(t, path, serveConns(t, server.serve))
							response, got, err := s.call(t, "POST", strings.TrimPrefix(path, "hop "), body)
							if !assert.Check(t, err == nil, "%s after %v: %v", path, after, err) {
								return
							}
							assert.Check(t, response.StatusCode == http.StatusBadGateway, "%s after %v: %d %q", path, after, response.StatusCode, got)
							assert.Check(t, server.requests.Load() == 1, "%s: %d requests", path, server.requests.Load())
						})
					}
				}
				runs.Wait()
			})
		}
	}
}

// TestPartOfAnAnswerToAWrittenUploadIsNoAnswer checks bodies that the kernel takes whole before the server resets the connection: nobody but the
// reader can learn of the reset then.
func TestPartOfAnAnswerToAWrittenUploadIsNoAnswer(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){"reset": reset, "closed": closeUnread} {
		for _, size := range []int{16 << 10, 64 << 10, 256 << 10, 1 << 20} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				var runs sync.WaitGroup
				for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
					for _, path := range []string{"/unsafe/x", "hop /post/x"} {
						runs.Go(func() {
							server := &earlyServer{head: earlyHead, end: end, after: after}
							s := hostFor(t, path, serveConns(t, server.serve))
							response, got, err := s.call(t, "POST", strings.TrimPrefix(path, "hop "), strings.Repeat("x", size))
							if assert.Check(t, err == nil, "%s after %v: %v", path, after, err) {
								assert.Check(t, response.StatusCode == http.StatusBadGateway, "%s after %v: %d %q", path, after, response.StatusCode, got)
							}
						})
					}
				}
				runs.Wait()
			})
		}
	}
}

// hostFor returns a host with servers, which another one forwards to if the path begins so.
func hostFor(t *testing.T, path string, servers ...string) *system {
	t.Helper()
	if !strings.HasPrefix(path, "hop ") {
		s := newHost(t, "h1", servers...)
		s.acceptUploads()
		return s
	}
	receiver, primary := throughHop(t, servers...)
	receiver.acceptUploads()
	primary.acceptUploads()
	return receiver
}

// TestPartOfALargeAnswerIsNeverComplete checks an answer that is passed on while it arrives, and whose connection is reset while the
// request is still being written.
func TestPartOfALargeAnswerIsNeverComplete(t *testing.T) {
	for _, path := range []string{"/download/x", "hop /file/x"} {
		for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			server := &earlyServer{head: earlyHead + largeBody, end: reset, after: after}
			addr := serveConns(t, server.serve)
			response, got, err := hostFor(t, path, addr, addr).call(t, "POST", strings.TrimPrefix(path, "hop "), strings.Repeat("x", uploadBytes))
			assert.Assert(t, err != nil || response.StatusCode != 200, "%s after %v: a complete answer of %d bytes", path, after, len(got))
		}
	}
}

// TestPartOfAnAnswerIsTriedElsewhere checks that an idempotent upload whose answer broke off goes to another server.
func TestPartOfAnAnswerIsTriedElsewhere(t *testing.T) {
	for _, path := range []string{"/any/x", "/download/x"} {
		for range 5 {
			server := &earlyServer{head: earlyHead, end: reset}
			s := newHost(t, "h1", serveConns(t, server.serve), startServer(t, answerOK).addr)
			s.acceptUploads()
			response, got, err := s.call(t, "POST", path, strings.Repeat("x", uploadBytes))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 200, path)
			assert.Equal(t, got, "done", path)
		}
	}
}

// TestWholeAnswerWithoutALengthToAnUpload checks that an answer that ends with its connection is whole once the request has been
// written, also if it began before.
func TestWholeAnswerWithoutALengthToAnUpload(t *testing.T) {
	for name, early := range map[string]bool{"after the body": false, "before the body": true} {
		t.Run(name, func(t *testing.T) {
			addr := serveConns(t, func(conn net.Conn) {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				answer := strings.ReplaceAll(earlyHead, "{id}", request.Header.Get(testHeaders.RequestID)) + "done"
				if early {
					io.WriteString(conn, answer)
					conn.(*net.TCPConn).CloseWrite()
					io.Copy(io.Discard, request.Body)
					return
				}
				io.Copy(io.Discard, request.Body)
				io.WriteString(conn, answer)
			})
			for range 10 {
				s := newHost(t, "h1", addr)
				s.acceptUploads()
				response, got, err := s.call(t, "POST", "/post/x", strings.Repeat("x", uploadBytes))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, 200)
				assert.Equal(t, got, "done")
			}
		})
	}
}

// TestEarlyAnswerOfAServerThatStopsReading checks that a caller does not wait until its deadline for the end of a request that its
// server does not read.
func TestEarlyAnswerOfAServerThatStopsReading(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	server := &earlyServer{head: earlyHead, end: func(conn *net.TCPConn) { conn.CloseWrite(); <-done }}
	s := newHost(t, "h1", serveConns(t, server.serve))
	s.acceptUploads()
	began := time.Now()
	response, got, err := s.call(t, "POST", "/post/x", strings.Repeat("x", uploadBytes))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway, got)
	assert.Assert(t, time.Since(began) < 3*time.Second, "%v of 20 s", time.Since(began))
}
