package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

var (
	get  = Request{Method: http.MethodGet, Path: "/valves?page=1", Idempotent: true}
	post = Request{
		Method: http.MethodPost,
		Path:   "/sign",
		Header: http.Header{
			backend.HeaderIdempotencyKey: {"k"},
			backend.HeaderRequestID:      {"r1"},
		},
		Body: []byte("sign-off"),
	}
)

// send sends a request with a deadline and reads its answer to the end.
func send(t *testing.T, target *Target, req Request) (Sent, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	result := target.Send(ctx, req)
	if result.Sent != Answered {
		assert.Assert(t, result.Err != nil)
		return result.Sent, "", result.Err
	}
	defer result.Response.Body.Close()
	body, err := io.ReadAll(result.Response.Body)
	return result.Sent, string(body), err
}

func TestResultsOfOneRequest(t *testing.T) {
	for name, c := range map[string]struct {
		script script
		req    Request
		sent   Sent
		err    error
	}{
		"complete":              {answerWith(completeAnswer), post, Answered, nil},
		"complete in chunks":    {answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), post, Answered, nil},
		"the request's ID":      {answerWith("HTTP/1.1 200 OK\r\nPoplarcroft-Request-Id: r1\r\nContent-Length: 4\r\n\r\ndone"), post, Answered, nil},
		"ID of another request": {answerWith("HTTP/1.1 200 OK\r\nPoplarcroft-Request-Id: r2\r\nContent-Length: 4\r\n\r\ndone"), post, MaybeSent, ErrWrongAnswer},
		"short":                 {answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone"), post, Answered, ErrIncompleteAnswer},
		"short of a chunk":      {answerAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), post, Answered, ErrIncompleteAnswer},
		"without a length":      {answerAndClose("HTTP/1.1 200 OK\r\n\r\ndone"), post, MaybeSent, ErrIncompleteAnswer},
		"header breaks off":     {answerAndClose("HTTP/1.1 200 OK\r\nContent-"), post, MaybeSent, nil},
		"not HTTP":              {answerAndClose("\x00\x01\x02\r\n"), post, MaybeSent, nil},
		"closed without answer": {answerAndClose(""), get, MaybeSent, nil},
		"never answered":        {neverAnswer, post, MaybeSent, context.DeadlineExceeded},
		"late":                  {delayed(3*time.Second, answerWith(completeAnswer)), get, MaybeSent, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newFakeServer(c.script)
				target := server.target(t, Options{})
				sent, body, err := send(t, target, c.req)
				assert.Equal(t, sent, c.sent, "%v", err)
				if c.err != nil {
					assert.Assert(t, errors.Is(err, c.err), "got %v", err)
				}
				if err == nil {
					assert.Equal(t, body, "done")
				}
				assert.Equal(t, server.requests.Load(), int64(1))
				target.Close()
				synctest.Wait()
				time.Sleep(3 * time.Second)
				assert.Equal(t, target.Connections(), 0)
			})
		})
	}
}

func TestNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newFakeServer(answerWith(completeAnswer))
		target := server.target(t, Options{})
		server.refuse.Store(true)
		sent, _, _ := send(t, target, post)
		assert.Equal(t, sent, NotSent)
		server.refuse.Store(false)

		target.SetConnections(0)
		sent, _, err := send(t, target, post)
		assert.Equal(t, sent, NotSent)
		assert.Assert(t, errors.Is(err, ErrConnectionLimit), "got %v", err)
		target.SetConnections(1)

		sent, _, _ = send(t, target, Request{Method: "GET", Path: "@10.0.0.2/"})
		assert.Equal(t, sent, NotSent)
		assert.Equal(t, server.requests.Load(), int64(0))
	})
}

func TestNonIdempotentRequestsTakeFreshConnections(t *testing.T) {
	for name, c := range map[string]struct {
		req      Request
		freshFor time.Duration
		idle     time.Duration
		dials    int64
	}{
		"idempotent after a pause":     {get, 0, time.Second, 1},
		"idempotent after a long one":  {get, 0, 6 * time.Second, 2},
		"non-idempotent at once":       {post, 0, time.Millisecond, 1},
		"non-idempotent after a pause": {post, 0, time.Second, 2},
		"non-idempotent, never reused": {post, -1, time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newFakeServer(answerWith(completeAnswer))
				target := server.target(t, Options{FreshFor: c.freshFor})
				for range 2 {
					sent, _, err := send(t, target, c.req)
					assert.NilError(t, err)
					assert.Equal(t, sent, Answered)
					time.Sleep(c.idle)
				}
				assert.Equal(t, server.dials.Load(), c.dials)
				assert.Equal(t, server.requests.Load(), int64(2))
				target.Close()
			})
		})
	}
}

