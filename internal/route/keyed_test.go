package route

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

// TestOutcomeIsNeverNotRunAfterPossibleExecution checks that a request that a server
// may have run never gets the outcome not-run, and that no POST reaches a server twice.
func TestOutcomeIsNeverNotRunAfterPossibleExecution(t *testing.T) {
	for name, test := range map[string]struct {
		script  http.HandlerFunc
		timeout string
		status  int
		outcome outcome.Outcome
		reason  outcome.Reason
	}{
		"complete answer":     {answerWith("yes"), "5000", 200, outcome.Done, ""},
		"error of the server": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, "5000", 500, outcome.Done, ""},
		"load shed":           {shed(503), "5000", 503, outcome.NotRun, outcome.ReasonOverloaded},
		"closed connection":   {writeRaw(""), "5000", 502, outcome.Unknown, outcome.ReasonAnswerLost},
		"truncated body":      {writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes"), "5000", 502, outcome.Unknown, outcome.ReasonAnswerLost},
		"missing last chunk":  {writeRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n"), "5000", 502, outcome.Unknown, outcome.ReasonAnswerLost},
		"no length":           {writeRaw("HTTP/1.1 200 OK\r\n\r\nyes"), "5000", 502, outcome.Unknown, outcome.ReasonAnswerLost},
		"not HTTP":            {writeRaw("yes\r\n\r\n"), "5000", 502, outcome.Unknown, outcome.ReasonAnswerLost},
		"answer to another request": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(backend.HeaderRequestID, "another")
			_, _ = io.WriteString(w, "yes")
		}, "5000", 502, outcome.Unknown, outcome.ReasonAnswerLost},
		"late": {hang, "100", 504, outcome.Unknown, outcome.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host, server := newPrimary(t, test.script)
			got := host.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderTimeoutMS, test.timeout)
			assert.Equal(t, got.outcome, test.outcome, got.body)
			assert.Equal(t, got.reason, test.reason)
			assert.Equal(t, got.status, test.status)
			assert.Equal(t, server.received.Load(), int64(1))
		})
	}
}

func TestUnreachableServerGivesNotRun(t *testing.T) {
	t.Parallel()
	host, server := newPrimary(t, answerWith("yes"))
	server.Close()
	got := host.call(t, http.MethodPost, "/v1/revize/k", "b")
	assert.Equal(t, got.outcome, outcome.NotRun, got.body)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, server.received.Load(), int64(0))
}

func TestServerThatDoesNotOwnTheSlice(t *testing.T) {
	t.Parallel()
	host, _ := newPrimary(t, shed(http.StatusMisdirectedRequest))
	got := host.call(t, http.MethodPost, "/v1/revize/k", "b")
	assert.Equal(t, got.outcome, outcome.NotRun)
	assert.Equal(t, got.reason, outcome.ReasonNotOwner)
}

func TestCallerDisconnectCancelsItsRequest(t *testing.T) {
	ended := make(chan struct{})
	host, server := newPrimary(t, func(w http.ResponseWriter, r *http.Request) {
		hang(w, r)
		close(ended)
	})
	client := &http.Client{Timeout: 200 * time.Millisecond}
	_, err := client.Get(host.caller.URL + "/v1/revize/k")
	assert.ErrorContains(t, err, "Client.Timeout")
	select {
	case <-ended:
	case <-time.After(eventuallyTimeout):
		t.Fatal("the request at the server was not cancelled")
	}
	eventually(t, func() bool { return host.counters.Unknown.Load() == 1 })
	assert.Equal(t, server.received.Load(), int64(1))
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	host, server := newPrimary(t, answerWith("yes"))
	for name, test := range map[string]struct {
		path, body string
		status     int
		reason     outcome.Reason
	}{
		"unknown service":        {"/v1/nosuch/k", "", 404, outcome.ReasonUnknownService},
		"no key":                 {"/v1/revize/", "", 400, outcome.ReasonBadRequest},
		"no key before the rest": {"/v1/revize//sign", "", 400, outcome.ReasonBadRequest},
		"another path":           {"/v2/revize/k", "", 400, outcome.ReasonBadRequest},
		"line feed in the key":   {"/v1/revize/k%0Ab", "", 400, outcome.ReasonBadRequest},
		"CR LF in the key":       {"/v1/revize/k%0D%0AX-A:%20b", "", 400, outcome.ReasonBadRequest},
		"NUL in the key":         {"/v1/revize/k%00", "", 400, outcome.ReasonBadRequest},
		"DEL in the key":         {"/v1/revize/k%7F", "", 400, outcome.ReasonBadRequest},
		"body too large":         {"/v1/revize/k", strings.Repeat("b", maxBodyBytes+1), 400, outcome.ReasonBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			got := host.call(t, http.MethodPost, test.path, test.body)
			assert.Equal(t, got.outcome, outcome.NotRun)
			assert.Equal(t, got.reason, test.reason)
			assert.Equal(t, got.status, test.status)
		})
	}
	assert.Equal(t, server.received.Load(), int64(0))
}

