package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

const ms = time.Millisecond

// network connects the hosts of a test. Its messages take a millisecond.
type network struct {
	clock func() time.Duration
	plan  assign.Plan
	fleet *fleet.Fleet
	pools map[string]*Pools

	mu sync.Mutex
	// lost are the hosts that never answer, old those whose build does not know the messages, and cutOff those that
	// reach no server.
	lost, old, cutOff map[string]bool
}

// newNetwork returns a network of hosts in one zone and servers with one slot each.
func newNetwork(hosts, servers int) *network {
	started := time.Now()
	n := &network{
		clock: func() time.Duration { return time.Since(started) + time.Hour },
		pools: make(map[string]*Pools), lost: make(map[string]bool), old: make(map[string]bool), cutOff: make(map[string]bool),
		fleet: fleet.New(fleet.Options{Zone: "z", Target: func(string) *transport.Target { return nil }}),
	}
	var entries []fleet.Entry
	for i := range servers {
		entries = append(entries, fleet.Entry{ID: fleet.ID(fmt.Sprintf("s%02d", i)), Service: "archiv", Zone: "z", Slots: 1, Born: 1})
	}
	n.fleet.Set(entries, n.clock())
	n.plan.Version = 1
	for i := range hosts {
		host := assign.Host{Name: fmt.Sprintf("h%02d", i), Incarnation: fmt.Sprintf("i%02d", i), Zone: "z"}
		n.plan.Hosts = append(n.plan.Hosts, host)
		n.pools[host.Name] = NewPools(PoolsConfig{Incarnation: host.Incarnation, Fleet: n.fleet, Clock: n.clock, Log: eventlog.Discard()}, &Counters{})
	}
	return n
}

// client returns the client of a host.
func (n *network) client(i int) *Client {
	self := n.plan.Hosts[i]
	return NewClient(ClientConfig{
		Self: self, Plan: func() assign.Plan { return n.plan }, Fleet: n.fleet, Own: n.pools[self.Name], Peers: n, Clock: n.clock, Log: eventlog.Discard(),
		CutOff: func(host string) bool { return n.is(n.cutOff, host) },
	}, &Counters{})
}

func (n *network) is(hosts map[string]bool, name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return hosts[name]
}

func (n *network) set(hosts map[string]bool, name string, value bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts[name] = value
}

// dispatcher returns the position of the k-th host in the order of the only pool.
func (n *network) dispatcher(k int) int {
	var r rankings
	want := r.get(n.plan, Pool{Service: "archiv", Zone: "z"})[k].Name
	for i, host := range n.plan.Hosts {
		if host.Name == want {
			return i
		}
	}
	panic("no dispatcher")
}

// reach waits for a message to arrive. It returns an error if it does not.
func (n *network) reach(ctx context.Context, host assign.Host) error {
	time.Sleep(ms)
	if n.is(n.old, host.Name) {
		return errors.Mark(errors.New("rpc: can't find method"), ErrOldBuild)
	}
	if n.is(n.lost, host.Name) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (n *network) Admit(ctx context.Context, host assign.Host, args AdmitArgs) (AdmitReply, error) {
	if err := n.reach(ctx, host); err != nil {
		return AdmitReply{}, err
	}
	reply := n.pools[host.Name].Admit(context.Background(), args)
	return reply, n.reach(ctx, host)
}

func (n *network) Finish(ctx context.Context, host assign.Host, args FinishArgs) (FinishReply, error) {
	if err := n.reach(ctx, host); err != nil {
		return FinishReply{}, err
	}
	return n.pools[host.Name].Finish(args), nil
}

// ask is a request that has time.
func (n *network) ask() Ask {
	return Ask{Service: "archiv", Caller: 1, Goal: n.clock() + time.Second, Deadline: n.clock() + 5*time.Second, Work: 100 * ms}
}

// simulate runs a test in simulated time and waits until all messages have been sent.
func simulate(t *testing.T, test func(*testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(10 * time.Second)
	})
}

