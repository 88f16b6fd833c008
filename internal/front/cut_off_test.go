package front

import (
	"net/http"
	"testing"
	"time"

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
// requests that were for it to send, though other hosts reached servers.
func TestCutOffHostServesThroughAnother(t *testing.T) {
	for _, path := range []string{"/any/x", "/post/x", "/keyed/x", "/unsafe/x"} {
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
	for _, path := range []string{"/any/x", "/post/x", "/keyed/x", "/unsafe/x"} {
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

// TestPrimaryThatIsCutOffIsAvoided is a regression test (RECOVER on Riga): a primary that reached no server refused the
// requests of all hosts for its server's keys. Now another host of the zone, or of any zone if there is none, is the primary.
func TestPrimaryThatIsCutOffIsAvoided(t *testing.T) {
	server := startServer(t, answerOK)
	s, primary := newSystem(t, server), newSystem(t, server)
	primary.reach.set("h1", true)
	other := assign.Host{Name: "h3", Zone: "brno", Addr: servePeers(t, newSystem(t, server).ingress)}
	s.assignAllKeys("revize-0", server.addr, 2, assign.Host{Name: "h2", Zone: "zlin", Addr: servePeers(t, primary.ingress)}, other)
	response, _, err := s.call(t, "POST", "/unsafe/x", "signed")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, "the primary says that it is cut off")
	s.reach.set("h2", true)
	owner := assign.Server{ID: "revize-0", Addr: server.addr, Zone: "zlin", Born: 1}
	got, ok := s.ingress.primaries.get(s.current.Plan(), owner)
	assert.Assert(t, ok)
	assert.Equal(t, got.Name, other.Name, "all hosts of the zone are known to be cut off")
	s.reach.set("h3", true)
	_, ok = s.ingress.primaries.get(s.current.Plan(), owner)
	assert.Assert(t, !ok, "all hosts are cut off")
}

// TestCutOffHostWaitsForAnOwner checks that a host that is cut off does not refuse a request for a key that is being moved, and
// sends it through another host when the key has an owner.
func TestCutOffHostWaitsForAnOwner(t *testing.T) {
	s, _, _, server := cutOffSystem(t)
	held := s.current.Plan().Clone()
	moving := held.Clone()
	moving.Version = 3
	moving.Services["revize"][0].Phase = assign.Free
	s.current.Adopt(moving)
	time.AfterFunc(100*time.Millisecond, func() {
		held.Version = 4
		s.current.Adopt(held)
	})
	response, body, err := s.call(t, "POST", "/unsafe/x", "signed")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, body)
	assert.Equal(t, len(server.seen()), 1)
}
