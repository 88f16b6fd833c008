package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// testConfig returns a short run against the handlers, each on its own address.
func testConfig(t *testing.T, handlers ...http.HandlerFunc) Config {
	config := DefaultConfig()
	config.Service = "revize"
	config.Rate = 2000
	config.Requests = 40
	for _, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		config.Targets = append(config.Targets, server.Listener.Addr().String())
	}
	return config
}

// answer returns a handler that answers with an outcome and a status.
func answer(result outcome.Outcome, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderOutcome, string(result))
		w.WriteHeader(status)
	}
}

// answerShort sends fewer bytes than its Content-Length says.
func answerShort(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(backend.HeaderOutcome, string(outcome.Done))
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "short")
}

// answerCrossed sends the Idempotency-Key of another request.
func answerCrossed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(backend.HeaderOutcome, string(outcome.Done))
	w.Header().Set(backend.HeaderIdempotencyKey, "somebody-else")
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		outcome outcome.Outcome
		reason  outcome.Reason
	}{
		{"done", answer(outcome.Done, http.StatusOK), outcome.Done, ""},
		{"not run", answer(outcome.NotRun, http.StatusServiceUnavailable), outcome.NotRun, ""},
		{"unknown", answer(outcome.Unknown, http.StatusBadGateway), outcome.Unknown, ""},
		{"no outcome", answer("", http.StatusOK), outcome.Unknown, ReasonNoOutcome},
		{"short", answerShort, outcome.Unknown, outcome.ReasonAnswerLost},
		{"crossed", answerCrossed, outcome.Unknown, ReasonCrossedAnswer},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			summary, err := Run(t.Context(), testConfig(t, test.handler), nil)
			assert.NilError(t, err)
			assert.DeepEqual(t, summary.Outcomes, map[outcome.Outcome]int{test.outcome: 40})
			if test.outcome != outcome.Done {
				assert.DeepEqual(t, summary.Reasons, map[outcome.Reason]int{test.reason: 40})
			}
		})
	}
}

func TestNoConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	config := testConfig(t)
	config.Targets = []string{listener.Addr().String()}
	assert.NilError(t, listener.Close())
	summary, err := Run(t.Context(), config, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, summary.Outcomes, map[outcome.Outcome]int{outcome.NotRun: 40})
	assert.DeepEqual(t, summary.Reasons, map[outcome.Reason]int{ReasonConnectFailed: 40})
}

func TestUnknownIsRetriedThroughAnotherHost(t *testing.T) {
	config := testConfig(t, answer(outcome.Unknown, http.StatusBadGateway), answer(outcome.Done, http.StatusOK))
	config.Retries = 1
	config.WriteShare = 1
	var lines bytes.Buffer
	summary, err := Run(t.Context(), config, &lines)
	assert.NilError(t, err)
	assert.DeepEqual(t, summary.Outcomes, map[outcome.Outcome]int{outcome.Done: 40})
	assert.Equal(t, summary.Requests, 40)
	assert.Equal(t, summary.Attempts, 60)

	attempts := map[string][]Record{}
	decoder := json.NewDecoder(&lines)
	for decoder.More() {
		var record Record
		assert.NilError(t, decoder.Decode(&record))
		attempts[record.ID] = append(attempts[record.ID], record)
	}
	assert.Equal(t, len(attempts), 40)
	for _, records := range attempts {
		last := records[len(records)-1]
		assert.Equal(t, last.Host, config.Targets[1])
		assert.Assert(t, last.Last)
		assert.Equal(t, len(records), last.Attempt+1)
	}
}

// Checks that net/http does not retry a write by itself after a reused connection
// breaks: it would do so for a request with an Idempotency-Key.
func TestBrokenConnectionSendsWriteOnce(t *testing.T) {
	var arrived atomic.Int64
	config := testConfig(t, func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		answer(outcome.Done, http.StatusOK)(w, r)
	})
	config.WriteShare = 1
	config.Concurrency = 1
	summary, err := Run(t.Context(), config, nil)
	assert.NilError(t, err)
	assert.Equal(t, arrived.Load(), int64(40))
	assert.DeepEqual(t, summary.Outcomes, map[outcome.Outcome]int{outcome.Done: 20, outcome.Unknown: 20})
}