// TestSuspendedMachineTakesFreshConnections checks that the time in suspension counts for
// FreshFor: connections from before it are not used for non-idempotent requests.
func TestSuspendedMachineTakesFreshConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		server := newFakeServer(answerWith(completeAnswer))
		clock := func() time.Duration { return fakeClock() + suspended }
		target := server.target(t, Options{Clock: clock})
		for range 2 {
			sent, _, err := send(t, target, post)
			assert.Equal(t, sent, Answered, "%v", err)
			synctest.Wait()
			suspended = time.Hour
		}
		assert.Equal(t, server.dials.Load(), int64(2))
	})
}

// TestUnresponsiveConnectionDoesNotFailARequest checks that a non-idempotent request succeeds although
// the idle connections have become unresponsive after their first request.
func TestUnresponsiveConnectionDoesNotFailARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newFakeServer(answerWith(completeAnswer), neverAnswer)
		target := server.target(t, Options{})
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() { send(t, target, get) })
		}
		group.Wait()
		time.Sleep(time.Second)
		sent, body, err := send(t, target, post)
		assert.NilError(t, err)
		assert.Equal(t, sent, Answered)
		assert.Equal(t, body, "done")
		target.Close()
	})
}

func TestDeadConnectionClosesTheIdleOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newFakeServer(delayed(time.Millisecond, answerWith(completeAnswer)), neverAnswer)
		target := server.target(t, Options{})
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() { send(t, target, get) })
		}
		group.Wait()
		assert.Equal(t, server.dials.Load(), int64(4))
		sent, _, _ := send(t, target, get)
		assert.Equal(t, sent, MaybeSent)
		sent, _, err := send(t, target, get)
		assert.Equal(t, sent, Answered, "%v", err)
		target.Close()
	})
}

// TestNoRequestIsReplayed checks that the HTTP library does not send a request again
// that may have been executed, although its method and headers would allow that.
func TestNoRequestIsReplayed(t *testing.T) {
	empty := post
	empty.Body = nil
	for name, req := range map[string]Request{"get": get, "post": post, "post without a body": empty} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newFakeServer(answerWith(completeAnswer), answerAndClose(""))
				target := server.target(t, Options{})
				sent, _, _ := send(t, target, req)
				assert.Equal(t, sent, Answered)
				sent, _, err := send(t, target, req)
				assert.Equal(t, sent, MaybeSent)
				assert.Assert(t, err != nil)
				assert.Equal(t, server.requests.Load(), int64(2))
				target.Close()
			})
		})
	}
}

func TestConnectionsOfUnfinishedAnswersAreClosed(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
	for name, c := range map[string]struct {
		script script
		finish func(cancel context.CancelFunc, result Result)
	}{
		"cancelled before the answer": {
			delayed(time.Second, answerWith(completeAnswer)),
			func(context.CancelFunc, Result) {},
		},
		"cancelled during the answer": {
			answerWith(long),
			func(cancel context.CancelFunc, result Result) {
				cancel()
				_, err := io.ReadAll(result.Response.Body)
				result.Response.Body.Close()
				assert.Assert(t, errors.Is(err, ErrIncompleteAnswer))
			},
		},
		"answer not read": {
			answerWith(long),
			func(_ context.CancelFunc, result Result) { result.Response.Body.Close() },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newFakeServer(c.script)
				target := server.target(t, Options{})
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				c.finish(cancel, target.Send(ctx, get))
				synctest.Wait()
				assert.Equal(t, target.Connections(), 0)
				server.scripts = []script{answerWith(completeAnswer)}
				_, body, err := send(t, target, get)
				assert.NilError(t, err)
				assert.Equal(t, body, "done")
				assert.Equal(t, server.dials.Load(), int64(2))
				target.Close()
				time.Sleep(time.Second)
			})
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newFakeServer(delayed(10*time.Millisecond, answerWith(completeAnswer)))
		target := server.target(t, Options{Connections: 2})
		burst := func() {
			var group sync.WaitGroup
			for i := range 20 {
				group.Go(func() {
					req := get
					if i%2 == 0 {
						req = post
					}
					sent, _, err := send(t, target, req)
					assert.Check(t, sent == Answered, "%v", err)
					assert.Check(t, target.Connections() <= 2)
				})
			}
			group.Wait()
		}
		burst()
		time.Sleep(time.Second)
		burst()
		assert.Equal(t, server.requests.Load(), int64(40))
		target.Close()
		time.Sleep(2 * time.Second)
	})
}

// TestErrorOfABrokenConnectionSaysSo checks that a request whose connection broke is not reported as one whose connection
// could not be opened, when the server is gone by then.
func TestErrorOfABrokenConnectionSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newFakeServer(answerWith(completeAnswer), answerAndClose(""))
		refused := false
		target := NewTarget("10.0.0.1:80", Options{Clock: fakeClock, Connections: 2, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if refused {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			return server.dial(ctx, network, addr)
		}})
		sent, _, _ := send(t, target, get)
		assert.Equal(t, sent, Answered)
		refused = true
		sent, _, err := send(t, target, get)
		assert.Equal(t, sent, MaybeSent)
		assert.ErrorContains(t, err, ErrReplay.Error())
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
		target.Close()
	})
}
