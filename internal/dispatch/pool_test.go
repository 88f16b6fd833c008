package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// newTestPool returns a pool that is past its first second, with servers "a", "b" and so on of one slot each.
func newTestPool(servers int) *Pool {
	p := NewPool(-time.Hour)
	var list []PoolServer
	for i := range servers {
		list = append(list, PoolServer{ID: string(rune('a' + i)), Born: 1, Slots: 1})
	}
	p.SetServers(list, 0)
	return p
}

func poolItem(priority int, goal, deadline time.Duration) PoolItem {
	return PoolItem{Item: item(priority, goal, deadline)}
}

// admittedTo returns the servers of the admitted requests, by ticket.
func admittedTo(decisions []PoolDecision) map[Ticket]string {
	servers := make(map[Ticket]string)
	for _, d := range decisions {
		if d.Admitted {
			servers[d.Ticket] = d.Server
		}
	}
	return servers
}

// TestPoolGivesEachServerWhatItCanRun guards against more requests at a server than its slots and one more, and against
// one that waits at a server while another has a free slot.
func TestPoolGivesEachServerWhatItCanRun(t *testing.T) {
	p := newTestPool(3)
	seen := make(map[string]int)
	var tickets []Ticket
	for range 3 {
		ticket, decisions := p.Offer(poolItem(1, time.Second, 9*time.Second), 0)
		seen[admittedTo(decisions)[ticket]]++
		tickets = append(tickets, ticket)
	}
	assert.DeepEqual(t, seen, map[string]int{"a": 1, "b": 1, "c": 1})
	waiting, decisions := p.Offer(poolItem(1, time.Second, 9*time.Second), 0)
	assert.Equal(t, len(decisions), 0)
	decisions = p.Finish(tickets[1], PoolAnswered, 100*ms, 100*ms)
	assert.Equal(t, len(admittedTo(decisions)), 1)
	assert.Assert(t, admittedTo(decisions)[waiting] != "")
	_, queued := p.Len()
	assert.Equal(t, queued, 0)
}

// TestPoolAdmitsUrgentRequestsFirst guards against the order of arrival.
func TestPoolAdmitsUrgentRequestsFirst(t *testing.T) {
	p := newTestPool(1)
	first, _ := p.Offer(poolItem(2, 400*ms, 9*time.Second), 0)
	late, _ := p.Offer(poolItem(0, 50*ms, 9*time.Second), 0)
	normal, _ := p.Offer(poolItem(2, 900*ms, 9*time.Second), 0)
	urgent, _ := p.Offer(poolItem(1, 900*ms, 9*time.Second), 0)
	want := []Ticket{urgent, normal, late}
	last := first
	for i, ticket := range want {
		decisions := p.Finish(last, PoolNotSent, 0, time.Duration(i+1)*20*ms)
		assert.Equal(t, len(decisions), 1)
		assert.Equal(t, decisions[0].Ticket, ticket)
		last = ticket
	}
}

// TestAccountsTakeTurnsInAPool guards against an account that fills the queue and delays the others of its priority.
func TestAccountsTakeTurnsInAPool(t *testing.T) {
	p := newTestPool(1)
	last, _ := p.Offer(poolItem(1, time.Second, 9*time.Second), 0)
	accounts := make(map[Ticket]string)
	for range 6 {
		flood := poolItem(1, time.Second, 9*time.Second)
		flood.Account = "flood"
		ticket, _ := p.Offer(flood, 0)
		accounts[ticket] = "flood"
	}
	calm := poolItem(1, time.Second, 9*time.Second)
	calm.Account = "calm"
	ticket, _ := p.Offer(calm, 0)
	accounts[ticket] = "calm"
	var order []string
	for i := range 3 {
		decisions := p.Finish(last, PoolNotSent, 0, time.Duration(i+1)*20*ms)
		last = decisions[0].Ticket
		order = append(order, accounts[last])
	}
	assert.DeepEqual(t, order[:2], []string{"flood", "calm"})
}

