package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/conntest"
)

// startHangingServer starts a server that never answers. It sends "arrived" on the channel when a
// request has arrived, and "ended" when its connection has been closed.
func startHangingServer(t *testing.T) (server *backendServer, events chan string) {
	t.Helper()
	events = make(chan string, 8)
	addr := conntest.Serve(t, func(conn *net.TCPConn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		events <- "arrived"
		reader.ReadByte()
		events <- "ended"
	})
	return &backendServer{addr: addr}, events
}

// await returns the next event, or "" if none arrives within the limit.
func await(events chan string, limit time.Duration) string {
	select {
	case event := <-events:
		return event
	case <-time.After(limit):
		return ""
	}
}

// TestCallerDisconnects checks that an idempotent request is cancelled when its caller disconnects,
// and that any other goes on until its deadline, since cancelling it would leave unknown whether
// it was executed.
func TestCallerDisconnects(t *testing.T) {
	const noLimit = 10 * time.Second
	for _, test := range []struct {
		method, path string
		continues    bool
	}{
		{"GET", "/keyed/x", false}, {"GET", "/any/x", false}, {"POST", "/unsafe/x", true}, {"POST", "/post/x", true},
	} {
		server, events := startHangingServer(t)
		s := newSystem(t, server)
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, test.method, s.callers.URL+test.path, strings.NewReader(""))
		assert.NilError(t, err)
		request.Host = "a.example"
		request.Header.Set("X-Id", "i")
		request.Header.Set("X-Key", "1")
		request.Header.Set("X-Left", "600")
		started := time.Now()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if response, err := http.DefaultClient.Do(request); err == nil {
				response.Body.Close()
			}
		}()
		assert.Equal(t, await(events, noLimit), "arrived", test.path)
		cancel()
		<-ended
		assert.Equal(t, await(events, noLimit), "ended", test.path)
		if test.continues {
			assert.Assert(t, time.Since(started) >= 500*time.Millisecond, "%s: cut after %v", test.path, time.Since(started))
		}
	}
}

// TestRequestAtItsDeadlineIsUnknown checks that a request that is being executed at its deadline
// ends as unknown then, and that the caller is not asked to retry.
func TestRequestAtItsDeadlineIsUnknown(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/post/x"} {
		server, _ := startHangingServer(t)
		s := newSystem(t, server)
		s.timeoutMS = "600"
		response, _, err := s.call(t, "POST", path, "signed")
		assert.NilError(t, err)
		assert.Assert(t, response.StatusCode == http.StatusGatewayTimeout || response.StatusCode == http.StatusBadGateway,
			"%s: %d", path, response.StatusCode)
		assert.Equal(t, response.Header.Get("Retry-After"), "")
	}
}

// TestWaitingRequestEndsWithItsCaller guards against a request that is not idempotent, waits for a slot and is sent after
// its caller has gone: directly, and at the primary to which another host has forwarded it.
func TestWaitingRequestEndsWithItsCaller(t *testing.T) {
	const width = 4 + extraSlots
	for _, forwarded := range []bool{false, true} {
		server, events := startHangingServer(t)
		s := newSystem(t, server)
		entry := s
		if forwarded {
			entry = newHost(t, "h0", server.addr)
			peers := servePeersWith(t, s.ingress.ServeForwarded)
			for _, host := range []*system{s, entry} {
				host.assignAllKeys("revize-0", server.addr, 2, assign.Host{Name: "h1", Zone: "zlin", Addr: peers})
			}
		}
		post := func(ctx context.Context, leftMS string) {
			request, err := http.NewRequestWithContext(ctx, "POST", entry.callers.URL+"/unsafe/x", strings.NewReader("x"))
			assert.NilError(t, err)
			request.Host = "a.example"
			request.Header.Set("X-Id", "i")
			request.Header.Set("X-Key", "1")
			request.Header.Set("X-Left", leftMS)
			if response, err := http.DefaultClient.Do(request); err == nil {
				response.Body.Close()
			}
		}
		for range width {
			go post(t.Context(), "1500")
		}
		for range width {
			assert.Equal(t, await(events, 10*time.Second), "arrived")
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			post(ctx, "20000")
		}()
		time.Sleep(300 * time.Millisecond)
		cancel()
		<-ended
		for range width {
			assert.Equal(t, await(events, 10*time.Second), "ended", "forwarded: %v", forwarded)
		}
		assert.Equal(t, await(events, 500*time.Millisecond), "", "forwarded: %v", forwarded)
	}
}