// TestPoolsAreUsedOnlyWhereHostsAreManyAndSlotsFew guards against a change for all other deployments.
func TestPoolsAreUsedOnlyWhereHostsAreManyAndSlotsFew(t *testing.T) {
	for _, test := range []struct {
		hosts, servers int
		used           bool
	}{{20, 10, true}, {20, 49, true}, {20, 50, false}, {19, 10, false}, {62, 76, true}, {4, 1, false}} {
		simulate(t, func(t *testing.T) {
			n := newNetwork(test.hosts, test.servers)
			c := n.client(0)
			assert.Equal(t, c.Uses("archiv"), test.used, "%+v", test)
			assert.Equal(t, c.Admit(t.Context(), n.ask()).Outcome == Granted, test.used, "%+v", test)
		})
	}
}

// TestServersOfALargePoolAreDivided guards against servers that are in no pool or in several.
func TestServersOfALargePoolAreDivided(t *testing.T) {
	for _, servers := range []int{1, 64, 65, 130, 200} {
		n := newNetwork(1, servers)
		seen := 0
		for part := range parts(servers) {
			members := partOf(n.fleet, Pool{Service: "archiv", Zone: "z", Part: part})
			assert.Assert(t, len(members) <= poolSize)
			seen += len(members)
		}
		assert.Equal(t, seen, servers)
		assert.Equal(t, len(partOf(n.fleet, Pool{Service: "archiv", Zone: "z", Part: parts(servers)})), 0)
	}
}

// TestHostsShareAPool guards against a server that gets requests of several hosts at once.
func TestHostsShareAPool(t *testing.T) {
	simulate(t, func(t *testing.T) {
		n := newNetwork(20, 2)
		used := make(map[fleet.ID]int)
		var granted []Answer
		for i := range 2 {
			answer := n.client(i).Admit(t.Context(), n.ask())
			assert.Equal(t, answer.Outcome, Granted)
			used[answer.Server.Entry().ID]++
			granted = append(granted, answer)
		}
		assert.DeepEqual(t, used, map[fleet.ID]int{"s00": 1, "s01": 1})
		waiting := n.client(2)
		done := make(chan Answer, 1)
		go func() { done <- waiting.Admit(t.Context(), n.ask()) }()
		time.Sleep(300 * ms)
		assert.Equal(t, len(done), 0)
		n.client(0).Finish(granted[0].Ticket, dispatch.PoolAnswered, 300*ms)
		answer := <-done
		assert.Equal(t, answer.Outcome, Granted)
		assert.Equal(t, answer.Server.Entry().ID, granted[0].Server.Entry().ID)
	})
}

// TestNextHostDecidesWhenTheDispatcherIsLost guards against requests that wait for a host that is gone, is of an older
// build, is leaving or reaches no server, and against more than 150 ms of delay by it.
func TestNextHostDecidesWhenTheDispatcherIsLost(t *testing.T) {
	for name, fail := range map[string]func(*network, string){
		"lost":    func(n *network, host string) { n.set(n.lost, host, true) },
		"old":     func(n *network, host string) { n.set(n.old, host, true) },
		"leaving": func(n *network, host string) { n.pools[host].Leave() },
		"cut off": func(n *network, host string) { n.set(n.cutOff, host, true) },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				n := newNetwork(20, 2)
				fail(n, n.plan.Hosts[n.dispatcher(0)].Name)
				c := n.client(n.dispatcher(5))
				started := time.Now()
				answer := c.Admit(t.Context(), n.ask())
				assert.Equal(t, answer.Outcome, Granted)
				assert.Equal(t, answer.Ticket.incarnation, n.plan.Hosts[n.dispatcher(1)].Incarnation)
				// The probe begins up to probeAfter and one finishInterval after the request.
				assert.Assert(t, time.Since(started) <= lostAfter+probeAfter+2*finishInterval, "%v", time.Since(started))
				started = time.Now()
				c.Finish(answer.Ticket, dispatch.PoolAnswered, 50*ms)
				assert.Equal(t, c.Admit(t.Context(), n.ask()).Outcome, Granted)
				assert.Assert(t, time.Since(started) <= 10*ms, "%v", time.Since(started))
			})
		})
	}
}

