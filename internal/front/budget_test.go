package front

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// tokens returns the retry tokens of a service.
func (s *system) tokens(service string) float64 {
	s.ingress.budgets.mu.Lock()
	defer s.ingress.budgets.mu.Unlock()
	return s.ingress.budgets.get(service, clock.Monotonic()).tokens
}

// TestRetryThatIsNotSentTakesNoToken guards against a budget that is used up by retries that no server
// gets: each server that refused one took a token, and later requests were not retried.
func TestRetryThatIsNotSentTakesNoToken(t *testing.T) {
	failure := rawAnswer(500, "")
	for name, c := range map[string]struct{ path, service string }{
		"any server": {"/any/1", "archiv"},
		"the owner":  {"/keyed/1", "revize"},
	} {
		t.Run(name, func(t *testing.T) {
			servers := []*backendServer{startServer(t, failure), startServer(t, answerOK), startServer(t, answerOK)}
			s := newSystem(t, servers...)
			s.ingress.config.ColdRateLimit = func(routetable.Service) float64 { return 0.5 }
			for _, id := range []fleet.ID{"archiv-1", "archiv-2"} {
				server, _ := s.fleet.Server(id)
				server.MarkCold(time.Hour, clock.Monotonic())
			}
			owner, _ := s.fleet.Server("revize-0")
			servers[0].answering = func() { owner.MarkCold(time.Hour, clock.Monotonic()) }
			before := s.tokens(c.service)
			response, _, err := s.call(t, "GET", c.path, "")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
			assert.Equal(t, len(servers[0].seen())+len(servers[1].seen())+len(servers[2].seen()), 1)
			assert.Assert(t, s.tokens(c.service) >= before, "%v of %v", s.tokens(c.service), before)
		})
	}
}
