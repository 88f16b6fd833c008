package edge

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/admission"
	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/conntest"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// hangingServer is a server with slots and a queue that never answers what it cannot queue, nor anything later on that
// connection.
type hangingServer struct {
	addr          string
	slots         chan struct{}
	room          int64
	present, most atomic.Int64
	unanswered    atomic.Int64
}

func startHangingServer(t *testing.T, slots, queue int, work time.Duration) *hangingServer {
	t.Helper()
	s := &hangingServer{slots: make(chan struct{}, slots), room: int64(slots + queue)}
	s.addr = conntest.Serve(t, func(conn *net.TCPConn) { s.serve(conn, work) })
	return s
}

func (s *hangingServer) serve(conn net.Conn, work time.Duration) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		present := s.present.Add(1)
		for most := s.most.Load(); present > most && !s.most.CompareAndSwap(most, present); most = s.most.Load() {
		}
		if present > s.room {
			s.unanswered.Add(1)
			io.Copy(io.Discard, conn)
			s.present.Add(-1)
			return
		}
		s.slots <- struct{}{}
		time.Sleep(work)
		<-s.slots
		s.present.Add(-1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Digest: d\r\nContent-Length: 4\r\n\r\ndone", request.Header.Get("X-Id"))
	}
}

// reachesAll says that all hosts reach servers.
type reachesAll struct{}

func (reachesAll) CutOff(string) bool { return false }
func (reachesAll) Suspect()           {}

// poolHosts are some hosts of a plan of twenty, with their own connections, dispatchers and views of the servers.
type poolHosts struct {
	ingresses []*front.Ingress
	callers   []*httptest.Server
	counters  []*admission.Counters
}

func startPoolHosts(t *testing.T, running int, servers []*hangingServer) *poolHosts {
	t.Helper()
	headers := front.Headers{RequestID: "X-Id", DeadlineMS: "X-Left", Digest: "X-Digest", ExpectInstance: "X-Expect", NotExecuted: "X-Not-Run"}
	table := routetable.New(routetable.Config{
		Routes: []routetable.Route{{
			Name: "any", Host: "a.example", Prefix: "/any/", Idempotent: true, Attempts: 2, Timeout: time.Minute, Goal: 20 * time.Second,
			Shares: []routetable.Share{{Service: "archiv", Weight: 1}},
		}},
		Services: map[string]routetable.Service{"archiv": {Name: "archiv"}},
	})
	var entries []fleet.Entry
	for i, server := range servers {
		entries = append(entries, fleet.Entry{ID: fleet.ID(fmt.Sprint("s", i)), Service: "archiv", Addr: server.addr, Zone: "z", Slots: cap(server.slots), Born: 1})
	}
	plan := assign.Plan{Version: 1}
	hosts := &poolHosts{}
	for i := range 20 {
		host := assign.Host{Name: fmt.Sprint("h", i), Incarnation: fmt.Sprint("i", i), Zone: "z", Addr: "127.0.0.1:1"}
		if i < running {
			f := fleet.New(fleet.Options{Zone: "z", RandIntN: rand.IntN, Target: func(addr string) *transport.Target {
				return transport.NewTarget(addr, transport.Options{Dial: transport.Dialer(""), Connections: 64, FreshFor: time.Minute, RequestIDHeader: "X-Id", Undelimited: true})
			}})
			f.Set(entries, clock.Monotonic())
			counters := &admission.Counters{}
			own := admission.NewPools(admission.PoolsConfig{Incarnation: host.Incarnation, Fleet: f, Clock: clock.Monotonic, Log: eventlog.Discard()}, counters)
			go own.Run(t.Context())
			host.Addr = serveRPC(t, &rpcService{pools: own})
			hosts.counters = append(hosts.counters, counters)
			d := &dispatchers{pool: peer.NewPool(peer.DialFunc(transport.Dialer("")))}
			t.Cleanup(d.pool.Close)
			client := admission.NewClient(admission.ClientConfig{
				Self: host, Plan: func() assign.Plan { return plan }, Fleet: f, CutOff: func(string) bool { return false },
				Peers: d, Own: own, Clock: clock.Monotonic, Log: eventlog.Discard(),
			}, counters)
			hosts.ingresses = append(hosts.ingresses, front.New(front.Config{
				Headers: headers, Fleet: f, Current: assign.NewCurrent(), Self: host.Name, Reach: reachesAll{}, Admission: client,
				Hosts: transport.NewPool(transport.Options{Dial: transport.Dialer(""), Connections: 64}),
				Guard: poison.NewGuard(poison.Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute}), Dial: transport.Dialer(""),
				Table: func() *routetable.Table { return table }, ColdRateLimit: func(routetable.Service) float64 { return 10 },
				OnFact: func(fleet.Entry, front.Fact) {},
				Budget: front.BudgetConfig{Ratio: 0.2, Extra: 60, Window: 10 * time.Second, Hosts: func() int { return 20 }},
				Clock:  clock.Monotonic, Log: eventlog.Discard(),
			}))
		}
		plan.Hosts = append(plan.Hosts, host)
	}
	for _, ingress := range hosts.ingresses {
		callers := httptest.NewServer(ingress)
		t.Cleanup(callers.Close)
		hosts.callers = append(hosts.callers, callers)
	}
	return hosts
}

// call sends a caller's request through a host and returns the status, or zero if there is no answer.
func (p *poolHosts) call(t *testing.T, host int, id string) int {
	request, err := http.NewRequest(http.MethodGet, p.callers[host].URL+"/any/"+id, nil)
	assert.Check(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Id", id)
	request.Header.Set("X-Left", "30000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestHostsTogetherNeverOverfillServers guards against servers that get more requests than they can queue, and so never
// answer some, because each of many hosts sends to them by itself.
func TestHostsTogetherNeverOverfillServers(t *testing.T) {
	var servers []*hangingServer
	for range 3 {
		servers = append(servers, startHangingServer(t, 2, 1, 20*time.Millisecond))
	}
	hosts := startPoolHosts(t, 20, servers)
	var group sync.WaitGroup
	var answered atomic.Int64
	const perHost = 6
	for host := range hosts.callers {
		for n := range perHost {
			group.Go(func() {
				if hosts.call(t, host, fmt.Sprintf("r%d-%d", host, n)) == http.StatusOK {
					answered.Add(1)
				}
			})
		}
	}
	group.Wait()
	assert.Equal(t, answered.Load(), int64(len(hosts.callers)*perHost))
	for i, server := range servers {
		assert.Check(t, server.most.Load() <= 3, "server %d has had %d requests", i, server.most.Load())
		assert.Check(t, server.unanswered.Load() == 0, "server %d", i)
	}
	decided := int64(0)
	for _, counters := range hosts.counters {
		decided += counters.Snapshot()["admitted"]
	}
	assert.Equal(t, decided, int64(len(hosts.callers)*perHost))
}
