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

// twoHosts returns the lead h1 with its server and another host h2, whose directory is its own.
func twoHosts(t *testing.T, script http.HandlerFunc, lessors ...record.Lessor) (lead, far *testHost, server *fakeServer) {
	t.Helper()
	lead, server = leading(t, script)
	far = newTestHost(t, "h2", keyedDirectory(append(lessors, record.Lessor{Host: "h1", Incarnation: "i", PeerAddr: lead.peerAddr()})...))
	return lead, far, server
}

func TestForwardFollowsTheNamedLead(t *testing.T) {
	for _, method := range methods {
		t.Run(method, func(t *testing.T) {
			// A keeper that does not lead cannot be had without a second lessor:
			// a script stands for the host that names the lead.
			other := newFakeServer(t, func(w http.ResponseWriter, _ *http.Request) {
				result := notRun(outcome.ReasonNotLead, "another host leads the session")
				result.Lead = "h1"
				writeForwarded(w, result)
			})
			_, far, server := twoHosts(t, answer("yes"), record.Lessor{Host: "h3", PeerAddr: other.addr()})
			for range 2 {
				got := far.call(t, method, "/v1/revize/k", "")
				assert.Equal(t, got.outcome, outcome.Done, got.body)
			}
			assert.Equal(t, server.received.Load(), int64(2))
			assert.Equal(t, other.received.Load(), int64(1), "the lead is remembered")
		})
	}
}

func TestForwardFollowsTheSuccessor(t *testing.T) {
	for _, method := range methods {
		t.Run(method, func(t *testing.T) {
			former := newFakeServer(t, func(w http.ResponseWriter, _ *http.Request) {
				result := notRun(outcome.ReasonNotOwner, "the slice has moved")
				result.Successor = testSession
				writeForwarded(w, result)
			})
			lead, far, server := twoHosts(t, answer("yes"))
			far.directory.owner = Owner{Session: 3, Version: 4, Lessors: []record.Lessor{{Host: "h3", PeerAddr: former.addr()}}}
			far.directory.others[testSession] = []record.Lessor{{Host: "h1", PeerAddr: lead.peerAddr()}}
			for range 2 {
				got := far.call(t, method, "/v1/revize/k", "")
				assert.Equal(t, got.outcome, outcome.Done, got.body)
			}
			assert.Equal(t, server.received.Load(), int64(2))
			assert.Equal(t, former.received.Load(), int64(1), "the move is remembered")
		})
	}
}

// TestForwardLeavesAHostThatHangs states that a request waits for a silent host
// only as long as the other lessors know it as the lead.
func TestForwardLeavesAHostThatHangs(t *testing.T) {
	for name, test := range map[string]struct {
		lead    string
		answers bool
		outcome outcome.Outcome
	}{
		"another leads":            {"h1", true, outcome.Done},
		"nobody leads":             {"", true, outcome.Done},
		"it leads":                 {"h3", true, outcome.Unknown},
		"the others do not answer": {"", false, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := newFakeServer(t, hang)
			_, far, server := twoHosts(t, answer("yes"), record.Lessor{Host: "h3", PeerAddr: silent.addr()})
			far.leadOf = func(record.Lessor) (string, bool) { return test.lead, test.answers }
			got := far.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderTimeoutMS, "2000")
			assert.Equal(t, got.outcome, test.outcome, got.body)
			assert.Equal(t, silent.received.Load(), int64(1))
			if test.outcome == outcome.Unknown {
				assert.Equal(t, got.reason, outcome.ReasonDeadline)
				assert.Equal(t, server.received.Load(), int64(0))
			}
		})
	}
}

