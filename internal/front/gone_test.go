package front

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startPatient starts a server that never answers. It tells on the channel when a request has
// come and when its connection has ended.
func startPatient(t *testing.T) (server *backendServer, events chan string) {
	t.Helper()
	listener := listen(t)
	events = make(chan string, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.Copy(io.Discard, request.Body)
				events <- "came"
				reader.ReadByte()
				events <- "ended"
			}()
		}
	}()
	return &backendServer{addr: listener.Addr().String()}, events
}

// await returns the next event, or "" where none comes in time.
func await(events chan string, limit time.Duration) string {
	select {
	case event := <-events:
		return event
	case <-time.After(limit):
		return ""
	}
}

// TestCallerThatLeaves states that the work for an idempotent request ends with its caller, and that
// one which must not run twice is let finish until its deadline.
func TestCallerThatLeaves(t *testing.T) {
	const noLimit = 10 * time.Second
	for _, test := range []struct {
		method, path string
		let          bool
	}{
		{"GET", "/keyed/x", false}, {"GET", "/any/x", false}, {"POST", "/unsafe/x", true}, {"POST", "/post/x", true},
	} {
		server, events := startPatient(t)
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
		assert.Equal(t, await(events, noLimit), "came", test.path)
		cancel()
		<-ended
		assert.Equal(t, await(events, noLimit), "ended", test.path)
		if test.let {
			assert.Assert(t, time.Since(started) >= 500*time.Millisecond, "%s: cut after %v", test.path, time.Since(started))
		}
	}
}

// TestTimeoutOfTheRouteIsAFinalAnswer states that a request which runs at its deadline ends as unknown then.
func TestTimeoutOfTheRouteIsAFinalAnswer(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/post/x"} {
		server, _ := startPatient(t)
		s := newSystem(t, server)
		s.left = "600"
		response, _, err := s.call(t, "POST", path, "signed")
		assert.NilError(t, err)
		assert.Assert(t, response.StatusCode == http.StatusGatewayTimeout || response.StatusCode == http.StatusBadGateway,
			"%s: %d", path, response.StatusCode)
		assert.Equal(t, response.Header.Get("Retry-After"), "")
	}
}
