package front

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		values    []string
		want      float64
		named     bool
		malformed bool
	}{
		{nil, math.Inf(1), false, false},
		{[]string{"1.5"}, 1.5, true, false},
		{[]string{" 2 "}, 2, true, false},
		{[]string{"0"}, 0, true, false},
		{[]string{"3", "1"}, 1, true, false},
		{[]string{"3, 1"}, 1, true, false},
		{[]string{"many"}, math.Inf(1), false, true},
		{[]string{""}, math.Inf(1), false, true},
		{[]string{"-1"}, math.Inf(1), false, true},
		{[]string{"Inf"}, math.Inf(1), false, true},
		{[]string{"NaN"}, math.Inf(1), false, true},
		{[]string{"1e400"}, math.Inf(1), false, true},
		{[]string{"x", "2"}, 2, true, true},
	} {
		t.Run(fmt.Sprint(c.values), func(t *testing.T) {
			got, named, err := parseLimit(c.values)
			assert.Equal(t, got, c.want)
			assert.Equal(t, named, c.named)
			assert.Equal(t, err != nil, c.malformed)
		})
	}
}

// limitHeader returns the header line with a limit.
func limitHeader(limit string) string { return "X-Limit: " + limit + "\r\n" }

// TestLimitOfAServerWithKeysIsKept checks that the primary refuses at once what goes beyond a server's limit,
// and tells callers different times at which to come back.
func TestLimitOfAServerWithKeysIsKept(t *testing.T) {
	server := startServer(t, rawAnswer(200, "done", limitHeader("0.1")))
	s := newSystem(t, server)
	s.assignAllKeys("revize-0", server.addr, 2, assign.Host{Name: "h1", Zone: "zlin"})
	response, _, err := s.call(t, "GET", "/keyed/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	returns := make(map[string]bool)
	for range 2 {
		began := time.Now()
		response, body, err := s.call(t, "GET", "/keyed/x", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 503)
		assert.Equal(t, body, reasonLimited+"\n")
		assert.Assert(t, time.Since(began) < time.Second)
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 0 && after <= 2, "retry after %v", after)
		returns[response.Header.Get("Retry-After")] = true
	}
	assert.Equal(t, len(server.seen()), 1)
}

// TestLimitOfAServerWithoutKeysSendsRequestsElsewhere checks that requests go to another server, and are
// refused if all name a limit.
func TestLimitOfAServerWithoutKeysSendsRequestsElsewhere(t *testing.T) {
	limited, free := startServer(t, rawAnswer(200, "done", limitHeader("0.1"))), startServer(t, answerOK)
	s := newSystem(t, limited, free)
	for range 20 {
		response, _, err := s.call(t, "GET", "/any/x", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
	}
	assert.Assert(t, len(limited.seen()) <= 1, "%d requests", len(limited.seen()))
	only := newSystem(t, limited)
	before := len(limited.seen())
	_, _, err := only.call(t, "GET", "/any/x", "")
	assert.NilError(t, err)
	response, body, err := only.call(t, "GET", "/any/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, body, reasonLimited+"\n")
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, len(limited.seen()), before+1)
}

// TestLimitIsReadFromEachAnswer checks that a limit is read from failures and rejections too, and that it
// ends with an answer without one to a request that was sent after it was named.
func TestLimitIsReadFromEachAnswer(t *testing.T) {
	for _, status := range []int{200, 404, 421, 500, 503} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			s := newSystem(t, startServer(t, rawAnswer(status, "", limitHeader("5"))))
			_, _, err := s.call(t, "GET", "/any/x", "")
			assert.NilError(t, err)
			server, ok := s.fleet.Server("archiv-0")
			assert.Assert(t, ok)
			assert.Equal(t, server.Limit(), 5.0)
			named := s.ingress.clock()
			ended := 0
			s.ingress.config.OnFact = func(_ fleet.Entry, fact Fact) {
				assert.Equal(t, fact, LimitEnded)
				ended++
			}
			r := &Request{ID: "r"}
			s.ingress.readLimit(r, server, nil, named-time.Minute)
			assert.Equal(t, server.Limit(), 5.0, "the answer may be older than the limit")
			s.ingress.readLimit(r, server, map[string][]string{"X-Limit": {"?"}}, named+time.Minute)
			assert.Equal(t, server.Limit(), 5.0, "the answer names a malformed limit")
			s.ingress.readLimit(r, server, nil, named+time.Minute)
			s.ingress.readLimit(r, server, nil, named+time.Minute)
			assert.Equal(t, server.Limit(), 0.0)
			assert.Equal(t, ended, 1)
		})
	}
}
