package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/conntest"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

const (
	// maxTrials is the number of times that a request that has crashed a server may be sent again, by all hosts.
	maxTrials = 3
	// crashDelay is the time from the first request at a crashing server to its end.
	crashDelay = 100 * time.Millisecond
)

// crashingServers are servers that end crashDelay after the first request arrives.
type crashingServers struct {
	mu sync.Mutex
	// requests counts the requests that have arrived at any of them; running and mostRunning are the number that
	// run now, and the highest such number.
	requests, running, mostRunning int
}

// start starts one of the servers and returns its address.
func (s *crashingServers) start(t *testing.T) string {
	t.Helper()
	crashed, crash := context.WithCancel(context.Background())
	listener := conntest.Listen(t)
	go conntest.Accept(listener, func(conn *net.TCPConn) {
		context.AfterFunc(crashed, func() { conn.Close() })
		s.serve(conn, func() {
			listener.Close()
			crash()
		})
	})
	return listener.Addr().String()
}

// serve reads requests until the connection ends. The first one crashes the server.
func (s *crashingServers) serve(conn net.Conn, crash func()) {
	serveRequests(conn, func(*http.Request) string {
		s.count(1)
		time.Sleep(crashDelay)
		crash()
		s.count(-1)
		return ""
	})
}

// count counts a request that begins (1) or ends (-1).
func (s *crashingServers) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests += max(change, 0)
	s.running += change
	s.mostRunning = max(s.mostRunning, s.running)
}

// checkTrials checks that few requests have arrived, one at a time.
func (s *crashingServers) checkTrials(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%d requests, at most %d at a time", s.requests, s.mostRunning)
	assert.Assert(t, s.requests >= 1)
	assert.Assert(t, s.requests <= maxTrials, "%d requests", s.requests)
	assert.Equal(t, s.mostRunning, 1)
}

// startCluster starts hosts in two zones that know the same servers, plan and evidence.
func startCluster(t *testing.T, hosts int, servers ...string) []*system {
	t.Helper()
	var cluster []*system
	var listed []assign.Host
	for i := range hosts {
		name := fmt.Sprintf("h%d", i+1)
		s := newHost(t, name, servers...)
		cluster = append(cluster, s)
		listed = append(listed, assign.Host{Name: name, Zone: []string{"zlin", "brno"}[i%2], Addr: servePeers(t, s.ingress)})
	}
	for _, s := range cluster {
		s.assignAllKeys("revize-0", servers[0], 2, listed...)
		go shareEvidence(t.Context(), s, cluster)
	}
	return cluster
}

// shareEvidence sends the evidence that a host records to the others until the context ends.
func shareEvidence(ctx context.Context, from *system, cluster []*system) {
	sent := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-from.ingress.config.Guard.Changed():
		}
		var records []poison.Record
		records, sent = from.ingress.config.Guard.Export(sent)
		for _, s := range cluster {
			if s != from {
				s.ingress.config.Guard.Import(records, poison.OtherHost)
			}
		}
	}
}

// suspect makes the request that call sends a suspect on all hosts: it has crashed one server.
func suspect(t *testing.T, cluster []*system, method, path, body string) {
	t.Helper()
	f := fingerprint(&Request{Method: method, Host: "a.example", Path: path, Body: []byte(body)}, "4711")
	for _, s := range cluster {
		s.ingress.config.Guard.Import([]poison.Record{{Fingerprint: f, Death: poison.Server{Incarnation: "first"}}}, poison.OtherHost)
		assert.Equal(t, s.ingress.config.Guard.Check(f), poison.Suspect)
	}
}

