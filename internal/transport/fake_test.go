package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// script answers one request on a connection. It returns false to close the connection.
type script func(conn net.Conn, req *http.Request) bool

// fakeServer is a server on in-memory connections. On each connection the n-th script
// answers the n-th request, and the last script all further ones.
type fakeServer struct {
	scripts  []script
	dials    atomic.Int64
	requests atomic.Int64
	refuse   atomic.Bool
	group    sync.WaitGroup
}

func newFakeServer(scripts ...script) *fakeServer {
	return &fakeServer{scripts: scripts}
}

func (f *fakeServer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if f.refuse.Load() {
		return nil, errors.New("connection refused")
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	f.dials.Add(1)
	near, far := net.Pipe()
	f.group.Go(func() { f.serve(far) })
	return near, nil
}

func (f *fakeServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		f.requests.Add(1)
		if !f.scripts[min(i, len(f.scripts)-1)](conn, req) {
			return
		}
	}
}

// target returns a target for the fake server, which is closed at the end of the test.
func (f *fakeServer) target(t *testing.T, options Options) *Target {
	options.Dial = f.dial
	if options.Clock == nil {
		options.Clock = fakeClock
	}
	if options.Connections == 0 {
		options.Connections = 10
	}
	target := NewTarget("10.0.0.1:80", options)
	t.Cleanup(target.Close)
	return target
}

// fakeClock is a monotonic clock on the fake time of a synctest bubble.
func fakeClock() time.Duration {
	return time.Since(time.Time{}.AddDate(1999, 0, 0))
}

// answerWith answers with the given bytes and keeps the connection open.
func answerWith(answer string) script {
	return func(conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, answer)
		return err == nil
	}
}

// answerAndClose answers with the given bytes and closes the connection.
func answerAndClose(answer string) script {
	return func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, answer)
		return false
	}
}

// delayed waits and then runs the next script.
func delayed(wait time.Duration, next script) script {
	return func(conn net.Conn, req *http.Request) bool {
		time.Sleep(wait)
		return next(conn, req)
	}
}

// neverAnswer reads everything and never answers.
func neverAnswer(conn net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, conn)
	return false
}

// completeAnswer is an answer with the body "done".
const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