// TestExcludedAndLeavingServersGetNoRequest guards against a second attempt at a server that has failed.
func TestExcludedAndLeavingServersGetNoRequest(t *testing.T) {
	p := newTestPool(2)
	excluding := poolItem(1, time.Second, 9*time.Second)
	excluding.Excluded = []string{"a"}
	ticket, decisions := p.Offer(excluding, 0)
	assert.Equal(t, admittedTo(decisions)[ticket], "b")
	waiting, decisions := p.Offer(excluding, 0)
	assert.Equal(t, len(decisions), 0)
	decisions = p.SetServers([]PoolServer{{ID: "a", Born: 1, Slots: 1}, {ID: "b", Born: 1, Slots: 1, Leaving: true}}, 50*ms)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Ticket, waiting)
	assert.Assert(t, decisions[0].NoServer && !decisions[0].Admitted)
}

// TestColdAndAvoidedServersComeLast guards against cold or unreachable servers that get requests while others serve.
func TestColdAndAvoidedServersComeLast(t *testing.T) {
	p := newTestPool(0)
	p.SetServers([]PoolServer{{ID: "cold", Slots: 1, Cold: true}, {ID: "warm", Slots: 1}}, 0)
	ticket, decisions := p.Offer(poolItem(1, time.Second, 9*time.Second), 0)
	assert.Equal(t, admittedTo(decisions)[ticket], "warm")
	waiting, decisions := p.Offer(poolItem(1, time.Second, 9*time.Second), 0)
	assert.Equal(t, len(decisions), 0)
	decisions = p.Finish(ticket, PoolUnreachable, 0, 20*ms)
	assert.Equal(t, admittedTo(decisions)[waiting], "cold")
}

// TestHopelessRequestIsRefusedAtOnce guards against requests that wait until their deadline in vain.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	p := newTestPool(1)
	first, _ := p.Offer(poolItem(1, time.Second, 9*time.Second), 0)
	p.Finish(first, PoolAnswered, 500*ms, 0)
	p.Offer(poolItem(1, time.Second, 9*time.Second), 0)
	ticket, decisions := p.Offer(poolItem(1, 300*ms, 450*ms), 0)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Ticket, ticket)
	assert.Assert(t, !decisions[0].Admitted && !decisions[0].NoServer)
	assert.Assert(t, decisions[0].RetryAfter > 0 && decisions[0].RetryAfter <= 150*ms, "%v", decisions[0].RetryAfter)
}

// TestTicketOfALostHostIsFreedAfterItsDeadline guards against slots that are lost with a host, and against freeing them
// while the server may still have the request.
func TestTicketOfALostHostIsFreedAfterItsDeadline(t *testing.T) {
	p := newTestPool(1)
	lost, _ := p.Offer(poolItem(1, time.Second, 2*time.Second), 0)
	waiting, _ := p.Offer(poolItem(1, time.Second, 9*time.Second), 0)
	assert.Equal(t, len(p.Advance(2*time.Second+ticketGrace-ms)), 0)
	decisions := p.Advance(2*time.Second + ticketGrace + sortInterval)
	assert.Equal(t, admittedTo(decisions)[waiting], "a")
	assert.Equal(t, len(p.Finish(lost, PoolAnswered, 100*ms, 3*time.Second)), 0)
	running, _ := p.Len()
	assert.Equal(t, running, 1)
}

// TestNewPoolUsesHalfOfEachServer guards against a new dispatcher that fills servers which still have the requests of the
// former one, or of hosts that choose by themselves.
func TestNewPoolUsesHalfOfEachServer(t *testing.T) {
	p := NewPool(0)
	p.SetServers([]PoolServer{{ID: "a", Slots: 4}}, 0)
	admitted := 0
	offer := func(now time.Duration, others map[string]int) {
		asked := poolItem(1, 9*time.Second, 20*time.Second)
		asked.Host, asked.Others = "h", others
		_, decisions := p.Offer(asked, now)
		admitted += len(admittedTo(decisions))
	}
	for range 6 {
		offer(0, nil)
	}
	assert.Equal(t, admitted, 2)
	offer(halfWidthFor, map[string]int{"a": 1})
	assert.Equal(t, admitted, 3)
	admitted += len(admittedTo(p.Advance(halfWidthFor + otherLoadFor)))
	assert.Equal(t, admitted, 4)
}

