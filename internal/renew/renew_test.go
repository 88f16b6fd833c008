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
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

var self = assign.Host{Name: "h1", Incarnation: "1", Zone: "zlin", Since: 1}

// server is the server of all plans.
var server = assign.Server{ID: "s1", Addr: "10.0.0.1:1", Zone: "zlin", Born: 1}

// fakeServer records when grants reach it. While it is silent it does not answer them.
type fakeServer struct {
	mu     sync.Mutex
	silent bool
	conns  []*fakeConn
	times  []time.Duration
	now    func() time.Duration
}

// Connect implements grants.Granter.
func (s *fakeServer) Connect(context.Context, string) (grants.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := &fakeConn{server: s, ended: make(chan struct{})}
	s.conns = append(s.conns, conn)
	return conn, nil
}

// restart ends all connections.
func (s *fakeServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
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

// Release implements grants.Granter.
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

// heldPlan returns a plan that assigns all keys to the server, here in the given zone.
func heldPlan(version, fence assign.Fence, zone string, hosts ...assign.Host) assign.Plan {
	owner := server
	owner.Zone = zone
	return assign.Plan{
		Version: version, Leader: assign.Host{Name: "leader", FillsConnections: true}, Hosts: hosts,
		Services: map[string][]assign.Assignment{"revize": {{Range: keyrange.All, Phase: assign.Held, Fence: fence, Server: owner}}},
	}
}

// reported returns the host with the number of the newest connection that it had reported before a plan was written.
func reported(newest continuity.Number) assign.Host {
	host := self
	host.Connections = newest
	return host
}

// fixture is a renewer under test, whose host knows the server and is listed by plan 1.
type fixture struct {
	*Renewer
	server *fakeServer
}

// adopt makes the host act by a plan that was read just now.
func (f *fixture) adopt(plan assign.Plan) {
	f.Current.Verify(f.Clock(), 0)
	f.Current.Adopt(plan)
	time.Sleep(time.Millisecond)
}

// sends returns the number of grants that reach the server within a time.
func (f *fixture) sends(within time.Duration) int {
	before := len(f.server.sent())
	time.Sleep(within)
	return len(f.server.sent()) - before
}

// run runs a renewer under a fake clock while scenario changes the server and the plan.
func run(t *testing.T, scenario func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) + time.Hour }
		f := &fixture{server: &fakeServer{now: now}}
		f.Renewer = New(Config{
			Self: self, Current: assign.NewCurrent(), Granter: f.server, Timing: grants.DefaultTiming(), Connections: continuity.New(),
			Candidates: func() []assign.Server { return []assign.Server{server} }, Clock: now, Log: eventlog.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		f.adopt(assign.Plan{Version: 1, Hosts: []assign.Host{self}})
		scenario(f)
		cancel()
		<-done
		time.Sleep(time.Minute)
	})
}

func TestGrantIsRenewedInTime(t *testing.T) {
	run(t, func(f *fixture) {
		f.adopt(heldPlan(2, 2, "zlin", reported(1)))
		sent := f.sends(8500 * time.Millisecond)
		assert.Assert(t, sent >= 9 && sent <= 12, "%d grants", sent)
	})
}

// TestHostRenewsOnlyWhatThePlanAllows checks that a host renews nothing if the plan does not let it.
func TestHostRenewsOnlyWhatThePlanAllows(t *testing.T) {
	retired := reported(9)
	retired.Retired = true
	newer := reported(9)
	newer.Since = 3
	other := reported(9)
	other.Incarnation = "2"
	for name, plan := range map[string]assign.Plan{
		"another zone's server":                     heldPlan(4, 2, "brno", reported(9)),
		"retired":                                   heldPlan(4, 2, "zlin", retired),
		"grant older than the host":                 heldPlan(4, 2, "zlin", newer),
		"another incarnation of the host is listed": heldPlan(4, 2, "zlin", other),
		"no host is listed":                         heldPlan(4, 2, "zlin"),
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				f.adopt(plan)
				assert.Equal(t, f.sends(5*time.Second), 0)
			})
		})
	}
}

func TestUnverifiedPlanStopsRenewals(t *testing.T) {
	run(t, func(f *fixture) {
		f.adopt(heldPlan(2, 2, "zlin", reported(1)))
		verifiedAt := f.Current.VerifiedAt()
		time.Sleep(30 * time.Second)
		times := f.server.sent()
		assert.Assert(t, times[len(times)-1] <= verifiedAt+grants.DefaultTiming().MaxPlanAge)
	})
}