// callAll sends the same request to all hosts at once, several times to each. It returns a function that waits for all
// answers and returns their statuses.
func callAll(t *testing.T, cluster []*system, copies int, method, path, body string) func() []int {
	var mu sync.Mutex
	var statuses []int
	var calls sync.WaitGroup
	for _, s := range cluster {
		for range copies {
			calls.Go(func() {
				response, _, err := s.call(t, method, path, body)
				if err != nil {
					t.Errorf("call: %v", err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				statuses = append(statuses, response.StatusCode)
			})
		}
	}
	return func() []int {
		calls.Wait()
		return statuses
	}
}

// TestHostsTrySuspectTogetherWhenItsKeyGetsAnOwner is a regression test (BUDGET on Moravia): copies of a request that had
// crashed a server waited on all hosts for an owner of their key, and each host sent one when it came.
func TestHostsTrySuspectTogetherWhenItsKeyGetsAnOwner(t *testing.T) {
	for _, path := range []string{"/keyed/x", "/unsafe/x"} {
		t.Run(path[1:], func(t *testing.T) {
			servers := &crashingServers{}
			cluster := startCluster(t, 6, servers.start(t), startServer(t, answerOK).addr)
			suspect(t, cluster, "POST", path, "deadly")
			held := cluster[0].current.Plan()
			moving := held.Clone()
			moving.Version = 3
			moving.Services["revize"][0].Phase = assign.Free
			for _, s := range cluster {
				s.current.Adopt(moving)
			}
			answers := callAll(t, cluster, 3, "POST", path, "deadly")
			time.Sleep(200 * time.Millisecond)
			held.Version = 4
			for _, s := range cluster {
				s.current.Adopt(held)
			}
			for _, status := range answers() {
				assert.Assert(t, status == http.StatusServiceUnavailable || status == http.StatusBadGateway, "status %d", status)
			}
			servers.checkTrials(t)
		})
	}
}

// TestHostsTrySuspectWithoutAKeyTogether is a regression test (BUDGET): each host sent its copy of a request that had crashed
// a server.
func TestHostsTrySuspectWithoutAKeyTogether(t *testing.T) {
	for _, path := range []string{"/any/x", "/post/x"} {
		t.Run(path[1:], func(t *testing.T) {
			servers := &crashingServers{}
			cluster := startCluster(t, 6, servers.start(t), servers.start(t), servers.start(t), servers.start(t), servers.start(t))
			suspect(t, cluster, "POST", path, "deadly")
			for _, status := range callAll(t, cluster, 3, "POST", path, "deadly")() {
				assert.Assert(t, status == http.StatusServiceUnavailable || status == http.StatusBadGateway, "status %d", status)
			}
			servers.checkTrials(t)
		})
	}
}

// TestInnocentSuspectIsServedOnAllHosts checks that a request that was in flight when a server ended for another reason is
// served at each host.
func TestInnocentSuspectIsServedOnAllHosts(t *testing.T) {
	for _, path := range []string{"/any/x", "/post/x", "/keyed/x", "/unsafe/x"} {
		t.Run(path[1:], func(t *testing.T) {
			cluster := startCluster(t, 6, startServer(t, answerOK).addr)
			suspect(t, cluster, "POST", path, "signed")
			for _, status := range callAll(t, cluster, 3, "POST", path, "signed")() {
				assert.Equal(t, status, http.StatusOK)
			}
		})
	}
}

// TestRequestsThatWaitForAnOwnerGoThroughItsPrimary is a regression test (BUDGET on Moravia): requests that waited for an owner
// of their key, on the host that took them from the caller or on the former primary, were sent past the new primary.
func TestRequestsThatWaitForAnOwnerGoThroughItsPrimary(t *testing.T) {
	former, next := startServer(t, answerOK), startServer(t, answerOK)
	cluster := startCluster(t, 8, former.addr, next.addr)
	held := cluster[0].current.Plan()
	primary := func(id string) string {
		host, ok := cluster[0].ingress.primaries.get(held, assign.Server{ID: id, Zone: "zlin", Born: 1})
		assert.Assert(t, ok)
		return host.Name
	}
	assert.Assert(t, primary("revize-0") != primary("revize-1"))
	former.delay = 100 * time.Millisecond
	former.answers = []string{rawAnswer(421, "")}
	answers := callAll(t, cluster, 2, "POST", "/unsafe/x", "signed")
	time.Sleep(50 * time.Millisecond)
	moving := held.Clone()
	moving.Version = 3
	moving.Services["revize"][0].Phase = assign.Releasing
	for _, s := range cluster {
		s.current.Adopt(moving)
	}
	later := callAll(t, cluster, 2, "POST", "/unsafe/x", "signed too")
	time.Sleep(300 * time.Millisecond)
	for _, s := range cluster {
		s.assignAllKeys("revize-1", next.addr, 4, held.Hosts...)
	}
	for _, status := range append(answers(), later()...) {
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, len(next.seen()), 4*len(cluster))
	for _, s := range cluster {
		if name := s.ingress.config.Self; name != primary("revize-0") && name != primary("revize-1") {
			assert.Equal(t, len(s.ingress.KeyRates()["revize"]), 0, "%s has sent requests itself", name)
		}
	}
}

// TestSuspectWhoseHostsAreOutOfReach checks that a suspect goes through a stand-in, and is refused as not run if that cannot
// be reached either, while other requests are served.
func TestSuspectWhoseHostsAreOutOfReach(t *testing.T) {
	for _, c := range []struct {
		path        string
		unreachable int
		want        int
	}{
		{"/post/x", standIns, http.StatusOK},
		{"/post/x", standIns + 1, http.StatusServiceUnavailable},
		{"/unsafe/x", standIns, http.StatusOK},
		{"/unsafe/x", standIns + 1, http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprintf("%s_%d", c.path[1:], c.unreachable), func(t *testing.T) {
			server := startServer(t, answerOK)
			cluster := startCluster(t, 8, server.addr)
			suspect(t, cluster, "POST", c.path, "signed")
			plan := cluster[0].current.Plan().Clone()
			plan.Version++
			f := fingerprint(&Request{Method: "POST", Host: "a.example", Path: c.path, Body: []byte("signed")}, "4711")
			ranked := cluster[0].ingress.primaries.trialHosts(plan, f)
			if c.path == "/unsafe/x" {
				ranked = plan.RankedHosts(plan.Services["revize"][0].Server, func(assign.Host) bool { return true })
			}
			var caller *system
			for i, host := range plan.Hosts {
				rank := slices.Index(ranked, host)
				switch {
				case rank >= 0 && rank < c.unreachable:
					plan.Hosts[i].Addr = "127.0.0.1:1"
				case rank < 0 || rank > standIns:
					caller = cluster[i]
				}
			}
			caller.current.Adopt(plan)
			response, body, err := caller.call(t, "POST", c.path, "signed")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.want, body)
			if c.want != http.StatusOK {
				assert.Assert(t, response.Header.Get("Retry-After") != "")
				assert.Equal(t, len(server.seen()), 0)
			}
			response, _, err = caller.call(t, "POST", c.path, "another")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}

// TestSuspectsThatWaitKeepNoSlots checks that copies of a suspect that wait for the one that is being tried do not keep
// other requests from the server.
func TestSuspectsThatWaitKeepNoSlots(t *testing.T) {
	finish := make(chan struct{})
	addr := serveConns(t, func(conn net.Conn) {
		serveRequests(conn, func(request *http.Request) string {
			if request.URL.Path == "/keyed/slow" {
				<-finish
			}
			return answerOK
		})
	})
	cluster := startCluster(t, 4, addr)
	suspect(t, cluster, "GET", "/keyed/slow", "")
	answers := callAll(t, cluster, 5, "GET", "/keyed/slow", "")
	time.Sleep(200 * time.Millisecond)
	for _, status := range callAll(t, cluster, 5, "GET", "/keyed/other", "")() {
		assert.Equal(t, status, http.StatusOK)
	}
	close(finish)
	for _, status := range answers() {
		assert.Equal(t, status, http.StatusOK)
	}
}
