package edge

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/renew"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

func newTestService() *rpcService {
	self := assign.Host{Name: "h1", Incarnation: "1", Zone: "zlin"}
	current := assign.NewCurrent()
	return &rpcService{
		self: self, current: current,
		renewer: renew.New(renew.Config{
			Self: self, Current: current, Timing: grants.DefaultTiming(), Connections: continuity.New(), Clock: clock.Monotonic, Log: eventlog.Discard(),
		}),
	}
}

// serveRPC serves the RPC methods of a host until the test ends, and returns the address.
func serveRPC(t *testing.T, s *rpcService) string {
	t.Helper()
	return serveMethods(t, s)
}

// serveMethods is serveRPC for the methods of another build.
func serveMethods(t *testing.T, s any) string {
	t.Helper()
	calls := rpc.NewServer()
	assert.NilError(t, calls.RegisterName(rpcName, s))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { peer.ServeRPC(t.Context(), calls, w) }))
	return listener.Addr().String()
}

// newTestPeers returns a client for calls to other hosts, which is closed at the end of the test.
func newTestPeers(t *testing.T) *peers {
	p := &peers{pool: peer.NewPool((&net.Dialer{}).DialContext)}
	t.Cleanup(p.pool.Close)
	return p
}

func TestHostThatReadsThePlanIsNotSentIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestService()
		time.AfterFunc(20*time.Millisecond, func() { s.current.Adopt(assign.Plan{Version: 7}) })
		var reply AdoptReply
		assert.NilError(t, s.Adopt(AdoptArgs{Incarnation: "1", Version: 7}, &reply))
		assert.Assert(t, !reply.Unknown)
	})
}

func TestHostThatCannotReadIsSentThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestService()
		s.current.Adopt(assign.Plan{Version: 6})
		var reply AdoptReply
		assert.NilError(t, s.Adopt(AdoptArgs{Incarnation: "1", Version: 7}, &reply))
		assert.Assert(t, reply.Unknown)
		reply = AdoptReply{}
		assert.NilError(t, s.Adopt(AdoptArgs{Incarnation: "1", Version: 7, Plan: &assign.Plan{}}, &reply))
		assert.Assert(t, !reply.Unknown)
		assert.Equal(t, s.current.Plan().Version, assign.Fence(7))
	})
}

func TestNewerIncarnationOfAHostNeedsNoPlan(t *testing.T) {
	s := newTestService()
	var reply AdoptReply
	assert.NilError(t, s.Adopt(AdoptArgs{Incarnation: "0", Version: 7}, &reply))
	assert.Assert(t, !reply.Unknown)
	assert.Equal(t, reply.Incarnation, "1", "the answer says who gives it")
	assert.Equal(t, s.current.Plan().Version, assign.Fence(0))
}

// TestPlanReachesAHostOverTheWire checks that a plan sent over RPC keeps its version and content.
func TestPlanReachesAHostOverTheWire(t *testing.T) {
	s := newTestService()
	p := newTestPeers(t)
	host := assign.Host{Name: "h1", Incarnation: "1", Addr: serveRPC(t, s)}
	plan := assign.Plan{Version: 7, Hosts: []assign.Host{host}}
	incarnation, err := p.Adopt(context.Background(), host, plan)
	assert.NilError(t, err)
	assert.Equal(t, incarnation, host.Incarnation)
	assert.DeepEqual(t, s.current.Plan(), plan)
}

// TestFactsAreTakenFromOtherHosts checks that a host takes over what another one tells about an
// incarnation of a server, and about no other.
func TestFactsAreTakenFromOtherHosts(t *testing.T) {
	s := newTestService()
	s.log = eventlog.Discard()
	s.leader = leader.New(leader.Config{})
	s.fleet = fleet.New(fleet.Options{Target: func(string) *transport.Target { return nil }})
	s.fleet.Set([]fleet.Entry{{ID: "a", Born: 2}}, 0)
	server, _ := s.fleet.Server("a")
	server.NameLimit(1, fleet.SoleShare, 0)
	for _, fact := range []front.Fact{front.LimitEnded, front.Leaving} {
		assert.NilError(t, s.Fact(FactArgs{ID: "a", Born: 1, Fact: fact}, &Empty{}))
		assert.NilError(t, s.Fact(FactArgs{ID: "b", Born: 2, Fact: fact}, &Empty{}))
	}
	assert.Equal(t, server.Limit(), 1.0)
	assert.Assert(t, s.fleet.Usable(server))
	assert.NilError(t, s.Fact(FactArgs{ID: "a", Born: 2, Fact: front.LimitEnded}, &Empty{}))
	assert.Equal(t, server.Limit(), 0.0)
	assert.NilError(t, s.Fact(FactArgs{ID: "a", Born: 2, Fact: front.Leaving}, &Empty{}))
	assert.Assert(t, !s.fleet.Usable(server))
}
