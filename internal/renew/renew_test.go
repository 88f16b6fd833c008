package renew

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

var self = assign.Host{Name: "h1", Incarnation: "1", Zone: "zlin", Since: 1}

// fakeServer records when grants reach it. While it is silent it does not answer them.
type fakeServer struct {
	mu     sync.Mutex
	silent bool
	times  []time.Duration
	now    func() time.Duration
}

// Connect implements grants.Granter.
func (s *fakeServer) Connect(context.Context, string) (grants.Conn, error) {
	return &fakeConn{server: s, ended: make(chan struct{})}, nil
}

// fakeConn is a connection to a fakeServer.
type fakeConn struct {
	server *fakeServer
	once   sync.Once
	ended  chan struct{}
}

// Ended implements grants.Conn.
func (c *fakeConn) Ended() <-chan struct{} { return c.ended }

// Close implements grants.Conn.
func (c *fakeConn) Close() { c.once.Do(func() { close(c.ended) }) }

// Grant implements grants.Conn.
func (c *fakeConn) Grant(ctx context.Context, _ assign.Server, _ grants.Grant) error {
	s := c.server
	s.mu.Lock()
	s.times = append(s.times, s.now())
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		c.Close()
		return errors.New("no answer")
	}
	return nil
}

func (s *fakeServer) Release(context.Context, assign.Server, keyrange.Range, assign.Fence) (string, error) {
	return "", errors.New("not used")
}

func (s *fakeServer) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *fakeServer) sent() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration(nil), s.times...)
}

// heldPlan returns a plan that assigns all keys to one server of the zone.
func heldPlan(version, fence assign.Fence, zone string, hosts ...assign.Host) assign.Plan {
	return assign.Plan{Version: version, Hosts: hosts, Services: map[string][]assign.Assignment{"revize": {{
		Range: keyrange.All, Phase: assign.Held, Fence: fence, Server: assign.Server{ID: "s1", Zone: zone, Born: 1},
	}}}}
}

// run runs a renewer under a fake clock while scenario changes the server and the plan.
func run(t *testing.T, scenario func(server *fakeServer, current *assign.Current, r *Renewer, now func() time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) + time.Hour }
		server := &fakeServer{now: now}
		current := assign.NewCurrent()
		r := New(self, current, server, grants.DefaultTiming(), now, eventlog.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(done)
		}()
		scenario(server, current, r, now)
		cancel()
		<-done
		time.Sleep(time.Minute)
	})
}

func TestGrantIsRenewedInTime(t *testing.T) {
	run(t, func(server *fakeServer, current *assign.Current, _ *Renewer, now func() time.Duration) {
		current.Verify(now(), 0)
		current.Adopt(heldPlan(2, 2, "zlin", self), now())
		time.Sleep(8500 * time.Millisecond)
		times := server.sent()
		assert.Assert(t, len(times) >= 10 && len(times) <= 12, "%d grants", len(times))
	})
}

// TestHostRenewsOnlyWhatThePlanAllows checks that a host renews nothing if the plan does not let it.
func TestHostRenewsOnlyWhatThePlanAllows(t *testing.T) {
	retired := self
	retired.Retired = true
	newer := self
	newer.Since = 3
	other := self
	other.Incarnation = "2"
	for name, plan := range map[string]assign.Plan{
		"another zone's server":                     heldPlan(4, 2, "brno", self),
		"retired":                                   heldPlan(4, 2, "zlin", retired),
		"grant older than the host":                 heldPlan(4, 2, "zlin", newer),
		"another incarnation of the host is listed": heldPlan(4, 2, "zlin", other),
		"no host is listed":                         heldPlan(4, 2, "zlin"),
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(server *fakeServer, current *assign.Current, _ *Renewer, now func() time.Duration) {
				current.Verify(now(), 0)
				current.Adopt(plan, now())
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(server.sent()), 0)
			})
		})
	}
}

func TestUnverifiedPlanStopsRenewals(t *testing.T) {
	run(t, func(server *fakeServer, current *assign.Current, _ *Renewer, now func() time.Duration) {
		current.Verify(now(), 0)
		current.Adopt(heldPlan(2, 2, "zlin", self), now())
		time.Sleep(30 * time.Second)
		times := server.sent()
		assert.Assert(t, times[len(times)-1] <= time.Hour+grants.DefaultTiming().MaxPlanAge)
	})
}

// TestGrantOfUnresponsiveServerIsReportedLost checks that a host stops renewing a grant, and reports
// it as lost, if the server has not answered for MaxServerSilence: the server may have restarted,
// and its new incarnation must not receive the old grant. A new grant is sent again.
func TestGrantOfUnresponsiveServerIsReportedLost(t *testing.T) {
	run(t, func(server *fakeServer, current *assign.Current, r *Renewer, now func() time.Duration) {
		current.Verify(now(), 0)
		current.Adopt(heldPlan(2, 2, "zlin", self), now())
		time.Sleep(time.Second)
		server.setSilent(true)
		silentFrom := now()
		time.Sleep(3 * time.Second)
		server.setSilent(false)
		time.Sleep(3 * time.Second)
		times := server.sent()
		assert.Assert(t, times[len(times)-1] <= silentFrom+grants.DefaultTiming().MaxServerSilence)
		assert.DeepEqual(t, r.Lost(), []Lost{{Service: "revize", First: 0, Fence: 2}})
		current.Verify(now(), 0)
		current.Adopt(heldPlan(3, 3, "zlin", self), now())
		time.Sleep(time.Second)
		assert.Assert(t, len(server.sent()) > len(times))
	})
}

// TestGrantLearnedLateIsNotRenewed checks that a host that could not read the plan for a while does
// not renew a grant that it learns of afterwards: the grant may have been issued long ago, and its
// server may have restarted since.
func TestGrantLearnedLateIsNotRenewed(t *testing.T) {
	run(t, func(server *fakeServer, current *assign.Current, _ *Renewer, now func() time.Duration) {
		current.Verify(now(), 0)
		time.Sleep(4 * time.Second)
		current.NoteReadFailure()
		current.Adopt(heldPlan(2, 2, "zlin", self), now())
		current.Verify(now(), 0)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(server.sent()), 0)
	})
}
