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

// fake is a server on in-memory connections. Each connection runs its scripts
// in turn, and the last one for all further requests.
type fake struct {
	scripts  []script
	dials    atomic.Int64
	requests atomic.Int64
	refuse   atomic.Bool
	group    sync.WaitGroup
}

func newFake(scripts ...script) *fake {
	return &fake{scripts: scripts}
}

func (f *fake) dial(ctx context.Context, _, _ string) (net.Conn, error) {
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

func (f *fake) serve(conn net.Conn) {
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

// target returns a target of the fake that the test's end closes.
func (f *fake) target(t *testing.T, options Options) *Target {
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

// fakeClock reads the clock of a test that runs on fake time.
func fakeClock() time.Duration {
	return time.Since(time.Time{}.AddDate(1999, 0, 0))
}

// write answers with the given bytes and keeps the connection open.
func write(answer string) script {
	return func(conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, answer)
		return err == nil
	}
}

// writeAndClose answers with the given bytes and closes the connection.
func writeAndClose(answer string) script {
	return func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, answer)
		return false
	}
}

// after waits before the next script.
func after(wait time.Duration, next script) script {
	return func(conn net.Conn, req *http.Request) bool {
		time.Sleep(wait)
		return next(conn, req)
	}
}

// silent reads everything and never answers.
func silent(conn net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, conn)
	return false
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
