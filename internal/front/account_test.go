package front

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// fingerprintOfProduction is the fingerprint of the request in TestWithoutAccountsNothingChanges in the build b5ff72c.
const fingerprintOfProduction = "ab26fac60c873ec546bf005a8398797c"

// useAccounts puts the fixture's configuration in force with the given accounts by key. The route /any/ becomes public.
// An account's name may end in ":N", its priority.
func (s *system) useAccounts(accountOfKey map[string]string) {
	config := s.table.Load().Config
	config.Version++
	config.Accounts = make(map[string]routetable.Account)
	config.AccountOfKey = make(map[string]string)
	for key, text := range accountOfKey {
		name, priority, hasPriority := strings.Cut(text, ":")
		account := routetable.Account{Name: name, HasPriority: hasPriority}
		fmt.Sscan(priority, &account.Priority)
		config.Accounts[name] = account
		config.AccountOfKey[key] = name
	}
	routes := append([]routetable.Route(nil), config.Routes...)
	for i := range routes {
		routes[i].Public = routes[i].Name == "any"
		routes[i].Priority = 3
	}
	config.Routes = routes
	s.table.Store(routetable.New(config))
}

// callWith is call with further header fields, as alternating names and values.
func (s *system) callWith(t *testing.T, method, path string, header ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, s.callers.URL+path, strings.NewReader("x"))
	assert.NilError(t, err)
	return s.do(t, request, header...)
}

// do sends a request with the fixture's header and further fields.
func (s *system) do(t *testing.T, request *http.Request, header ...string) *http.Response {
	t.Helper()
	request.Host = "a.example"
	request.Header.Set("X-Id", "id-"+strings.ReplaceAll(t.Name(), "/", "-"))
	request.Header.Set("X-Left", s.timeoutMS)
	request.Header.Set("X-Key", "4711")
	for i := 0; i < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response
}

// lastSeen returns the headers for the authorization and for the account in the request that the server got last.
func (s *backendServer) lastSeen() (authorization, account []string) {
	seen := s.seen()
	header := seen[len(seen)-1].Header
	return header.Values(testHeaders.Authorization), header.Values(testHeaders.Account)
}

const bearer = "Bearer "

// TestRequestsNeedAKnownKey guards against requests that reach a server without a known key, and against a server that gets
// a key or an account that the caller has made up.
func TestRequestsNeedAKnownKey(t *testing.T) {
	server := startServer(t, answerOK)
	s := newSystem(t, server)
	s.useAccounts(map[string]string{"k1": "morava", "k2": "zlin"})
	for _, test := range []struct {
		name, path string
		header     []string
		status     int
		account    []string
	}{
		{"known key", "/unsafe/x", []string{"Authorization", bearer + "k1"}, 200, []string{"morava"}},
		{"scheme in other case", "/keyed/x", []string{"Authorization", "bearer  k2 "}, 200, []string{"zlin"}},
		{"made-up account", "/post/x", []string{"Authorization", bearer + "k1", "X-Account", "zlin", "x-account", "brno"}, 200, []string{"morava"}},
		{"account removed as hop-by-hop", "/post/x", []string{"Authorization", bearer + "k1", "Connection", "X-Account, Authorization"}, 200, []string{"morava"}},
		{"no key", "/unsafe/x", []string{"X-Account", "morava"}, 401, nil},
		{"unknown key", "/unsafe/x", []string{"Authorization", bearer + "k3"}, 401, nil},
		{"empty key", "/unsafe/x", []string{"Authorization", bearer}, 401, nil},
		{"other scheme", "/unsafe/x", []string{"Authorization", "Basic k1"}, 401, nil},
		{"two keys", "/unsafe/x", []string{"Authorization", bearer + "k1", "Authorization", bearer + "k2"}, 401, nil},
		{"unknown route", "/none/x", nil, 404, nil},
		{"public, no key", "/any/x", []string{"X-Account", "morava"}, 200, nil},
		{"public, known key", "/any/x", []string{"Authorization", bearer + "k2", "X-Account", "morava"}, 200, []string{"zlin"}},
		{"public, unknown key", "/any/x", []string{"Authorization", bearer + "k3", "X-Account", "morava"}, 200, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := len(server.seen())
			response := s.callWith(t, "POST", test.path, test.header...)
			assert.Equal(t, response.StatusCode, test.status)
			if test.status != 200 {
				assert.Equal(t, len(server.seen()), before)
				assert.Equal(t, response.Header.Get("WWW-Authenticate") != "", test.status == 401)
				return
			}
			authorization, account := server.lastSeen()
			assert.Equal(t, len(authorization), 0)
			assert.DeepEqual(t, account, test.account)
		})
	}
	counts := s.ingress.Counters.Snapshot().(map[string]any)["requests"].(map[string]int64)
	assert.Equal(t, counts["unauthorized: "+reasonNoKey], int64(4), "%v", counts)
	assert.Equal(t, counts["unauthorized: "+reasonUnknownKey], int64(1))
}

