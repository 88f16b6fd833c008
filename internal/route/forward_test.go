package route

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

var methods = []string{http.MethodPost, http.MethodGet, http.MethodHead}

// twoHosts returns the primary h1, another host h2 with its own directory, and the
// server of h1. In the directory of h2 the given lessors come before h1.
func twoHosts(t *testing.T, script http.HandlerFunc, lessors ...record.Lessor) (primary, remote *testHost, server *fakeServer) {
	t.Helper()
	primary, server = newPrimary(t, script)
	remote = newTestHost(t, "h2", keyedDirectory(append(lessors, record.Lessor{Host: "h1", Incarnation: "i", PeerAddr: primary.peerAddr()})...))
	return primary, remote, server
}

func TestForwardFollowsRedirectToPrimary(t *testing.T) {
	for _, method := range methods {
		t.Run(method, func(t *testing.T) {
			// A keeper with a single lessor is always the primary, so a script plays the
			// host that names another one.
			other := newFakeServer(t, func(w http.ResponseWriter, _ *http.Request) {
				result := notRun(outcome.ReasonNotLead, "another host leads the session")
				result.Primary = "h1"
				writeForwarded(w, result)
			})
			_, remote, server := twoHosts(t, answerWith("yes"), record.Lessor{Host: "h3", PeerAddr: other.addr()})
			for range 2 {
				got := remote.call(t, method, "/v1/revize/k", "")
				assert.Equal(t, got.outcome, outcome.Done, got.body)
			}
			assert.Equal(t, server.received.Load(), int64(2))
			assert.Equal(t, other.received.Load(), int64(1), "the primary is cached")
		})
	}
}

func TestForwardFollowsRedirectToSuccessor(t *testing.T) {
	for _, method := range methods {
		t.Run(method, func(t *testing.T) {
			former := newFakeServer(t, func(w http.ResponseWriter, _ *http.Request) {
				result := notRun(outcome.ReasonNotOwner, "the slice has moved")
				result.Successor = testSession
				writeForwarded(w, result)
			})
			primary, remote, server := twoHosts(t, answerWith("yes"))
			remote.directory.owner = Owner{Session: 3, Version: 4, Lessors: []record.Lessor{{Host: "h3", PeerAddr: former.addr()}}}
			remote.directory.others[testSession] = []record.Lessor{{Host: "h1", PeerAddr: primary.peerAddr()}}
			for range 2 {
				got := remote.call(t, method, "/v1/revize/k", "")
				assert.Equal(t, got.outcome, outcome.Done, got.body)
			}
			assert.Equal(t, server.received.Load(), int64(2))
			assert.Equal(t, former.received.Load(), int64(1), "the move is cached")
		})
	}
}

// TestForwardGivesUpOnUnresponsiveFormerPrimary checks that a forwarded request waits
// for an unresponsive host only while the other lessors report it as the primary.
func TestForwardGivesUpOnUnresponsiveFormerPrimary(t *testing.T) {
	for name, test := range map[string]struct {
		primary string
		answers bool
		outcome outcome.Outcome
	}{
		"another host is primary":  {"h1", true, outcome.Done},
		"no host is primary":       {"", true, outcome.Done},
		"it is the primary":        {"h3", true, outcome.Unknown},
		"the others do not answer": {"", false, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			unresponsive := newFakeServer(t, hang)
			_, remote, server := twoHosts(t, answerWith("yes"), record.Lessor{Host: "h3", PeerAddr: unresponsive.addr()})
			remote.queryPrimary = func(record.Lessor) (string, bool) { return test.primary, test.answers }
			got := remote.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderTimeoutMS, "2000")
			assert.Equal(t, got.outcome, test.outcome, got.body)
			assert.Equal(t, unresponsive.received.Load(), int64(1))
			if test.outcome == outcome.Unknown {
				assert.Equal(t, got.reason, outcome.ReasonDeadline)
				assert.Equal(t, server.received.Load(), int64(0))
			}
		})
	}
}

