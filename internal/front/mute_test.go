package front

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// muteServer is a server with one slot and no queue that never answers a request that it cannot run at once, nor any later
// one on that connection.
type muteServer struct {
	addr     string
	work     time.Duration
	running  atomic.Bool
	executed atomic.Int64

	mu sync.Mutex
	// muted are the paths of the requests that were not answered.
	muted []string
}

// startMuteServer starts a server whose requests take the given time.
func startMuteServer(t *testing.T, work time.Duration) *muteServer {
	t.Helper()
	m := &muteServer{work: work}
	m.addr = serveConns(t, func(conn net.Conn) {
		serveRequests(conn, func(request *http.Request) string {
			if !m.running.CompareAndSwap(false, true) {
				m.recordMuted(request.URL.Path)
				io.Copy(io.Discard, conn)
				return ""
			}
			time.Sleep(m.work)
			m.running.Store(false)
			m.executed.Add(1)
			return answerOK
		})
	})
	return m
}

// keepBusy sends requests to the server, one after the other with pauses, until the function that it returns is called.
func (s *system) keepBusy(t *testing.T, path string) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rand.IntN(60)) * time.Millisecond):
				s.call(t, http.MethodGet, path, "")
			}
		}
	})
	return func() { close(done); group.Wait() }
}

func (m *muteServer) recordMuted(path string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.muted = append(m.muted, path)
}

// takeMuted returns how many requests with the path were not answered since the last call.
func (m *muteServer) takeMuted(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.muted)
	m.muted = slices.DeleteFunc(m.muted, func(muted string) bool { return muted == path })
	return before - len(m.muted)
}

// TestUnansweredRequestIsTriedElsewhereOrEndsAsUnknown guards against requests that wait until their deadline at a server
// that never answers when it is full: of a service without keys, an idempotent one goes to another server, of a keyed one
// again to its owner, and one that is not idempotent ends as unknown at once.
func TestUnansweredRequestIsTriedElsewhereOrEndsAsUnknown(t *testing.T) {
	for _, test := range []struct {
		name, method, path, busyPath string
		status                       int
	}{
		{"idempotent", http.MethodGet, "/any/x", "/any/busy", 200},
		{"keyed", http.MethodGet, "/keyed/x", "/keyed/busy", 200},
		{"not idempotent", http.MethodPost, "/post/x", "/any/busy", 502},
		{"keyed, not idempotent", http.MethodPost, "/unsafe/x", "/keyed/busy", 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			mute := startMuteServer(t, 40*time.Millisecond)
			s := newHost(t, "h1", mute.addr, startServer(t, answerOK).addr)
			f := &fakeAdmission{}
			f.answer = f.grant(s)
			s.ingress.config.Admission = f
			for _, route := range []string{"any", "keyed", "post", "unsafe"} {
				s.ingress.baseline.relative(route, attempt{outcome: attemptAnswered}, 40*time.Millisecond)
			}
			stop := s.keepBusy(t, test.busyPath)
			defer stop()
			// The request may find the slot free, or taken at both attempts; then another one is sent. One that is not answered
			// takes minSilence, so 20 s were enough for some ten only.
			for started := time.Now(); ; {
				assert.Assert(t, time.Since(started) < 60*time.Second, "no request has met a full server")
				// Without a pause, the requests of this loop would take the slot nearly all the time.
				time.Sleep(time.Duration(20+rand.IntN(100)) * time.Millisecond)
				sentAt := time.Now()
				response, _, err := s.call(t, test.method, test.path, "")
				assert.NilError(t, err)
				if mute.takeMuted(test.path) != 1 {
					continue
				}
				assert.Equal(t, response.StatusCode, test.status)
				// The caller waits 20 s.
				assert.Assert(t, time.Since(sentAt) < 5*time.Second, "%v", time.Since(sentAt))
				return
			}
		})
	}
}