// TestUnauthorizedRequestIsRefusedBeforeItsBody guards against a caller without a key that makes the host read bodies: the
// caller sends only the header.
func TestUnauthorizedRequestIsRefusedBeforeItsBody(t *testing.T) {
	s := newSystem(t, startServer(t, answerOK))
	s.useAccounts(map[string]string{"k1": "morava"})
	reader, writer := io.Pipe()
	defer writer.Close()
	request, err := http.NewRequest("POST", s.callers.URL+"/unsafe/x", reader)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.ContentLength = 2 * maxDiscardedBody
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
}

// TestWithoutAccountsNothingChanges guards against a changed header or fingerprint where the configuration has no accounts,
// also over a forwarding host.
func TestWithoutAccountsNothingChanges(t *testing.T) {
	server := startServer(t, answerOK)
	primary := newHost(t, "h2", server.addr)
	s := newSystem(t, server)
	sent := []string{"Authorization", bearer + "k1", "Authorization", "Basic x", "X-Account", "morava"}
	for _, hosts := range [][]assign.Host{nil, {{Name: "h2", Zone: "zlin", Addr: servePeers(t, primary.ingress)}}} {
		s.assignAllKeys("revize-0", server.addr, 2+assign.Fence(len(hosts)), hosts...)
		assert.Equal(t, s.callWith(t, "POST", "/unsafe/x", sent...).StatusCode, http.StatusOK)
		authorization, account := server.lastSeen()
		assert.DeepEqual(t, authorization, []string{bearer + "k1", "Basic x"})
		assert.DeepEqual(t, account, []string{"morava"})
	}
	r := &Request{Method: "GET", Host: "a.example", Path: "/x/1", Header: http.Header{"Authorization": {"Bearer ann"}, "Cookie": {"c"}}}
	assert.Equal(t, fingerprint(r, "7").String(), fingerprintOfProduction)
	assert.Assert(t, !strings.Contains(strings.Split(encodeForward(forwardedRequest(), 0), forwardSeparator)[forwardFlags], flagAccountChecked))
}

// TestHostWithoutConfigurationRefusesWith503 guards against a caller that takes its key for withdrawn because the host has
// just started.
func TestHostWithoutConfigurationRefusesWith503(t *testing.T) {
	s := newSystem(t, startServer(t, answerOK))
	s.table.Store(nil)
	assert.Equal(t, s.callWith(t, "GET", "/unsafe/x").StatusCode, http.StatusServiceUnavailable)
}

// twoHosts returns a host that forwards to the other one, the primary of the server.
func twoHosts(t *testing.T, server *backendServer) (first, primary *system) {
	t.Helper()
	first, primary = newSystem(t, server), newHost(t, "h2", server.addr)
	first.assignAllKeys("revize-0", server.addr, 2, assign.Host{Name: "h2", Zone: "zlin", Addr: servePeers(t, primary.ingress)})
	return first, primary
}

// TestAccountTravelsToThePrimary guards against a primary that does not learn the account, in its queue and for the server,
// and against a key that travels between hosts. The primary may have an older configuration.
func TestAccountTravelsToThePrimary(t *testing.T) {
	for name, keysOfPrimary := range map[string]map[string]string{"same": {"k1": "morava:1"}, "older": {"k0": "morava"}, "none": nil} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, answerOK)
			first, primary := twoHosts(t, server)
			first.useAccounts(map[string]string{"k1": "morava:1"})
			if keysOfPrimary != nil {
				primary.useAccounts(keysOfPrimary)
			}
			forwarded := make(chan *http.Request, 1)
			addr := servePeersWith(t, func(w http.ResponseWriter, hr *http.Request) {
				forwarded <- hr.Clone(t.Context())
				primary.ingress.ServeForwarded(w, hr)
			})
			first.assignAllKeys("revize-0", server.addr, 3, assign.Host{Name: "h2", Zone: "zlin", Addr: addr})
			response := first.callWith(t, "POST", "/unsafe/x", "Authorization", bearer+"k1", "X-Account", "zlin")
			assert.Equal(t, response.StatusCode, http.StatusOK)
			authorization, account := server.lastSeen()
			assert.Equal(t, len(authorization), 0)
			assert.DeepEqual(t, account, []string{"morava"})
			hop := <-forwarded
			hop.Body = http.NoBody
			assert.Equal(t, hop.Header.Get("Authorization"), "")
			r, refusal, err := primary.ingress.readForwarded(hop, 0, nil)
			assert.NilError(t, err)
			assert.Equal(t, refusal, "")
			assert.Equal(t, r.Account, "morava")
			assert.Equal(t, r.Priority, 1)
		})
	}
}