func TestPathsArePassedOnUnchanged(t *testing.T) {
	var paths sync.Map
	host, server := newPrimary(t, func(w http.ResponseWriter, r *http.Request) {
		paths.Store("last", r.RequestURI+" "+r.Header.Get(backend.HeaderKey))
	})
	remote := newTestHost(t, "h2", host.directory)
	host.directory.owner.Lessors[0].PeerAddr = host.peerAddr()
	for path, want := range map[string]string{
		"/v1/revize/k":                  "/revize/k k",
		"/v1/revize/a%2Fb/c%2Fd?q=%2F&": "/revize/a%2Fb/c%2Fd?q=%2F& a/b",
		"/v1/revize/a%25b//c/../d":      "/revize/a%25b//c/../d a%b",
		"/v1/revize/%C3%A1?a=1":         "/revize/%C3%A1?a=1 á",
	} {
		for _, via := range []*testHost{host, remote} {
			got := via.call(t, http.MethodPost, path, "")
			assert.Equal(t, got.outcome, outcome.Done, got.body)
			last, _ := paths.Load("last")
			assert.Equal(t, last, want)
		}
	}
	assert.Equal(t, server.received.Load(), int64(8))
}

func TestHopByHopHeadersAreNotPassedOn(t *testing.T) {
	host, server := newPrimary(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "a")
		w.Header().Set("Keep-Alive", "timeout=9")
		w.Header().Set("Poplarcroft-Refusal", "1")
		w.Header().Set("Poplarcroft-Lead", "h9")
		w.Header().Set("X-End", "b")
		_, _ = io.WriteString(w, "yes")
	})
	remote := newTestHost(t, "h2", host.directory)
	host.directory.owner.Lessors[0].PeerAddr = host.peerAddr()
	for _, via := range []*testHost{host, remote} {
		got := via.call(t, http.MethodPost, "/v1/revize/k", "b", "Connection", "X-Mine", "X-Mine", "a", "Te", "trailers",
			"Proxy-Authorization", "p", "X-End", "c", "Poplarcroft-Epoch", "999", "Poplarcroft-Session", "999", "Poplarcroft-Other", "d")
		assert.Equal(t, got.outcome, outcome.Done, got.body)
		assert.Equal(t, got.body, "yes")
		assert.Equal(t, got.header.Get("X-End"), "b")
		for _, name := range []string{"X-Hop", "Keep-Alive", "Poplarcroft-Refusal", "Poplarcroft-Lead"} {
			assert.Equal(t, got.header.Get(name), "", name)
		}
		sent := server.lastHeader()
		assert.Equal(t, sent.Get("X-End"), "c")
		assert.Equal(t, sent.Get(backend.HeaderEpoch), "16")
		assert.Equal(t, sent.Get(backend.HeaderSession), "7")
		for _, name := range []string{"X-Mine", "Te", "Proxy-Authorization", "Poplarcroft-Other", "Poplarcroft-Forwarded-By"} {
			assert.Equal(t, sent.Get(name), "", name)
		}
	}
}

func TestTimeoutIsLimitedByService(t *testing.T) {
	host, server := newPrimary(t, answerWith("yes"))
	limit := host.directory.service.Values.RequestTimeout.Milliseconds()
	for given, most := range map[string]int64{
		"1000": 1000, "": limit, "0": limit, "-1": limit, "soon": limit, "999999": limit,
		"9223372036854775807": limit, "9223372036855": limit,
	} {
		got := host.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderTimeoutMS, given)
		assert.Equal(t, got.outcome, outcome.Done, "%q: %s", given, got.body)
		left, err := strconv.ParseInt(server.lastHeader().Get(backend.HeaderTimeoutMS), 10, 64)
		assert.NilError(t, err)
		assert.Assert(t, left <= most && left > 0, "%q: %d", given, left)
	}
}