// TestForwardedRefusalAfterALostTryIsUnknown states that a refusal as not run does
// not hold once another host may have run the request.
func TestForwardedRefusalAfterALostTryIsUnknown(t *testing.T) {
	for name, test := range map[string]struct {
		first http.HandlerFunc
		want  outcome.Outcome
	}{
		"cut off":   {raw(""), outcome.Unknown},
		"short":     {raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes"), outcome.Unknown},
		"malformed": {raw("HTTP/1.1 503 Service Unavailable\r\nPoplarcroft-Refusal: 1\r\nContent-Length: 1\r\n\r\n{"), outcome.Unknown},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			writeForwarded(w, notRun(outcome.ReasonNotLead, ""))
		}, outcome.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newFakeServer(t, test.first)
			_, far, _ := twoHosts(t, shed(http.StatusServiceUnavailable), record.Lessor{Host: "h3", PeerAddr: first.addr()})
			got := far.call(t, http.MethodPost, "/v1/revize/k", "b")
			assert.Equal(t, got.outcome, test.want, got.body)
			assert.Equal(t, first.received.Load(), int64(1))
		})
	}
}

// refusingAddr refuses connections. The port of a closed listener does not for long: a test that runs
// beside may get it.
const refusingAddr = "127.0.0.1:1"

func TestNoLessorAnswers(t *testing.T) {
	t.Parallel()
	far := newTestHost(t, "h2", keyedDirectory(record.Lessor{Host: "h3", PeerAddr: refusingAddr}))
	got := far.call(t, http.MethodPost, "/v1/revize/k", "b")
	assert.Equal(t, got.outcome, outcome.NotRun, "no byte was sent")
	assert.Equal(t, got.reason, outcome.ReasonNotLead)
	far.directory.owner = Owner{}
	got = far.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderTimeoutMS, "50")
	assert.Equal(t, got.outcome, outcome.NotRun)
	assert.Equal(t, got.reason, outcome.ReasonNoOwner)
}

func TestDeadlineShrinksAtEachHop(t *testing.T) {
	const given, delay = 2000, 50 * time.Millisecond
	_, far, server := twoHosts(t, answer("yes"))
	slow := newFakeServer(t, nil)
	lead := far.directory.owner.Lessors[0].PeerAddr
	slow.script = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		writeForwarded(w, notRun(outcome.ReasonNotLead, "not here"))
	}
	far.directory.owner.Lessors = []record.Lessor{{Host: "h3", PeerAddr: slow.addr()}, {Host: "h1", PeerAddr: lead}}
	got := far.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderTimeoutMS, strconv.Itoa(given))
	assert.Equal(t, got.outcome, outcome.Done, got.body)
	first, err := strconv.Atoi(slow.lastHeader().Get(backend.HeaderTimeoutMS))
	assert.NilError(t, err)
	second, err := strconv.Atoi(server.lastHeader().Get(backend.HeaderTimeoutMS))
	assert.NilError(t, err)
	assert.Assert(t, first <= given)
	assert.Assert(t, second <= first-int(delay.Milliseconds()), "%d after %d", second, first)
	id := slow.lastHeader().Get(backend.HeaderRequestID)
	assert.Equal(t, server.lastHeader().Get(backend.HeaderRequestID), id, "all tries carry one ID")
}

func TestMalformedForwardedRequests(t *testing.T) {
	lead, server := leading(t, answer("yes"))
	whole := map[string]string{backend.HeaderSlice: "0", backend.HeaderSession: "7", backend.HeaderRequestID: "i"}
	for name, test := range map[string]struct{ path, header, value string }{
		"no slice":          {"/revize/k", backend.HeaderSlice, ""},
		"slice no number":   {"/revize/k", backend.HeaderSlice, "x"},
		"session no number": {"/revize/k", backend.HeaderSession, "-1"},
		"no ID":             {"/revize/k", backend.HeaderRequestID, ""},
		"no key":            {"/revize", backend.HeaderSlice, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, lead.peer.URL+"/_poplarcroft/forward"+test.path, nil)
			assert.NilError(t, err)
			for name, value := range whole {
				req.Header.Set(name, value)
			}
			req.Header.Set(test.header, test.value)
			resp, err := lead.peer.Client().Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.Header.Get(backend.HeaderReason), string(outcome.ReasonBadRequest))
			assert.Equal(t, resp.Header.Get(backend.HeaderOutcome), string(outcome.NotRun))
		})
	}
	assert.Equal(t, server.received.Load(), int64(0))
}
