package front

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// cutOffSystem returns a host without any server that it reaches, and two others: one that is cut off as well, which the
// first does not know, and one that reaches the server.
func cutOffSystem(t *testing.T) (s, alsoCutOff, serving *system, server *backendServer) {
	t.Helper()
	server = startServer(t, answerOK)
	s, alsoCutOff, serving = newSystem(t, server), newSystem(t, server), newSystem(t, server)
	s.reach.set("h1", true)
	alsoCutOff.reach.set("h1", true)
	s.assignAllKeys("revize-0", server.addr, 2,
		assign.Host{Name: "h1", Zone: "zlin", Addr: "127.0.0.1:1"},
		assign.Host{Name: "h2", Zone: "zlin", Addr: servePeers(t, alsoCutOff.ingress)},
		assign.Host{Name: "h3", Zone: "brno", Addr: servePeers(t, serving.ingress)})
	return s, alsoCutOff, serving, server
}

// TestCutOffHostServesThroughAnother is a regression test (RECOVER on Riga): a host that reached no server refused all
// requests without a key, though other hosts reached servers.
func TestCutOffHostServesThroughAnother(t *testing.T) {
	for _, path := range []string{"/any/x", "/post/x"} {
		t.Run(path, func(t *testing.T) {
			s, _, _, server := cutOffSystem(t)
			for range 3 {
				response, body, err := s.call(t, "POST", path, "signed")
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, "done")
			}
			assert.Equal(t, len(server.seen()), 3, "no request runs twice")
			assert.Equal(t, server.seen()[0].Header.Get(HeaderForward), "")
		})
	}
}

// TestCutOffHostRefusesAtOnceWithoutAnother checks that a request is refused, and not run, if all hosts are cut off.
func TestCutOffHostRefusesAtOnceWithoutAnother(t *testing.T) {
	for _, path := range []string{"/any/x", "/post/x"} {
		s, _, serving, server := cutOffSystem(t)
		serving.reach.set("h1", true)
		response, body, err := s.call(t, "POST", path, "signed")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, body, reasonCutOff+"\n")
		assert.Assert(t, response.Header.Get("Retry-After") != "")
		assert.Equal(t, len(server.seen()), 0)
	}
}