func TestRequestsWithUsedID(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	host, server := newPrimary(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get(backend.HeaderKey) {
		case "lost":
			writeRaw("")(w, r)
		case "runs":
			<-release
		case "large":
			_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
		}
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "first")
	})
	for _, key := range []string{"done", "lost", "large"} {
		host.call(t, http.MethodPost, "/v1/revize/"+key, "b", backend.HeaderIdempotencyKey, "i")
	}
	go host.send(http.MethodPost, "/v1/revize/runs", "b", backend.HeaderIdempotencyKey, "i")
	eventually(t, func() bool { return server.received.Load() == 4 })
	for _, test := range []struct {
		key, body string
		outcome   outcome.Outcome
		reason    outcome.Reason
		received  int64
	}{
		{"done", "b", outcome.Done, "", 4},
		{"done", "other", outcome.NotRun, outcome.ReasonDuplicate, 4},
		{"lost", "b", outcome.Unknown, outcome.ReasonDuplicate, 4},
		{"large", "b", outcome.Done, outcome.ReasonDuplicate, 4},
		{"runs", "b", outcome.Unknown, outcome.ReasonDuplicate, 4},
	} {
		got := host.call(t, http.MethodPost, "/v1/revize/"+test.key, test.body,
			backend.HeaderIdempotencyKey, "i", backend.HeaderTimeoutMS, "300")
		assert.Equal(t, got.outcome, test.outcome, test.key)
		assert.Equal(t, got.reason, test.reason, test.key)
		assert.Equal(t, server.received.Load(), test.received, test.key)
		if test.outcome == outcome.Done && test.reason == "" {
			assert.Equal(t, got.body, "first")
			assert.Equal(t, got.header.Get("Content-Type"), "text/plain")
		}
	}
}

func TestRequestThatDidNotRunMayReuseItsID(t *testing.T) {
	var refused atomic.Bool
	host, server := newPrimary(t, func(w http.ResponseWriter, r *http.Request) {
		if refused.CompareAndSwap(false, true) {
			shed(http.StatusServiceUnavailable)(w, r)
		}
	})
	first := host.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderIdempotencyKey, "i")
	assert.Equal(t, first.outcome, outcome.NotRun)
	second := host.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderIdempotencyKey, "i")
	assert.Equal(t, second.outcome, outcome.Done, second.body)
	assert.Equal(t, server.received.Load(), int64(2))
}

func TestPoisonRequestIsRefused(t *testing.T) {
	host, server := newPrimary(t, answerWith("yes"))
	named := poison.FingerprintOf(poison.Request{Service: "revize", Key: "k", IdempotencyKey: "i"})
	read := poison.FingerprintOf(poison.Request{Service: "revize", Key: "k", Method: http.MethodGet, Path: "/revize/k"})
	for _, fingerprint := range []poison.Fingerprint{named, read} {
		for _, crashed := range []string{"a", "b", "c"} {
			host.guard.Import([]poison.Record{{Fingerprint: fingerprint, Death: poison.Server{Addr: "10.0.0.1:1", Incarnation: crashed}, Alone: true}}, poison.OtherHost)
		}
	}
	got := host.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderIdempotencyKey, "i")
	assert.Equal(t, got.status, http.StatusUnprocessableEntity)
	assert.Equal(t, got.reason, outcome.ReasonPoison)
	assert.Equal(t, got.outcome, outcome.Unknown, "its earlier attempts may have run")
	got = host.call(t, http.MethodGet, "/v1/revize/k", "")
	assert.Equal(t, got.reason, outcome.ReasonPoison)
	assert.Equal(t, server.received.Load(), int64(0))
	got = host.call(t, http.MethodPost, "/v1/revize/k", "b", backend.HeaderIdempotencyKey, "j")
	assert.Equal(t, got.outcome, outcome.Done)
}

func TestRetriesOfReadsStayWithinBudget(t *testing.T) {
	host, server := newPrimary(t, writeRaw(""))
	const requests = 50
	for range requests {
		got := host.call(t, http.MethodGet, "/v1/revize/k", "")
		assert.Equal(t, got.outcome, outcome.Unknown, got.body)
		assert.Assert(t, got.reason == outcome.ReasonRetryBudget || got.reason == outcome.ReasonAnswerLost, got.reason)
	}
	assert.Assert(t, server.received.Load() <= requests*11/10, "%d requests sent", server.received.Load())
}

// TestAnswersWithoutBodyKeepContentLength checks that the Content-Length in the answer
// to a HEAD request is the server's, with and without forwarding.
func TestAnswersWithoutBodyKeepContentLength(t *testing.T) {
	host, _ := newPrimary(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodHead:
			w.Header().Set("Content-Length", "123")
		case http.MethodDelete:
			w.WriteHeader(http.StatusNoContent)
		}
	})
	remote := newTestHost(t, "h2", host.directory)
	host.directory.owner.Lessors[0].PeerAddr = host.peerAddr()
	for _, via := range []*testHost{host, remote} {
		for method, want := range map[string]string{http.MethodHead: "123", http.MethodPost: "0", http.MethodDelete: ""} {
			got := via.call(t, method, "/v1/revize/k", "")
			assert.Equal(t, got.outcome, outcome.Done, got.body)
			assert.Equal(t, got.header.Get("Content-Length"), want, method)
		}
	}
}
