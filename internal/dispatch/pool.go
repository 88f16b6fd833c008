package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// queuedAtServer is the largest number of requests sent to a server beyond its slots. The request that waits there
	// starts without the delay of the messages between the hosts.
	queuedAtServer = 1
	// halfWidthFor is how long a new pool uses half of each server's width. Requests that an earlier dispatcher has
	// admitted may still run, and hosts name theirs only when they ask.
	halfWidthFor = time.Second
	// ticketGrace is how long after its deadline a ticket is freed that its host has not finished.
	ticketGrace = 250 * time.Millisecond
	// otherLoadFor is how long the requests count that a host sends without tickets, after it has named them.
	otherLoadFor = time.Second
	// speedWeight is the weight of a new sample in the average of a server's slowness.
	speedWeight = 0.1
	// maxSlowness caps one sample of a server's slowness.
	maxSlowness = 8.0
	// minAvoid and maxAvoid are the shortest and longest time for which a server is avoided that could not be reached
	// or gave no answer. The time doubles with each such end in a row. A full server is avoided for fullAvoid.
	minAvoid  = 150 * time.Millisecond
	maxAvoid  = time.Second
	fullAvoid = 60 * time.Millisecond
)

// PoolServer is a server of a pool, as the owner of the pool knows it.
type PoolServer struct {
	ID string
	// Born distinguishes the incarnations of a server.
	Born int64
	// Slots is the number of requests that the server executes at a time.
	Slots int
	// Cold servers get requests only if there is no warm one, and Last ones if there is no other at all. Leaving ones
	// get none.
	Cold, Last, Leaving bool
}

// PoolItem describes a request that needs a slot at any server of a pool.
type PoolItem struct {
	Item
	// Host is the host that asks. Others holds the requests that it has at servers without a ticket of this pool, by ID.
	Host   string
	Others map[string]int
	// Excluded are the IDs of the servers that must not get the request.
	Excluded []string
}

// PoolDecision admits a request to a server or refuses it.
type PoolDecision struct {
	Decision
	// Server and Born identify the server of an admitted request.
	Server string
	Born   int64
	// NoServer says that the request was refused because no server may get it, and not for lack of room.
	NoServer bool
}

// PoolEnd says how an admitted request ended. Hosts send the numbers to each other, so they must not change.
type PoolEnd int

const (
	// PoolNotSent means that nothing was sent to the server.
	PoolNotSent PoolEnd = iota
	// PoolAnswered means that the server has answered.
	PoolAnswered
	// PoolFull means that the server has refused the request.
	PoolFull
	// PoolUnreachable means that no connection could be opened.
	PoolUnreachable
	// PoolLost means that no usable answer came.
	PoolLost
	// PoolCancelled means that the caller has left, which says nothing about the server.
	PoolCancelled
)

// poolServer is a server with the requests that it has.
type poolServer struct {
	PoolServer
	// width is the maximum number of requests at the server, or zero if it has not been set.
	width   int
	running int
	// slowness is the average of the time that requests take divided by their expected work.
	slowness   float64
	avoidUntil time.Duration
	failures   int
	// usedAt orders servers that are equal otherwise.
	usedAt uint64
}

// poolTicket is an admitted request.
type poolTicket struct {
	server  *poolServer
	work    time.Duration
	expires time.Duration
}

// poolWaiting is a request in the queue.
type poolWaiting struct {
	PoolItem
	ticket   Ticket
	returned bool
	// rank is the request's place among the accounts of its priority; see Fairness.
	rank uint64
}

// otherLoad is the load of one host that the pool did not admit.
type otherLoad struct {
	counts map[string]int
	until  time.Duration
}

// Pool holds the requests for the servers of a service that may all execute them, and decides which server gets which
// request, and when. It is not safe for concurrent use.
type Pool struct {
	startedAt  time.Duration
	servers    []*poolServer
	waiting    []poolWaiting
	tickets    map[Ticket]poolTicket
	lastTicket Ticket
	others     map[string]otherLoad
	returns    returnSchedule
	fairness   Fairness
	meanWork   time.Duration
}