// TestForwardedRefusalAfterLostAttemptIsUnknown checks that the outcome is unknown if the
// last host refuses the request as not-run but the first one may have run it.
func TestForwardedRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	for name, test := range map[string]struct {
		first http.HandlerFunc
		want  outcome.Outcome
	}{
		"closed connection": {writeRaw(""), outcome.Unknown},
		"truncated answer":  {writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes"), outcome.Unknown},
		"malformed refusal": {writeRaw("HTTP/1.1 503 Service Unavailable\r\nPoplarcroft-Refusal: 1\r\nContent-Length: 1\r\n\r\n{"), outcome.Unknown},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			writeForwarded(w, notRun(outcome.ReasonNotLead, ""))
		}, outcome.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newFakeServer(t, test.first)
			_, remote, _ := twoHosts(t, shed(http.StatusServiceUnavailable), record.Lessor{Host: "h3", PeerAddr: first.addr()})
			got := remote.call(t, http.MethodPost, "/v1/revize/k", "b")
			assert.Equal(t, got.outcome, test.want, got.body)
			assert.Equal(t, first.received.Load(), int64(1))
		})
	}
}

// refusingAddr refuses connections. The port of a closed listener would not do: a test
// that runs in parallel may get that port.
const refusingAddr = "127.0.0.1:1"

func TestNoLessorAnswers(t *testing.T) {
	t.Parallel()
	remote := newTestHost(t, "h2", keyedDirectory(record.Lessor{Host: "h3", PeerAddr: refusingAddr}))
	got := remote.call(t, http.MethodPost, "/v1/revize/k", "b")
	assert.Equal(t, got.outcome, outcome.NotRun, "no byte was sent")
	assert.Equal(t, got.reason, outcome.ReasonNotLead)
	remote.directory.owner = Owner{}
	got = remote.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderTimeoutMS, "50")
	assert.Equal(t, got.outcome, outcome.NotRun)
	assert.Equal(t, got.reason, outcome.ReasonNoOwner)
}

func TestTimeoutHeaderShrinksWithEachAttempt(t *testing.T) {
	const given, delay = 2000, 50 * time.Millisecond
	_, remote, server := twoHosts(t, answerWith("yes"))
	slow := newFakeServer(t, nil)
	primary := remote.directory.owner.Lessors[0].PeerAddr
	slow.script = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		writeForwarded(w, notRun(outcome.ReasonNotLead, "not here"))
	}
	remote.directory.owner.Lessors = []record.Lessor{{Host: "h3", PeerAddr: slow.addr()}, {Host: "h1", PeerAddr: primary}}
	got := remote.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderTimeoutMS, strconv.Itoa(given))
	assert.Equal(t, got.outcome, outcome.Done, got.body)
	first, err := strconv.Atoi(slow.lastHeader().Get(backend.HeaderTimeoutMS))
	assert.NilError(t, err)
	second, err := strconv.Atoi(server.lastHeader().Get(backend.HeaderTimeoutMS))
	assert.NilError(t, err)
	assert.Assert(t, first <= given)
	assert.Assert(t, second <= first-int(delay.Milliseconds()), "timeout of %d ms after one of %d ms", second, first)
	id := slow.lastHeader().Get(backend.HeaderRequestID)
	assert.Equal(t, server.lastHeader().Get(backend.HeaderRequestID), id, "all attempts have the same request ID")
}

func TestMalformedForwardedRequests(t *testing.T) {
	primary, server := newPrimary(t, answerWith("yes"))
	validHeaders := map[string]string{backend.HeaderSlice: "0", backend.HeaderSession: "7", backend.HeaderRequestID: "i"}
	for name, test := range map[string]struct{ path, header, value string }{
		"no slice":                {"/revize/k", backend.HeaderSlice, ""},
		"slice is not a number":   {"/revize/k", backend.HeaderSlice, "x"},
		"session is not a number": {"/revize/k", backend.HeaderSession, "-1"},
		"no ID":                   {"/revize/k", backend.HeaderRequestID, ""},
		"no key":                  {"/revize", backend.HeaderSlice, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, primary.peer.URL+"/_poplarcroft/forward"+test.path, nil)
			assert.NilError(t, err)
			for name, value := range validHeaders {
				req.Header.Set(name, value)
			}
			req.Header.Set(test.header, test.value)
			resp, err := primary.peer.Client().Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.Header.Get(backend.HeaderReason), string(outcome.ReasonBadRequest))
			assert.Equal(t, resp.Header.Get(backend.HeaderOutcome), string(outcome.NotRun))
		})
	}
	assert.Equal(t, server.received.Load(), int64(0))
}
