package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

// numberedAnswer returns an answer whose body is the request's ID, with or without the ID in its header.
func numberedAnswer(id string, withID bool) string {
	header := ""
	if withID {
		header = backend.HeaderRequestID + ": " + id + "\r\n"
	}
	return "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + string(rune('0'+len(id))) + "\r\n\r\n" + id
}

// duplicatingServer is a server that answers each request, and sends a second copy of each answer at a
// moment that the test sets.
type duplicatingServer struct {
	// send sends the copy; it is called after each answer.
	send func(conn net.Conn, copied string)
	// withID says that the copy carries the ID of its request.
	withID bool
	ran    atomic.Int64
}

func (s *duplicatingServer) serve(conn net.Conn, req *http.Request) bool {
	s.ran.Add(1)
	answer := numberedAnswer(req.Header.Get(backend.HeaderRequestID), true)
	_, err := io.WriteString(conn, answer)
	s.send(conn, numberedAnswer(req.Header.Get(backend.HeaderRequestID), s.withID))
	return err == nil
}

// TestSecondCopyOfAnAnswerIsNeverAnotherRequestsAnswer guards against a server's late second copy of an answer that is
// taken for the answer to the next request on the connection: one that arrives together with the first, between two
// requests, in pieces, or while the next request waits, with the request's ID and without.
func TestSecondCopyOfAnAnswerIsNeverAnotherRequestsAnswer(t *testing.T) {
	write := func(conn net.Conn, copied string) { io.WriteString(conn, copied) }
	for name, sendCopy := range map[string]func(net.Conn, string){
		"at once": write,
		"between": func(conn net.Conn, copied string) {
			go func() { time.Sleep(20 * time.Millisecond); write(conn, copied) }()
		},
		"while one waits": func(conn net.Conn, copied string) {
			go func() { time.Sleep(60 * time.Millisecond); write(conn, copied) }()
		},
		"in pieces": func(conn net.Conn, copied string) {
			go func() {
				for _, piece := range strings.SplitAfter(copied, "\n") {
					time.Sleep(15 * time.Millisecond)
					write(conn, piece)
				}
			}()
		},
	} {
		for _, withID := range []bool{true, false} {
			for _, idempotent := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, with ID %t, idempotent %t", name, withID, idempotent), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						copies := &duplicatingServer{send: sendCopy, withID: withID}
						slow := func(conn net.Conn, req *http.Request) bool {
							time.Sleep(30 * time.Millisecond)
							return copies.serve(conn, req)
						}
						server := newFakeServer(copies.serve, slow)
						target := server.target(t, Options{RequireID: true})
						for _, id := range []string{"first", "second", "third", "fourth"} {
							req := Request{Method: http.MethodPost, Path: "/", Header: http.Header{backend.HeaderRequestID: {id}}, Idempotent: idempotent}
							sent, body, err := send(t, target, req)
							assert.Assert(t, sent != Answered || err != nil || body == id, "request %s got %q", id, body)
							time.Sleep(40 * time.Millisecond)
						}
						assert.Assert(t, copies.ran.Load() <= 4, "a request ran twice")
						target.Close()
						time.Sleep(time.Second)
					})
				})
			}
		}
	}
}

// TestConnectionOfAnUnidentifiedAnswerIsNotUsedAgain guards against an answer without an ID that leaves the real one on the
// connection, where the next request would take it.
func TestConnectionOfAnUnidentifiedAnswerIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := func(conn net.Conn, req *http.Request) bool {
			io.WriteString(conn, numberedAnswer("extra", false))
			time.Sleep(20 * time.Millisecond)
			_, err := io.WriteString(conn, numberedAnswer(req.Header.Get(backend.HeaderRequestID), true))
			return err == nil
		}
		server := newFakeServer(first, delayed(50*time.Millisecond, answerWith(completeAnswer)))
		target := server.target(t, Options{RequireID: true})
		for _, id := range []string{"one", "two"} {
			req := Request{Method: http.MethodPost, Path: "/", Header: http.Header{backend.HeaderRequestID: {id}}}
			sent, body, err := send(t, target, req)
			assert.NilError(t, err)
			assert.Equal(t, sent, Answered)
			assert.Equal(t, body, "extra", "the first answer of a connection is that of whoever accepted it")
		}
		assert.Equal(t, server.dials.Load(), int64(2))
		target.Close()
		time.Sleep(time.Second)
	})
}

// TestBytesOnAnIdleConnectionTaintIt guards against bytes that arrive on an idle connection just before a request takes it:
// the HTTP library would take them for the answer if the request came before it noticed them.
func TestBytesOnAnIdleConnectionTaintIt(t *testing.T) {
	for name, c := range map[string]struct{ inUse, unexpectedBytes bool }{"idle": {false, true}, "in use": {true, false}} {
		near, far := net.Pipe()
		conn := track(near, fakeClock, func(*trackedConn) {})
		if c.inUse {
			conn.beginRequest(&attempt{requestID: "one"})
		}
		go io.WriteString(far, "HTTP")
		_, err := conn.Read(make([]byte, 4))
		assert.NilError(t, err)
		assert.Equal(t, conn.hasUnexpectedBytes(), c.unexpectedBytes, name)
		assert.Assert(t, conn.hasCarried("one") == c.inUse && !conn.hasCarried("two"), name)
		far.Close()
		conn.Close()
	}
}