// NewPool returns a pool without servers.
func NewPool(now time.Duration) *Pool {
	return &Pool{startedAt: now, tickets: make(map[Ticket]poolTicket), others: make(map[string]otherLoad)}
}

// SetServers replaces the list of servers. Incarnations that stay keep their requests.
func (p *Pool) SetServers(servers []PoolServer, now time.Duration) []PoolDecision {
	var next []*poolServer
	for _, server := range servers {
		s := p.server(server.ID)
		if s == nil || s.Born != server.Born {
			s = &poolServer{slowness: 1}
		}
		s.PoolServer = server
		next = append(next, s)
	}
	p.servers = next
	return p.Advance(now)
}

// SetWidth sets the maximum number of requests at a server, from 1 to its slots and one more.
func (p *Pool) SetWidth(id string, width int, now time.Duration) []PoolDecision {
	if s := p.server(id); s != nil {
		s.width = width
	}
	return p.Advance(now)
}

// Len returns the numbers of admitted and of waiting requests.
func (p *Pool) Len() (running, queued int) {
	return len(p.tickets), len(p.waiting)
}

// Offer adds a request. The decisions may be for this request and for waiting ones.
func (p *Pool) Offer(item PoolItem, now time.Duration) (Ticket, []PoolDecision) {
	p.lastTicket++
	ticket := p.lastTicket
	if len(item.Others) > 0 {
		p.others[item.Host] = otherLoad{item.Others, now + otherLoadFor}
	} else {
		delete(p.others, item.Host)
	}
	returned := p.returns.arrive(item.Item, now)
	p.waiting = append(p.waiting, poolWaiting{PoolItem: item, ticket: ticket, returned: returned})
	return ticket, p.Advance(now)
}

// Cancel removes a waiting request. It returns false if the request is not waiting.
func (p *Pool) Cancel(ticket Ticket) bool {
	before := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(w poolWaiting) bool { return w.ticket == ticket })
	return len(p.waiting) < before
}

// Finish frees a ticket. Took is how long the server worked, or zero if that is unknown. A ticket that has expired is
// ignored.
func (p *Pool) Finish(ticket Ticket, end PoolEnd, took, now time.Duration) []PoolDecision {
	t, ok := p.tickets[ticket]
	if !ok {
		return nil
	}
	delete(p.tickets, ticket)
	t.server.running--
	t.server.record(end, now)
	if end == PoolAnswered && took > 0 {
		p.recordTime(t, took)
	}
	return p.Advance(now)
}

// record updates when the server is avoided.
func (s *poolServer) record(end PoolEnd, now time.Duration) {
	switch end {
	case PoolAnswered:
		s.failures = 0
		s.avoidUntil = 0
	case PoolFull:
		s.avoidUntil = max(s.avoidUntil, now+fullAvoid)
	case PoolUnreachable, PoolLost:
		s.avoidUntil = now + min(minAvoid<<min(s.failures, 8), maxAvoid)
		s.failures++
	}
}

// recordTime updates the averages with the time of an answered request.
func (p *Pool) recordTime(t poolTicket, took time.Duration) {
	if p.meanWork == 0 {
		p.meanWork = took
	}
	p.meanWork += time.Duration(workSampleWeight * float64(took-p.meanWork))
	if t.work > 0 {
		ratio := min(float64(took)/float64(t.work), maxSlowness)
		t.server.slowness += speedWeight * (ratio - t.server.slowness)
	}
}

