package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// TestServerThatSaysItLeavesGetsNoMoreRequests checks that a server that tells in any answer that it is
// shutting down gets no more requests in that incarnation, and that other hosts are told.
func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for name, c := range map[string]struct {
		status  int
		value   string
		leaving bool
	}{
		"with a success":   {200, "1", true},
		"with a rejection": {503, "1", true},
		"with a 421":       {421, "1", true},
		"another value":    {200, "0", false},
	} {
		t.Run(name, func(t *testing.T) {
			leaving, other := startServer(t, rawAnswer(c.status, "", "X-Leaving: "+c.value+"\r\n")), startServer(t, answerOK)
			s := newSystem(t, leaving, other)
			told := 0
			s.ingress.config.OnFact = func(_ fleet.Entry, fact Fact) {
				assert.Equal(t, fact, Leaving)
				told++
			}
			for range 30 {
				_, _, err := s.call(t, "GET", "/any/x", "")
				assert.NilError(t, err)
			}
			server, _ := s.fleet.Server("archiv-0")
			assert.Equal(t, s.fleet.Usable(server), !c.leaving)
			if c.leaving {
				assert.Equal(t, len(leaving.seen()), 1)
				assert.Equal(t, told, 1)
			}
			restarted := server.Entry()
			restarted.Born++
			s.fleet.Set([]fleet.Entry{restarted}, 0)
			server, _ = s.fleet.Server("archiv-0")
			assert.Assert(t, s.fleet.Usable(server))
		})
	}
}

// TestPausedServerGetsNothing is a regression test (BUDGET): a server that answered 503 with a time to
// come back got further requests within that time.
func TestPausedServerGetsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		header  string
		refuses bool
	}{
		"seconds":            {"Retry-After: 30\r\n", true},
		"with a fraction":    {"Retry-After: 30.5\r\n", true},
		"the longest counts": {"Retry-After: 0\r\nRetry-After: 30\r\n", true},
		"very long":          {"Retry-After: 1e300\r\n", true},
		"infinite":           {"Retry-After: Inf\r\n", true},
		"none":               {"", false},
		"negative":           {"Retry-After: -3\r\n", false},
		"malformed":          {"Retry-After: soon\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, rawAnswer(503, "", "X-Not-Run: 1\r\n", c.header))
			for _, path := range []string{"/keyed/x", "/any/x"} {
				s := newSystem(t, server)
				before := len(server.seen())
				_, _, err := s.call(t, "GET", path, "")
				assert.NilError(t, err)
				first := len(server.seen())
				assert.Assert(t, first > before)
				began := time.Now()
				response, _, err := s.call(t, "GET", path, "")
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, 503)
				assert.Assert(t, response.Header.Get("Retry-After") != "")
				if c.refuses {
					assert.Equal(t, len(server.seen()), first)
					assert.Equal(t, first, before+1)
					assert.Assert(t, time.Since(began) < time.Second, "refused at once")
				} else {
					assert.Assert(t, len(server.seen()) > first)
				}
			}
		})
	}
}

// TestPauseHoldsForRequestsThatWait checks that requests that wait for a slot of a server, and those whose key moves to
// it, are refused at once when it asks for a pause.
func TestPauseHoldsForRequestsThatWait(t *testing.T) {
	server := startServer(t, rawAnswer(503, "", "X-Not-Run: 1\r\n", "Retry-After: 30\r\n"))
	server.delay = 50 * time.Millisecond
	s := newSystem(t, server)
	for _, status := range callAll(t, []*system{s}, 40, "GET", "/keyed/x", "")() {
		assert.Equal(t, status, 503)
	}
	entry := s.fleet.Servers("revize")[0].Entry()
	assert.Assert(t, len(server.seen()) <= entry.Slots+extraSlots, "%d requests", len(server.seen()))
	sent := len(server.seen())
	moving := s.current.Plan().Clone()
	moving.Version = 2
	moving.Services["revize"][0].Phase = assign.Free
	s.current.Adopt(moving)
	answers := callAll(t, []*system{s}, 10, "POST", "/unsafe/x", "signed")
	time.Sleep(50 * time.Millisecond)
	s.assignAllKeys("revize-0", server.addr, 3)
	for _, status := range answers() {
		assert.Equal(t, status, 503)
	}
	assert.Equal(t, len(server.seen()), sent)
}
