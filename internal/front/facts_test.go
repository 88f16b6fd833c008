package front

import (
	"testing"

	"gotest.tools/v3/assert"

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