// TestGrantOfARestartedServerIsLost guards against a server that takes the keys of its former life by a renewal that was meant for that one
// (review, cases 10 and 12): a grant is not sent over a connection that is newer than the plan that issued it, however soon
// the server is back. A new grant, by a plan that was written after the host had reported the connection, is sent at once.
func TestGrantOfARestartedServerIsLost(t *testing.T) {
	run(t, func(f *fixture) {
		f.adopt(heldPlan(2, 2, "zlin", reported(1)))
		assert.Assert(t, f.sends(time.Second) > 0)
		f.server.restart()
		assert.Equal(t, f.sends(5*time.Second), 0)
		assert.DeepEqual(t, f.Lost(), []Lost{{Service: "revize", First: 0, Fence: 2}})
		f.adopt(heldPlan(3, 3, "zlin", reported(1)))
		assert.Equal(t, f.sends(time.Second), 0, "the plan was written before the host had reported the connection")
		f.adopt(heldPlan(4, 4, "zlin", reported(2)))
		assert.Assert(t, f.sends(time.Second) > 0)
		assert.Equal(t, len(f.Lost()), 0)
	})
}

// TestGrantOfUnresponsiveServerIsLost checks the same of a server that does not answer a call: the call may have been carried out, and
// its connection is given up.
func TestGrantOfUnresponsiveServerIsLost(t *testing.T) {
	run(t, func(f *fixture) {
		f.adopt(heldPlan(2, 2, "zlin", reported(1)))
		time.Sleep(time.Second)
		f.server.setSilent(true)
		assert.Equal(t, f.sends(1500*time.Millisecond), 1)
		f.server.setSilent(false)
		assert.Equal(t, f.sends(3*time.Second), 0)
		assert.DeepEqual(t, f.Lost(), []Lost{{Service: "revize", First: 0, Fence: 2}})
		f.adopt(heldPlan(3, 3, "zlin", reported(2)))
		assert.Assert(t, f.sends(time.Second) > 0)
	})
}

// TestAnswersToRequestsKeepAGrant checks that a connection that was closed for another reason than the end of the server costs no new grant
// if an older one carries an answer to a request that was sent afterwards.
func TestAnswersToRequestsKeepAGrant(t *testing.T) {
	run(t, func(f *fixture) {
		requests := f.Connections.Opened()
		f.adopt(heldPlan(2, 2, "zlin", reported(requests)))
		time.Sleep(time.Second)
		f.server.restart()
		time.Sleep(10 * time.Millisecond)
		f.Connections.Answered(server.Addr, requests, f.Connections.Newest())
		assert.Assert(t, f.sends(time.Second) > 0)
		assert.Equal(t, len(f.Lost()), 0)
		assert.Equal(t, f.Counts().Linked, int64(1))
	})
}

// TestGrantLearnedLateNeedsAnOlderConnection checks that a host that learns late of a grant does not send it over a connection that may be newer
// than the plan that issued it: the server may have restarted since.
func TestGrantLearnedLateNeedsAnOlderConnection(t *testing.T) {
	for name, c := range map[string]struct {
		// before is a plan that the host learns of first, unless its version is zero.
		before, learned assign.Plan
		want            bool
	}{
		"the connection was opened after the plan": {learned: heldPlan(3, 3, "zlin", reported(0))},
		"it was opened before":                     {learned: heldPlan(3, 3, "zlin", reported(1)), want: true},
		"the plan that issued it was missed":       {learned: heldPlan(4, 3, "zlin", reported(1))},
		"the plan before tells of it":              {before: assign.Plan{Version: 2, Leader: assign.Host{FillsConnections: true}, Hosts: []assign.Host{reported(1)}}, learned: heldPlan(4, 3, "zlin", reported(1)), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				f.adopt(assign.Plan{Version: 1, Leader: assign.Host{FillsConnections: true}, Hosts: []assign.Host{self}})
				if c.before.Version != 0 {
					f.adopt(c.before)
				}
				time.Sleep(4 * time.Second)
				f.adopt(c.learned)
				assert.Equal(t, f.sends(4*time.Second) > 0, c.want)
			})
		})
	}
}

// TestPlanOfAnOlderBuild checks that a host renews by the plan of a leader whose build tells nothing of connections, over those that were open
// when it learned of the plan and no later ones, and not at all if it learned late.
func TestPlanOfAnOlderBuild(t *testing.T) {
	plan := heldPlan(2, 2, "zlin", self)
	plan.Leader.FillsConnections = false
	run(t, func(f *fixture) {
		f.adopt(plan)
		assert.Assert(t, f.sends(time.Second) > 0)
		f.server.restart()
		assert.Equal(t, f.sends(3*time.Second), 0)
		assert.Equal(t, len(f.Lost()), 1)
	})
	run(t, func(f *fixture) {
		f.Current.NoteReadFailure()
		f.Current.Adopt(plan)
		f.Current.Verify(f.Clock(), 0)
		assert.Equal(t, f.sends(3*time.Second), 0)
		assert.Equal(t, len(f.Lost()), 1)
	})
}