// TestHostAuthenticatesForAnOlderBuild guards against requests of a host that does not know accounts and passes everything
// on, among them what the caller says about its account.
func TestHostAuthenticatesForAnOlderBuild(t *testing.T) {
	server := startServer(t, answerOK)
	first, primary := twoHosts(t, server)
	primary.useAccounts(map[string]string{"k1": "morava"})
	response := first.callWith(t, "POST", "/unsafe/x", "Authorization", bearer+"k1", "X-Account", "zlin")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	authorization, account := server.lastSeen()
	assert.Equal(t, len(authorization), 0)
	assert.DeepEqual(t, account, []string{"morava"})
	for _, header := range [][]string{{"X-Account", "morava"}, {"Authorization", bearer + "k2", "X-Account", "morava"}} {
		response = first.callWith(t, "POST", "/unsafe/x", header...)
		assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	}
	assert.Equal(t, len(server.seen()), 1)
}

// TestWithdrawnKeyIsRefusedAtOnce guards against a key that stays valid on a connection that was open before the
// configuration withdrew it, at a primary that has not been told, or after a restart of the host.
func TestWithdrawnKeyIsRefusedAtOnce(t *testing.T) {
	server := startServer(t, answerOK)
	first, primary := twoHosts(t, server)
	for _, host := range []*system{first, primary} {
		host.useAccounts(map[string]string{"k1": "morava", "k2": "zlin"})
	}
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(conn httptrace.GotConnInfo) { reused = conn.Reused }}
	call := func(s *system, key string) int {
		request, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), "POST", s.callers.URL+"/unsafe/x", nil)
		assert.NilError(t, err)
		return s.do(t, request, "Authorization", bearer+key).StatusCode
	}
	assert.Equal(t, call(first, "k1"), http.StatusOK)
	first.useAccounts(map[string]string{"k3": "morava", "k2": "zlin"})
	assert.Equal(t, call(first, "k1"), http.StatusUnauthorized)
	assert.Assert(t, reused, "not the connection that was open before")
	assert.Equal(t, call(first, "k2"), http.StatusOK)
	assert.Equal(t, call(first, "k3"), http.StatusOK)
	assert.Equal(t, len(server.seen()), 3)
	restarted := newHost(t, "h1", server.addr)
	restarted.table.Store(first.table.Load())
	assert.Equal(t, call(restarted, "k1"), http.StatusUnauthorized)
	assert.Equal(t, call(restarted, "k3"), http.StatusOK)
}

// TestReplacedKeyIsTheSameRequest guards against a request that crashes servers and counts as another one after its
// account has got a new key.
func TestReplacedKeyIsTheSameRequest(t *testing.T) {
	s := newSystem(t, startServer(t, answerOK))
	of := func(key string, keys map[string]string) string {
		s.useAccounts(keys)
		hr, err := http.NewRequest("GET", "http://a.example/unsafe/x", nil)
		assert.NilError(t, err)
		hr.Header.Set("X-Id", "1")
		hr.Header.Set("X-Key", "4711")
		hr.Header.Set("Authorization", bearer+key)
		table := s.table.Load()
		route, _ := table.Lookup(hr.Host, hr.URL.Path)
		who, refusal := s.ingress.authenticate(hr.Header, table, route.Public)
		assert.Equal(t, refusal, "")
		r, _, err := s.ingress.read(hr, table, route, who, 0, nil)
		assert.NilError(t, err)
		return r.Fingerprint.String()
	}
	first := of("k1", map[string]string{"k1": "morava", "k2": "zlin"})
	assert.Equal(t, of("k3", map[string]string{"k3": "morava"}), first)
	assert.Assert(t, of("k2", map[string]string{"k2": "zlin"}) != first)
}

// TestLinesAboutRefusalsAreBounded guards against a log that a caller with a withdrawn key fills.
func TestLinesAboutRefusalsAreBounded(t *testing.T) {
	var lines boundedLines
	written, unlogged := 0, int64(0)
	for i := range 1000 {
		if before, due := lines.take(time.Duration(i) * 10 * time.Millisecond); due {
			written++
			unlogged += before
		}
	}
	assert.Equal(t, written, 10)
	assert.Equal(t, unlogged, int64(9*99))
}
