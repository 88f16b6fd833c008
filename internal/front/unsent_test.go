package front

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
)

// inTime and tooLong are what callers wait, in milliseconds, and endsIn is when the host ends all requests.
const (
	inTime  = "900"
	tooLong = "20000"
	endsIn  = 2 * time.Second
)

// beginLastPhase begins the last phase of a host's shutdown.
func (s *system) beginLastPhase() {
	s.ingress.Leave()
	s.ingress.RefuseUnsent(clock.Monotonic() + endsIn)
}

// callWaiting sends a request of a caller that waits for the given time, and returns the answer.
func (s *system) callWaiting(t *testing.T, path, timeoutMS string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, s.callers.URL+path, nil)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header = http.Header{"X-Id": {"late"}, "X-Key": {"4711"}, "X-Left": {timeoutMS}}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response
}

// lateCase is a kind of request in the last phase of a shutdown.
type lateCase struct {
	path      string
	forwarded bool
}

var lateCases = map[string]lateCase{
	"with a key":                {"/unsafe/x", false},
	"with a key, idempotent":    {"/keyed/x", false},
	"without a key":             {"/post/x", false},
	"without a key, idempotent": {"/any/x", false},
	"forwarded":                 {"/unsafe/x", true},
	"forwarded, idempotent":     {"/keyed/x", true},
}

// start returns the host that has the callers.
func (c lateCase) start(t *testing.T, server *backendServer) *system {
	if !c.forwarded {
		return newSystem(t, server)
	}
	receiver, _ := throughHop(t, server.addr)
	return receiver
}

// TestLateRequestsAreRefusedBeforeTheyAreSent guards against requests that come late in the grace time of a planned stop, are sent on,
// and are cut off at its end (LOST): one that may last longer is refused as not run, to come back at once. One that must
// end before is served.
func TestLateRequestsAreRefusedBeforeTheyAreSent(t *testing.T) {
	for name, test := range lateCases {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, answerOK)
			s := test.start(t, server)
			s.beginLastPhase()
			assert.Equal(t, s.callWaiting(t, test.path, inTime).StatusCode, http.StatusOK)
			served := len(server.seen())
			refused := s.callWaiting(t, test.path, tooLong)
			assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, refused.Header.Get("Retry-After"), "0.010")
			assert.Equal(t, len(server.seen()), served, "the server got the request")
		})
	}
}

// TestRequestWhoseBodyComesLateIsRefused checks that what counts is when a request is complete, not when its header came.
func TestRequestWhoseBodyComesLateIsRefused(t *testing.T) {
	server := startServer(t, answerOK)
	s := newSystem(t, server)
	conn := s.dialRaw(t, "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: late\r\nX-Key: 4711\r\nX-Left: "+tooLong+"\r\nContent-Length: 4\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	s.beginLastPhase()
	io.WriteString(conn, "body")
	refused, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(server.seen()), 0)
}

// TestWaitingRequestsAreRefusedInTheLastPhase checks that a request which waits for its server is refused as soon as it might not
// end in time, and that one at work gets its answer.
func TestWaitingRequestsAreRefusedInTheLastPhase(t *testing.T) {
	for name, test := range lateCases {
		t.Run(name, func(t *testing.T) {
			began, release := make(chan struct{}, 8), make(chan struct{})
			server := startServer(t, answerOK)
			server.answering = func() {
				began <- struct{}{}
				<-release
			}
			s := test.start(t, server)
			atWork := make(chan int, 1)
			go func() { atWork <- s.callWaiting(t, test.path, tooLong).StatusCode }()
			<-began
			s.beginLastPhase()
			close(release)
			assert.Equal(t, <-atWork, http.StatusOK)
		})
	}
	t.Run("without an owner", func(t *testing.T) {
		server := startServer(t, answerOK)
		s := newSystem(t, server)
		plan := s.current.Plan().Clone()
		plan.Version++
		plan.Services["revize"][0].Phase = assign.Free
		s.current.Adopt(plan)
		waiting := make(chan *http.Response, 1)
		began := time.Now()
		go func() { waiting <- s.callWaiting(t, "/unsafe/x", tooLong) }()
		time.Sleep(200 * time.Millisecond)
		s.beginLastPhase()
		refused := <-waiting
		assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, refused.Header.Get("Retry-After"), "0.010")
		assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
	})
}
