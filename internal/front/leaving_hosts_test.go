package front

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
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

// forwardedRun is a request that one host forwards to another and at which the server works longer than a connection may be silent,
// while it delivers on others.
type forwardedRun struct {
	receiver, primary *system
	mu                sync.Mutex
	// runs counts the requests that the server got, and leaked holds the headers between hosts among theirs.
	runs   int
	leaked []string
}

func newForwardedRun(t *testing.T) *forwardedRun {
	f := &forwardedRun{}
	addr := startSlowServer(t, func(header http.Header) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.runs++
		for name := range header {
			if strings.HasPrefix(name, "Poplarcroft") {
				f.leaked = append(f.leaked, name)
			}
		}
	})
	f.receiver, f.primary = throughHop(t, addr)
	plan := f.primary.current.Plan().Clone()
	plan.Version++
	plan.Hosts = append(plan.Hosts, assign.Host{Name: "h1", Zone: "olomouc"})
	f.primary.current.Adopt(plan)
	for _, route := range []string{"unsafe", "keyed"} {
		for range 20 {
			f.primary.ingress.baseline.relative(route, attempt{outcome: attemptAnswered}, 40*time.Millisecond)
		}
	}
	return f
}

// call sends the slow request while the server delivers on other connections, and returns the status and how often it ran.
func (f *forwardedRun) call(t *testing.T, path string) (status, runs int) {
	done := make(chan struct{})
	var busy sync.WaitGroup
	busy.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(60 * time.Millisecond):
				f.primary.callAs(t, "g", http.MethodGet, "/keyed/x")
			}
		}
	})
	status, _ = f.receiver.callAs(t, "a", http.MethodPost, path)
	close(done)
	busy.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.leaked), 0, "the server gets %v", f.leaked)
	return status, f.runs
}

// TestShutdownOfTheForwarderEndsNoRequestAtWork guards against a request that a host had forwarded before it was stopped, and that
// the host which it was forwarded to gave up since the connection to the server was silent while others delivered: the server
// was at work, and its answer was lost (LOST after SIGTERM). It holds for idempotent requests too, and for a host that has not got the
// message of the shutdown, as one that started after it: that host asks, and takes no answer for a yes.
func TestShutdownOfTheForwarderEndsNoRequestAtWork(t *testing.T) {
	says := func(leaves bool, err error) func() (bool, error) {
		return func() (bool, error) { return leaves, err }
	}
	for name, test := range map[string]struct {
		path string
		told bool
		ask  func() (bool, error)
		want int
	}{
		"told":              {"/unsafe/x", true, says(false, nil), http.StatusOK},
		"told, idempotent":  {"/keyed/x", true, says(false, nil), http.StatusOK},
		"asked":             {"/unsafe/x", false, says(true, nil), http.StatusOK},
		"asked, idempotent": {"/keyed/x", false, says(true, nil), http.StatusOK},
		"no answer":         {"/unsafe/x", false, says(false, context.DeadlineExceeded), http.StatusOK},
		"it stays":          {"/unsafe/x", false, says(false, nil), http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newForwardedRun(t)
			f.primary.askLeaving.Store(&test.ask)
			if test.told {
				time.AfterFunc(300*time.Millisecond, func() { f.primary.ingress.HostLeaves("h1") })
			}
			status, runs := f.call(t, test.path)
			assert.Equal(t, status, test.want)
			assert.Equal(t, runs, 1)
		})
	}
}

// TestForwarderOfAnOlderBuildMayLeave checks that a request whose forwarder has not told its name is not given up, since that host
// may be shutting down.
func TestForwarderOfAnOlderBuildMayLeave(t *testing.T) {
	s := newSystem(t, startServer(t, answerOK))
	assert.Assert(t, s.ingress.mustOutwaitSilence(&Request{Forwarded: true}))
	assert.Assert(t, s.ingress.mustOutwaitSilence(&Request{Forwarded: true, Forwarder: "not in the plan"}))
	assert.Assert(t, !s.ingress.mustOutwaitSilence(&Request{}))
}

// TestSlowWorkIsNotTakenForADeadConnectionTwice guards against a request at a healthy server that works long on it, which was
// given up for the silence of each connection in turn and ended without an answer.
func TestSlowWorkIsNotTakenForADeadConnectionTwice(t *testing.T) {
	t.Parallel()
	f := newForwardedRun(t)
	status, runs := f.call(t, "/keyed/x")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, runs, 2)
}