// Advance frees expired tickets, admits requests to free slots, and refuses those that can't meet their deadline.
func (p *Pool) Advance(now time.Duration) []PoolDecision {
	p.expire(now)
	p.sort(now)
	load := p.otherLoads()
	var decisions []PoolDecision
	kept := p.waiting[:0]
	room := true
	for _, w := range p.waiting {
		s, usable, free := (*poolServer)(nil), 0, false
		if room || len(w.Excluded) > 0 {
			s, usable, free = p.pick(w, load, now)
		} else {
			usable = 1
		}
		switch {
		case s != nil:
			decisions = append(decisions, p.admit(w, s, now))
			continue
		case usable == 0:
			decisions = append(decisions, PoolDecision{Decision: Decision{Ticket: w.ticket, RetryAfter: p.retryAfter(w, len(kept), now)}, NoServer: true})
			continue
		case !free && len(w.Excluded) == 0:
			room = false
		}
		kept = append(kept, w)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return append(decisions, p.refuseUnmeetable(now)...)
}

// expire frees the tickets whose hosts have not finished them in time, and forgets outdated load.
func (p *Pool) expire(now time.Duration) {
	for ticket, t := range p.tickets {
		if now >= t.expires {
			t.server.running--
			delete(p.tickets, ticket)
		}
	}
	for host, other := range p.others {
		if now >= other.until {
			delete(p.others, host)
		}
	}
}

// sort puts the waiting requests in the order in which they are admitted: those that can meet their goal first, then by
// priority, those whose callers come back at their time before new ones, then by turns of the client accounts, by goal
// and by arrival.
func (p *Pool) sort(now time.Duration) {
	slices.SortStableFunc(p.waiting, func(a, b poolWaiting) int {
		return cmp.Or(
			comparePoolUrgency(a, b, now),
			cmp.Compare(a.Goal, b.Goal),
			cmp.Compare(a.ticket, b.ticket),
		)
	})
	severalAccounts := slices.ContainsFunc(p.waiting, func(w poolWaiting) bool { return w.Account != p.waiting[0].Account })
	if !severalAccounts {
		return
	}
	p.fairness.BeginRanking()
	for i, w := range p.waiting {
		p.waiting[i].rank = p.fairness.Rank(w.Priority, w.Account)
	}
	slices.SortStableFunc(p.waiting, func(a, b poolWaiting) int {
		return cmp.Or(comparePoolUrgency(a, b, now), cmp.Compare(a.rank, b.rank))
	})
}

// comparePoolUrgency is compareUrgency for the requests of a pool.
func comparePoolUrgency(a, b poolWaiting, now time.Duration) int {
	return cmp.Or(
		cmp.Compare(itemMissesGoal(a.Item, now), itemMissesGoal(b.Item, now)),
		cmp.Compare(a.Priority, b.Priority),
		-cmp.Compare(asInt(a.returned), asInt(b.returned)),
	)
}

// otherLoads returns the number of requests without tickets at each server.
func (p *Pool) otherLoads() map[string]int {
	if len(p.others) == 0 {
		return nil
	}
	loads := make(map[string]int)
	for _, other := range p.others {
		for id, count := range other.counts {
			loads[id] += max(count, 0)
		}
	}
	return loads
}

// widthOf returns the maximum number of requests at a server now.
func (p *Pool) widthOf(s *poolServer, now time.Duration) int {
	if s.Leaving {
		return 0
	}
	width := max(s.Slots, 1) + queuedAtServer
	if s.width > 0 {
		width = min(width, s.width)
	}
	if now < p.startedAt+halfWidthFor {
		width = max(width/2, 1)
	}
	return width
}

// pick returns the server that gets a request now, or nil if it has to wait. Usable is the number of servers that may
// get it at all, and free says whether one of them has room.
func (p *Pool) pick(w poolWaiting, load map[string]int, now time.Duration) (best *poolServer, usable int, free bool) {
	bestRank, bestCost := 0, 0.0
	lowest := len(serverRanks)
	for _, s := range p.servers {
		if s.Leaving || slices.Contains(w.Excluded, s.ID) {
			continue
		}
		usable++
		rank := s.rank(now)
		lowest = min(lowest, rank)
		busy := s.running + load[s.ID]
		if busy >= p.widthOf(s, now) {
			continue
		}
		free = true
		cost := s.cost(busy)
		if best == nil || cmp.Or(cmp.Compare(rank, bestRank), cmp.Compare(cost, bestCost), cmp.Compare(s.usedAt, best.usedAt)) < 0 {
			best, bestRank, bestCost = s, rank, cost
		}
	}
	if best != nil && bestRank > lowest {
		// Servers that are better have no room now. The request waits for one of them.
		return nil, usable, false
	}
	return best, usable, free
}

// serverRanks are the classes of servers in order of preference.
var serverRanks = [...]string{"warm", "cold", "last"}

// rank returns the server's class.
func (s *poolServer) rank(now time.Duration) int {
	switch {
	case s.Last || now < s.avoidUntil:
		return 2
	case s.Cold:
		return 1
	}
	return 0
}

// cost estimates the time of a further request at the server, as a multiple of its work.
func (s *poolServer) cost(busy int) float64 {
	slots := max(s.Slots, 1)
	wait := float64(max(busy+1-slots, 0)) / float64(slots)
	return s.slowness * (1 + wait)
}

// admit gives the request a ticket for the server.
func (p *Pool) admit(w poolWaiting, s *poolServer, now time.Duration) PoolDecision {
	if len(p.tickets) == 0 && len(p.waiting) <= 1 {
		p.fairness.Idle()
	}
	p.fairness.Admitted(w.Priority, w.Account)
	s.running++
	s.usedAt = uint64(w.ticket)
	p.tickets[w.ticket] = poolTicket{server: s, work: w.Work, expires: max(w.Deadline, now) + ticketGrace}
	return PoolDecision{Decision: Decision{Ticket: w.ticket, Admitted: true}, Server: s.ID, Born: s.Born}
}

// refuseUnmeetable refuses the requests that, by the expected wait, can't meet their deadline.
func (p *Pool) refuseUnmeetable(now time.Duration) []PoolDecision {
	var decisions []PoolDecision
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		wait := p.wait(len(kept), now)
		if now+time.Duration(waitMargin*float64(wait))+w.Work > w.Deadline {
			decisions = append(decisions, PoolDecision{Decision: Decision{Ticket: w.ticket, RetryAfter: p.retryAfter(w, len(kept), now)}})
			continue
		}
		kept = append(kept, w)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return decisions
}

// slots returns the number of slots of the servers that get requests, and of those that would get them last if there
// is no other.
func (p *Pool) slots(now time.Duration) int {
	slots, last := 0, 0
	for _, s := range p.servers {
		switch {
		case s.Leaving:
		case s.rank(now) > 0:
			last += max(s.Slots, 1)
		default:
			slots += min(max(s.Slots, 1), p.widthOf(s, now))
		}
	}
	if slots == 0 {
		return max(last, 1)
	}
	return slots
}

// wait estimates the time until a request with the given number of others ahead of it gets a slot.
func (p *Pool) wait(ahead int, now time.Duration) time.Duration {
	slots := p.slots(now)
	turns := float64(len(p.tickets)+ahead+1-slots) / float64(slots)
	return time.Duration(max(turns, 0) * float64(p.meanWork))
}

// retryAfter returns when a refused request may be retried.
func (p *Pool) retryAfter(w poolWaiting, ahead int, now time.Duration) time.Duration {
	slots := p.slots(now)
	backlog := time.Duration(float64(len(p.tickets)+ahead) * float64(p.meanWork))
	return p.returns.refuse(w.Item, slots, backlog, now)
}

// server returns the server with the ID, or nil.
func (p *Pool) server(id string) *poolServer {
	i := slices.IndexFunc(p.servers, func(s *poolServer) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	return p.servers[i]
}

// itemMissesGoal returns 0 if the request would meet its goal when started now, and 1 otherwise.
func itemMissesGoal(item Item, now time.Duration) int {
	return asInt(now+item.Work > item.Goal)
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
