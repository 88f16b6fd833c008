package front

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowWork is how long the server works on a sign-off. It is longer than a connection may be silent, while others deliver.
const slowWork = 2500 * time.Millisecond

// startSlowServer starts a server that works long on a POST, and not on a GET. It reports the headers of each POST.
func startSlowServer(t *testing.T, onPost func(http.Header)) string {
	return serveConns(t, func(conn net.Conn) {
		serveRequests(conn, func(request *http.Request) string {
			if request.Method == http.MethodPost {
				onPost(request.Header)
				time.Sleep(slowWork)
			}
			return answerOK
		})
	})
}

// TestShutdownOfTheForwarderEndsNoRequestAtWork guards against a sign-off that a host had forwarded before it was stopped, and that
// the host which it was forwarded to gave up since the connection to the server was silent while others delivered: the server
// was at work, and its answer was lost (LOST after SIGTERM).
func TestShutdownOfTheForwarderEndsNoRequestAtWork(t *testing.T) {
	for name, test := range map[string]struct {
		told bool
		want int
	}{
		"told":     {true, http.StatusOK},
		"not told": {false, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var forwarded []string
			addr := startSlowServer(t, func(header http.Header) {
				mu.Lock()
				defer mu.Unlock()
				for name := range header {
					if strings.HasPrefix(name, "Poplarcroft") {
						forwarded = append(forwarded, name)
					}
				}
			})
			receiver, primary := throughHop(t, addr)
			for _, route := range []string{"unsafe", "keyed"} {
				for range 20 {
					primary.ingress.baseline.relative(route, attempt{outcome: attemptAnswered}, 40*time.Millisecond)
				}
			}
			time.AfterFunc(300*time.Millisecond, func() {
				receiver.ingress.Leave()
				if test.told {
					primary.ingress.HostLeaves("h1")
				}
			})
			done := make(chan struct{})
			var busy sync.WaitGroup
			busy.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(60 * time.Millisecond):
						primary.callAs(t, "g", http.MethodGet, "/keyed/x")
					}
				}
			})
			status, _ := receiver.callAs(t, "a", http.MethodPost, "/unsafe/x")
			close(done)
			busy.Wait()
			assert.Equal(t, status, test.want)
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, len(forwarded), 0, "the server gets %v", forwarded)
		})
	}
}
