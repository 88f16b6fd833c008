package route

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// keylessHost returns a host with a keyless service, and the servers of that service:
// one for each script, all in zone zlin. change may change the settings.
func keylessHost(t *testing.T, change func(*settings.Values), scripts ...http.HandlerFunc) (*testHost, []*fakeServer) {
	t.Helper()
	values := testValues()
	values.Keyed = false
	if change != nil {
		change(&values)
	}
	zone := settings.Zone{Name: "zlin", Values: values}
	var servers []*fakeServer
	for _, script := range scripts {
		server := newFakeServer(t, script)
		servers = append(servers, server)
		zone.Servers = append(zone.Servers, server.addr())
	}
	directory := keyedDirectory()
	directory.service = settings.Service{Name: "archiv", Values: values, Zones: []settings.Zone{zone}}
	return newTestHost(t, "h1", directory), servers
}

// received returns the number of requests that the servers have received.
func received(servers []*fakeServer) int64 {
	var total int64
	for _, server := range servers {
		total += server.received.Load()
	}
	return total
}

func TestKeylessOutcomes(t *testing.T) {
	short := writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes")
	for name, test := range map[string]struct {
		method  string
		scripts []http.HandlerFunc
		outcome outcome.Outcome
		sent    int64
	}{
		"complete answer":          {http.MethodPost, []http.HandlerFunc{answerWith("yes"), answerWith("yes")}, outcome.Done, 1},
		"POST is not sent again":   {http.MethodPost, []http.HandlerFunc{writeRaw(""), writeRaw("")}, outcome.Unknown, 1},
		"truncated answer":         {http.MethodPost, []http.HandlerFunc{short, short}, outcome.Unknown, 1},
		"GET without retry budget": {http.MethodGet, []http.HandlerFunc{writeRaw(""), writeRaw("")}, outcome.Unknown, 1},
		"all servers shed load":    {http.MethodPost, []http.HandlerFunc{shed(503), shed(503)}, outcome.NotRun, 1},
		"no server":                {http.MethodPost, nil, outcome.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			host, servers := keylessHost(t, nil, test.scripts...)
			got := host.call(t, test.method, "/v1/archiv/k", "b")
			assert.Equal(t, got.outcome, test.outcome, got.body)
			assert.Equal(t, received(servers), test.sent)
		})
	}
}

// TestRetryAtTheOnlyServer is a regression test: a GET to a service whose only server broke the connection
// ended without an outcome, because a retry at the same server was taken for the end.
func TestRetryAtTheOnlyServer(t *testing.T) {
	for name, c := range map[string]struct {
		script  func() http.HandlerFunc
		outcome outcome.Outcome
		sent    int64
	}{
		"answers the second time": {func() http.HandlerFunc { return inTurn(writeRaw(""), answerWith("yes")) }, outcome.Done, 2},
		"breaks each time":        {func() http.HandlerFunc { return writeRaw("") }, outcome.Unknown, 2},
	} {
		t.Run(name, func(t *testing.T) {
			host, servers := keylessHost(t, func(v *settings.Values) { v.RetryPercent = 100 }, c.script())
			got := host.call(t, http.MethodGet, "/v1/archiv/k", "")
			assert.Equal(t, got.outcome, c.outcome, got.body)
			assert.Equal(t, received(servers), c.sent)
		})
	}
}

// inTurn answers each request with the next script; the last one is repeated.
func inTurn(scripts ...http.HandlerFunc) http.HandlerFunc {
	var mu sync.Mutex
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		script := scripts[0]
		if len(scripts) > 1 {
			scripts = scripts[1:]
		}
		mu.Unlock()
		script(w, r)
	}
}

// TestRetriedReadThatIsShedIsUnknown checks that the outcome is unknown if the first
// attempt may have run and the second is refused as not-run.
func TestRetriedReadThatIsShedIsUnknown(t *testing.T) {
	for range 5 {
		fullBudget := func(values *settings.Values) { values.RetryPercent = 100 }
		host, servers := keylessHost(t, fullBudget, writeRaw(""), shed(503))
		got := host.call(t, http.MethodGet, "/v1/archiv/k", "")
		want := outcome.NotRun
		if servers[0].received.Load() > 0 {
			want = outcome.Unknown
		}
		assert.Equal(t, got.outcome, want, got.body)
	}
}

func TestAmplificationWhenAllServersFail(t *testing.T) {
	for name, script := range map[string]http.HandlerFunc{"closed connection": writeRaw(""), "shed": shed(http.StatusServiceUnavailable)} {
		t.Run(name, func(t *testing.T) {
			hedge := func(values *settings.Values) { values.HedgeAfter = time.Nanosecond }
			for _, change := range []func(*settings.Values){nil, hedge} {
				host, servers := keylessHost(t, change, script, script, script)
				const requests = 200
				for i := range requests {
					got := host.call(t, http.MethodGet, fmt.Sprintf("/v1/archiv/k%d", i), "")
					assert.Assert(t, got.outcome != outcome.Done)
				}
				assert.Assert(t, received(servers) <= requests*11/10, "%d requests sent", received(servers))
			}
		})
	}
}