// TestWaitingRequestMovesWhenTheDispatcherFreezes guards against a request that waits for a dispatcher which has stopped
// without closing its connections.
func TestWaitingRequestMovesWhenTheDispatcherFreezes(t *testing.T) {
	simulate(t, func(t *testing.T) {
		n := newNetwork(20, 1)
		assert.Equal(t, n.client(n.dispatcher(5)).Admit(t.Context(), n.ask()).Outcome, Granted)
		done := make(chan Answer, 1)
		go func() { done <- n.client(n.dispatcher(6)).Admit(t.Context(), n.ask()) }()
		time.Sleep(400 * ms)
		assert.Equal(t, len(done), 0)
		n.set(n.lost, n.plan.Hosts[n.dispatcher(0)].Name, true)
		frozenAt := time.Now()
		answer := <-done
		assert.Equal(t, answer.Outcome, Granted)
		assert.Equal(t, answer.Ticket.incarnation, n.plan.Hosts[n.dispatcher(1)].Incarnation)
		assert.Assert(t, time.Since(frozenAt) <= lostAfter+probeAfter+2*finishInterval, "%v", time.Since(frozenAt))
	})
}

// TestPoolThatWasNotAskedForBeginsAgain guards against a dispatcher that takes servers for idle which another one has used
// meanwhile.
func TestPoolThatWasNotAskedForBeginsAgain(t *testing.T) {
	simulate(t, func(t *testing.T) {
		n := newNetwork(20, 1)
		n.fleet.Set([]fleet.Entry{{ID: "s00", Service: "archiv", Zone: "z", Slots: 2, Born: 1}}, n.clock())
		c := n.client(n.dispatcher(5))
		tryTwice := func() int {
			granted := 0
			var tickets []Ticket
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), 20*ms)
				if answer := c.Admit(ctx, n.ask()); answer.Outcome == Granted {
					granted++
					tickets = append(tickets, answer.Ticket)
				}
				cancel()
			}
			for _, ticket := range tickets {
				c.Finish(ticket, dispatch.PoolNotSent, 0)
			}
			time.Sleep(100 * ms)
			return granted
		}
		assert.Equal(t, tryTwice(), 1)
		for range 12 {
			tryTwice()
		}
		assert.Equal(t, tryTwice(), 2)
		time.Sleep(2 * idleFor)
		assert.Equal(t, tryTwice(), 1)
	})
}

// TestHostChoosesAloneWithoutADispatcher guards against refusals while no dispatcher can be asked.
func TestHostChoosesAloneWithoutADispatcher(t *testing.T) {
	simulate(t, func(t *testing.T) {
		n := newNetwork(20, 2)
		for _, host := range n.plan.Hosts {
			n.set(n.old, host.Name, true)
		}
		c := n.client(n.dispatcher(5))
		for range 3 {
			answer := c.Admit(t.Context(), n.ask())
			assert.Equal(t, answer.Outcome, Alone)
		}
	})
}

// TestWaitingRequestsMoveWhenTheDispatcherLeaves guards against requests that are cut off by a planned shutdown.
func TestWaitingRequestsMoveWhenTheDispatcherLeaves(t *testing.T) {
	simulate(t, func(t *testing.T) {
		n := newNetwork(20, 1)
		first := n.client(n.dispatcher(5)).Admit(t.Context(), n.ask())
		assert.Equal(t, first.Outcome, Granted)
		done := make(chan Answer, 1)
		go func() { done <- n.client(n.dispatcher(6)).Admit(t.Context(), n.ask()) }()
		time.Sleep(100 * ms)
		n.pools[n.plan.Hosts[n.dispatcher(0)].Name].Leave()
		answer := <-done
		assert.Equal(t, answer.Outcome, Granted)
		assert.Equal(t, answer.Ticket.incarnation, n.plan.Hosts[n.dispatcher(1)].Incarnation)
	})
}