// TestWidthBoundsTheRequestsAtAServer guards against more requests than the learned number.
func TestWidthBoundsTheRequestsAtAServer(t *testing.T) {
	p := newTestPool(0)
	p.SetServers([]PoolServer{{ID: "a", Slots: 4}}, 0)
	p.SetWidth("a", 2, 0)
	admitted := 0
	for range 6 {
		_, decisions := p.Offer(poolItem(1, 9*time.Second, 20*time.Second), 0)
		admitted += len(admittedTo(decisions))
	}
	assert.Equal(t, admitted, 2)
	assert.Equal(t, len(admittedTo(p.SetWidth("a", 9, 0))), 2)
}

// TestAnyOrderOfEventsKeepsTheBounds guards against a server that gets more requests than its slots and one more, and
// against requests without a decision, under random arrivals, ends, cancellations and changes of the servers.
func TestAnyOrderOfEventsKeepsTheBounds(t *testing.T) {
	for seed := range uint64(200) {
		checkRandomEvents(t, rand.New(rand.NewPCG(seed, 2)))
	}
}

func checkRandomEvents(t *testing.T, random *rand.Rand) {
	p := NewPool(0)
	now := time.Duration(0)
	open := make(map[Ticket]bool)
	at := make(map[Ticket]string)
	take := func(decisions []PoolDecision) {
		for _, d := range decisions {
			assert.Assert(t, open[d.Ticket], "a second decision")
			delete(open, d.Ticket)
			if d.Admitted {
				at[d.Ticket] = d.Server
			}
		}
	}
	slots := map[string]int{}
	setServers := func() {
		var list []PoolServer
		for i := range 1 + random.IntN(4) {
			id := fmt.Sprint(i)
			slots[id] = 1 + i%3
			list = append(list, PoolServer{ID: id, Slots: slots[id], Leaving: random.IntN(5) == 0, Cold: random.IntN(5) == 0})
		}
		take(p.SetServers(list, now))
	}
	setServers()
	anyOf := func(tickets map[Ticket]string) Ticket {
		for ticket := range tickets {
			return ticket
		}
		return 0
	}
	for range 200 {
		now += time.Duration(random.IntN(20)) * ms
		switch random.IntN(6) {
		case 0, 1, 2:
			asked := poolItem(random.IntN(3), now+400*ms, now+time.Duration(100+random.IntN(2000))*ms)
			asked.Account, asked.Caller = fmt.Sprint(random.IntN(2)), uint64(random.IntN(9))
			open[p.lastTicket+1] = true
			_, decisions := p.Offer(asked, now)
			take(decisions)
		case 3:
			if ticket := anyOf(at); ticket != 0 {
				delete(at, ticket)
				take(p.Finish(ticket, PoolEnd(random.IntN(6)), 100*ms, now))
			}
		case 4:
			for ticket := range open {
				assert.Assert(t, p.Cancel(ticket))
				delete(open, ticket)
				break
			}
		case 5:
			if random.IntN(10) == 0 {
				setServers()
			}
			take(p.Advance(now))
		}
		for _, s := range p.servers {
			assert.Assert(t, s.running >= 0 && s.running <= s.Slots+queuedAtFastServer, "%s has %d", s.ID, s.running)
		}
	}
	now += time.Minute
	take(p.Advance(now))
	take(p.Advance(now + sortInterval))
	assert.Equal(t, len(open), 0)
}

// TestRequestOfACallerThatHasLeftIsNotAdmitted guards against slots for requests that nobody waits for.
func TestRequestOfACallerThatHasLeftIsNotAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		clock := func() time.Duration { return time.Since(started) }
		gate := NewPoolGate(clock)
		gate.SetServers([]PoolServer{{ID: "a", Slots: 1}})
		first := gate.Acquire(t.Context(), poolItem(1, 9*time.Second, 20*time.Second))
		assert.Assert(t, first.Admitted)
		ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
		defer cancel()
		left := gate.Acquire(ctx, poolItem(1, 9*time.Second, 20*time.Second))
		assert.Assert(t, !left.Admitted)
		gate.Finish(first.Ticket, PoolAnswered, 100*ms)
		running, queued := gate.Len()
		assert.Equal(t, running+queued, 0)
	})
}