func TestLatencyCountsFromIntendedStart(t *testing.T) {
	config := testConfig(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		answer(outcome.Done, http.StatusOK)(w, r)
	})
	config.Concurrency = 1
	summary, err := Run(t.Context(), config, nil)
	assert.NilError(t, err)
	// The intended starts lie within about 20 ms, but the one worker needs 800 ms for
	// all requests, so the last ones wait longest.
	assert.Assert(t, summary.Done.MaxMS > 500, "max %v ms", summary.Done.MaxMS)
}

func TestDirectRunNamesServiceAndKey(t *testing.T) {
	config := testConfig(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/" || r.Header.Get(backend.HeaderService) != "revize" || r.Header.Get(backend.HeaderKey) == "" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	comparison, err := Compare(t.Context(), config, config.Targets, nil, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, comparison.Direct.Outcomes, map[outcome.Outcome]int{outcome.Done: 40})
	assert.DeepEqual(t, comparison.Routed.Outcomes, map[outcome.Outcome]int{outcome.Unknown: 40})
}

func TestCancelledRunStops(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	summary, err := Run(ctx, testConfig(t, answer(outcome.Done, http.StatusOK)), nil)
	assert.NilError(t, err)
	assert.Assert(t, summary.Requests < 40)
}

func TestCheckRejectsInvalidConfig(t *testing.T) {
	cases := map[string]func(*Config){
		"not a loopback address": func(c *Config) { c.Targets = []string{"192.0.2.1:80"} },
		"not IP:port":            func(c *Config) { c.Targets = []string{"localhost:80"} },
		"no targets":             func(c *Config) { c.Targets = nil },
		"rate must":              func(c *Config) { c.Rate = MaxRate + 1 },
		"duration must":          func(c *Config) { c.Duration = MaxDuration + 1 },
		"concurrency must":       func(c *Config) { c.Concurrency = 0 },
		"hot set needs":          func(c *Config) { c.HotShare, c.HotSetInterval = 0.5, 0 },
	}
	for message, change := range cases {
		config := DefaultConfig()
		config.Targets = []string{"127.0.0.1:8080"}
		config.Service = "revize"
		assert.NilError(t, config.Check())
		change(&config)
		_, err := Run(t.Context(), config, nil)
		assert.ErrorContains(t, err, message)
	}
}

// drawSchedule returns all requests of a run.
func drawSchedule(config Config) []Request {
	schedule := newScheduler(config, "run")
	var requests []Request
	for {
		request, more := schedule.next()
		if !more {
			return requests
		}
		requests = append(requests, request)
	}
}

func TestScheduleFollowsSeedAndRate(t *testing.T) {
	config := DefaultConfig()
	config.Distribution = Zipf
	requests := drawSchedule(config)
	assert.DeepEqual(t, requests, drawSchedule(config))
	mean := config.Rate * config.Duration.Seconds()
	assert.Assert(t, len(requests) > int(0.9*mean) && len(requests) < int(1.1*mean))
}

func TestHotSetMoves(t *testing.T) {
	config := DefaultConfig()
	config.HotShare = 1
	hot := map[string]int{}
	for _, request := range drawSchedule(config) {
		hot[request.Key]++
	}
	assert.Equal(t, len(hot), int(config.Duration/config.HotSetInterval))
}

func TestParseTicks(t *testing.T) {
	ticks, err := parseTicks([]byte("7 (a b) c) S 1 2 3 4 5 6 7 8 9 10 30 12 13 14"))
	assert.NilError(t, err)
	assert.Equal(t, ticks, int64(42))
	_, err = parseTicks([]byte(strings.Repeat("1 ", 5)))
	assert.ErrorContains(t, err, "too few fields")
}
