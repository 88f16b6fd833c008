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

// keylessHost returns a host whose service is not divided by key; its servers run the scripts, all in zone zlin.
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

func received(servers []*fakeServer) int64 {
	var total int64
	for _, server := range servers {
		total += server.received.Load()
	}
	return total
}

func TestKeylessOutcomesAreTrue(t *testing.T) {
	short := raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes")
	for name, test := range map[string]struct {
		method  string
		scripts []http.HandlerFunc
		outcome outcome.Outcome
		sent    int64
	}{
		"whole":                  {http.MethodPost, []http.HandlerFunc{answer("yes"), answer("yes")}, outcome.Done, 1},
		"a write is not resent":  {http.MethodPost, []http.HandlerFunc{raw(""), raw("")}, outcome.Unknown, 1},
		"a short answer is none": {http.MethodPost, []http.HandlerFunc{short, short}, outcome.Unknown, 1},
		"a read without budget":  {http.MethodGet, []http.HandlerFunc{raw(""), raw("")}, outcome.Unknown, 1},
		"all shed":               {http.MethodPost, []http.HandlerFunc{shed(503), shed(503)}, outcome.NotRun, 1},
		"no server":              {http.MethodPost, nil, outcome.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			host, servers := keylessHost(t, nil, test.scripts...)
			got := host.call(t, test.method, "/v1/archiv/k", "b")
			assert.Equal(t, got.outcome, test.outcome, got.body)
			assert.Equal(t, received(servers), test.sent)
		})
	}
}

// TestRetriedReadThatIsShedIsUnknown states that a first try which may have run
// is not forgotten when the second is refused.
func TestRetriedReadThatIsShedIsUnknown(t *testing.T) {
	for range 5 {
		full := func(values *settings.Values) { values.RetryPercent = 100 }
		host, servers := keylessHost(t, full, raw(""), shed(503))
		got := host.call(t, http.MethodGet, "/v1/archiv/k", "")
		want := outcome.NotRun
		if servers[0].received.Load() > 0 {
			want = outcome.Unknown
		}
		assert.Equal(t, got.outcome, want, got.body)
	}
}

func TestAmplificationWhenAllServersFail(t *testing.T) {
	for name, script := range map[string]http.HandlerFunc{"cut off": raw(""), "shed": shed(http.StatusServiceUnavailable)} {
		t.Run(name, func(t *testing.T) {
			hedge := func(values *settings.Values) { values.HedgeAfter = time.Nanosecond }
			for _, change := range []func(*settings.Values){nil, hedge} {
				host, servers := keylessHost(t, change, script, script, script)
				const requests = 200
				for i := range requests {
					got := host.call(t, http.MethodGet, fmt.Sprintf("/v1/archiv/k%d", i), "")
					assert.Assert(t, got.outcome != outcome.Done)
				}
				assert.Assert(t, received(servers) <= requests*11/10, "%d sent", received(servers))
			}
		})
	}
}

func hedging(values *settings.Values) {
	values.RetryPercent = 100
	values.HedgeAfter = 20 * time.Millisecond
}

func TestHedgeCancelsTheLoser(t *testing.T) {
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
		answer("yes")(w, r)
	}
	host, servers := keylessHost(t, hedging, script, script)
	got := host.call(t, http.MethodGet, "/v1/archiv/k", "")
	assert.Equal(t, got.body, "yes")
	assert.Equal(t, received(servers), int64(2))
	select {
	case <-cancelled:
	case <-time.After(settleLimit):
		t.Fatal("the slower try was not cancelled")
	}
}

// TestHedgeForgetsNoTryThatMayHaveRun states that where both tries fail, the
// one that may have run decides the outcome.
func TestHedgeForgetsNoTryThatMayHaveRun(t *testing.T) {
	const hedgeLater = 100 * time.Millisecond
	for name, later := range map[string]http.HandlerFunc{"shed last": shed(503), "cut off last": raw("")} {
		t.Run(name, func(t *testing.T) {
			var first sync.Once
			hedged := make(chan struct{})
			lost := make(chan struct{})
			script := func(w http.ResponseWriter, r *http.Request) {
				isFirst := false
				first.Do(func() { isFirst = true })
				if isFirst {
					<-hedged
					raw("")(w, r)
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

// TestHedgeWithoutBudgetLeavesNothingInFlight states that a hedge which the
// budget forbids does not count as load of the server that it was meant for.
func TestHedgeWithoutBudgetLeavesNothingInFlight(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		answer("yes")(w, r)
	}
	dear := func(values *settings.Values) {
		values.RetryPercent = 0
		values.HedgeAfter = time.Millisecond
	}
	host, servers := keylessHost(t, dear, slow, slow)
	const requests = 10
	for range requests {
		host.call(t, http.MethodGet, "/v1/archiv/k", "")
	}
	assert.Equal(t, received(servers), int64(requests))
	for _, load := range host.entry.KeylessLoad()["archiv"] {
		assert.Equal(t, load.InFlight, 0, load.Addr)
	}
}

func TestServersThatMayTakeNoWork(t *testing.T) {
	host, servers := keylessHost(t, nil, answer("yes"), answer("yes"))
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

// TestConnectionsAreSharedByTheHosts states that a host opens its share of a
// server's connections and no more, whatever waits.
func TestConnectionsAreSharedByTheHosts(t *testing.T) {
	for name, test := range map[string]struct {
		hosts int
		want  int64
	}{
		"three of nine":        {3, 3},
		"more hosts than that": {30, 1},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			few := func(values *settings.Values) { values.Connections, values.Slots = 9, 64 }
			host, servers := keylessHost(t, few, func(http.ResponseWriter, *http.Request) { <-release })
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