// TestCallerThatLeavesWithdrawsItsRequest guards against slots that are held for requests which nobody sends, whether the
// decision is still open or on its way.
func TestCallerThatLeavesWithdrawsItsRequest(t *testing.T) {
	for _, leaveAfter := range []time.Duration{ms / 2, ms + ms/2, 50 * ms} {
		simulate(t, func(t *testing.T) {
			n := newNetwork(20, 1)
			c := n.client(n.dispatcher(5))
			if leaveAfter > 2*ms {
				assert.Equal(t, c.Admit(t.Context(), n.ask()).Outcome, Granted)
			}
			ctx, cancel := context.WithTimeout(t.Context(), leaveAfter)
			defer cancel()
			answer := c.Admit(ctx, n.ask())
			assert.Equal(t, answer.Outcome, Denied)
			time.Sleep(100 * ms)
			own := n.pools[n.plan.Hosts[n.dispatcher(0)].Name]
			running, queued := own.gate(Pool{Service: "archiv", Zone: "z"}).Len()
			assert.Equal(t, queued, 0)
			if leaveAfter > 2*ms {
				running--
			}
			assert.Equal(t, running, 0, "%v", leaveAfter)
			assert.Equal(t, own.waiting.Load(), int64(0))
		})
	}
}

// TestDispatcherCountsRequestsWithoutTickets guards against a new dispatcher that fills servers which still have a host's
// requests under another one.
func TestDispatcherCountsRequestsWithoutTickets(t *testing.T) {
	simulate(t, func(t *testing.T) {
		n := newNetwork(20, 2)
		c := n.client(n.dispatcher(5))
		ended := c.SentAlone("s00")
		answer := c.Admit(t.Context(), n.ask())
		assert.Equal(t, answer.Outcome, Granted)
		assert.Equal(t, answer.Server.Entry().ID, fleet.ID("s01"))
		c.Finish(answer.Ticket, dispatch.PoolAnswered, 50*ms)
		ended()
		assert.Equal(t, len(c.sent), 0)
	})
}

// TestUnknownServerIsGivenBack guards against a request that is sent to another incarnation than the dispatcher has meant.
func TestUnknownServerIsGivenBack(t *testing.T) {
	simulate(t, func(t *testing.T) {
		n := newNetwork(20, 2)
		c := n.client(n.dispatcher(5))
		c.config.Fleet = fleet.New(fleet.Options{Zone: "z", Target: func(string) *transport.Target { return nil }})
		c.config.Fleet.Set([]fleet.Entry{
			{ID: "s00", Service: "archiv", Zone: "z", Slots: 1, Born: 2}, {ID: "s01", Service: "archiv", Zone: "z", Slots: 1, Born: 1},
		}, n.clock())
		answer := c.Admit(t.Context(), n.ask())
		assert.Equal(t, answer.Outcome, Granted)
		assert.Equal(t, answer.Server.Entry().ID, fleet.ID("s01"))
	})
}

// TestWaitingRequestsAreBounded guards against a host whose memory is used up by waiting requests.
func TestWaitingRequestsAreBounded(t *testing.T) {
	simulate(t, func(t *testing.T) {
		n := newNetwork(20, 1)
		own := n.pools["h00"]
		args := AdmitArgs{From: "h01", Pool: Pool{Service: "archiv", Zone: "z"}, GoalIn: time.Second, DeadlineIn: time.Minute}
		var group sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for i := range maxWaiting + 1 {
			waiting := args
			waiting.Number = uint64(i + 1)
			group.Go(func() { own.Admit(ctx, waiting) })
		}
		synctest.Wait()
		args.Number = maxWaiting + 2
		reply := own.Admit(t.Context(), args)
		assert.Equal(t, reply.Verdict, Refused)
		assert.Assert(t, reply.RetryAfter > 0)
		cancel()
		group.Wait()
	})
}