func hedging(values *settings.Values) {
	values.RetryPercent = 100
	values.HedgeAfter = 20 * time.Millisecond
}

func TestHedgeCancelsTheSlowerAttempt(t *testing.T) {
	var once sync.Once
	cancelled := make(chan struct{})
	script := func(w http.ResponseWriter, r *http.Request) {
		slow := false
		once.Do(func() { slow = true })
		if slow {
			hang(w, r)
			close(cancelled)
			return
		}
		answerWith("yes")(w, r)
	}
	host, servers := keylessHost(t, hedging, script, script)
	got := host.call(t, http.MethodGet, "/v1/archiv/k", "")
	assert.Equal(t, got.body, "yes")
	assert.Equal(t, received(servers), int64(2))
	select {
	case <-cancelled:
	case <-time.After(eventuallyTimeout):
		t.Fatal("the slower attempt was not cancelled")
	}
}

// TestHedgeOutcomeIsUnknownIfEitherAttemptMayHaveRun checks that if both attempts fail,
// the one that may have run decides the outcome.
func TestHedgeOutcomeIsUnknownIfEitherAttemptMayHaveRun(t *testing.T) {
	const hedgeLater = 100 * time.Millisecond
	for name, later := range map[string]http.HandlerFunc{"second sheds": shed(503), "second loses its connection": writeRaw("")} {
		t.Run(name, func(t *testing.T) {
			var first sync.Once
			hedged := make(chan struct{})
			lost := make(chan struct{})
			script := func(w http.ResponseWriter, r *http.Request) {
				isFirst := false
				first.Do(func() { isFirst = true })
				if isFirst {
					<-hedged
					writeRaw("")(w, r)
					close(lost)
					return
				}
				close(hedged)
				<-lost
				time.Sleep(hedgeLater)
				later(w, r)
			}
			host, servers := keylessHost(t, hedging, script, script)
			got := host.call(t, http.MethodGet, "/v1/archiv/k", "")
			assert.Equal(t, received(servers), int64(2))
			assert.Equal(t, got.outcome, outcome.Unknown, got.body)
		})
	}
}

// TestHedgeWithoutBudgetLeavesNothingInFlight checks that a second attempt that the
// retry budget forbids does not count as load of the server that was picked for it.
func TestHedgeWithoutBudgetLeavesNothingInFlight(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		answerWith("yes")(w, r)
	}
	withoutBudget := func(values *settings.Values) {
		values.RetryPercent = 0
		values.HedgeAfter = time.Millisecond
	}
	host, servers := keylessHost(t, withoutBudget, slow, slow)
	const requests = 10
	for range requests {
		host.call(t, http.MethodGet, "/v1/archiv/k", "")
	}
	assert.Equal(t, received(servers), int64(requests))
	for _, load := range host.ingress.KeylessLoad()["archiv"] {
		assert.Equal(t, load.InFlight, 0, load.Addr)
	}
}

func TestServersThatMayNotTakeWorkGetNone(t *testing.T) {
	host, servers := keylessHost(t, nil, answerWith("yes"), answerWith("yes"))
	host.directory.refuse(servers[0].addr())
	for range 20 {
		assert.Equal(t, host.call(t, http.MethodPost, "/v1/archiv/k", "").outcome, outcome.Done)
	}
	assert.Equal(t, servers[0].received.Load(), int64(0))
	host.directory.refuse("zlin")
	got := host.call(t, http.MethodPost, "/v1/archiv/k", "")
	assert.Equal(t, got.outcome, outcome.NotRun)
	assert.Equal(t, received(servers), int64(20))
}

// TestConnectionsAreSharedByTheHosts checks that a host opens its share of a server's
// connections and no more, however many requests wait.
func TestConnectionsAreSharedByTheHosts(t *testing.T) {
	for name, test := range map[string]struct {
		hosts int
		want  int64
	}{
		"share of nine among three hosts": {3, 3},
		"more hosts than connections":     {30, 1},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			fewConnections := func(values *settings.Values) { values.Connections, values.Slots = 9, 64 }
			host, servers := keylessHost(t, fewConnections, func(http.ResponseWriter, *http.Request) { <-release })
			host.directory.hosts = test.hosts
			var calls sync.WaitGroup
			for range 12 {
				calls.Go(func() { _, _ = host.send(http.MethodPost, "/v1/archiv/k", "", backend.HeaderTimeoutMS, "3000") })
			}
			eventually(t, func() bool { return servers[0].received.Load() == test.want })
			most := host.servers.Target(servers[0].addr()).Connections()
			close(release)
			calls.Wait()
			assert.Equal(t, int64(most), test.want)
		})
	}
}
