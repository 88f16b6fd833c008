package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// queuedAtFastServer is the number of requests sent to a fast server beyond its slots. The request that waits there
	// starts without the delay of the messages between the hosts. In the replay of pool_replay_test.go, one more at every
	// server has more urgent requests miss their goal, and none at any has more of the others refused.
	queuedAtFastServer = 1
	// fastSlowness is the slowness below which a server counts as fast.
	fastSlowness = 0.9
	// halfWidthFor is how long a new pool uses half of each server's width. Requests that an earlier dispatcher has
	// admitted may still run, and hosts name theirs only when they ask.
	halfWidthFor = time.Second
	// sortInterval is the time between two complete passes over the waiting requests. Between them, the order in which
	// requests are admitted lags behind the times by which goals are missed.
	sortInterval = 10 * time.Millisecond
	// ticketGrace is how long after its deadline a ticket is freed that its host has not finished.
	ticketGrace = 250 * time.Millisecond
	// otherLoadFor is how long the requests count that a host sends without tickets, after it has named them.
	otherLoadFor = time.Second
	// speedWeight is the weight of a new sample in the average of a server's slowness.
	speedWeight = 0.1
	// maxSlowness caps one sample of a server's slowness.
	maxSlowness = 8.0
)

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
	rank float64
}

// otherLoad is the load of one host that the pool did not admit.
type otherLoad struct {
	counts map[string]int
	until  time.Duration
}

// Pool holds the requests for the servers of a service that may all execute them, and decides which server gets which
// request, and when. It is not safe for concurrent use.
type Pool struct {
	startedAt time.Duration
	servers   []*poolServer
	// waiting is sorted as of sortedAt. ranked says that its requests have ranks, since they are of several accounts.
	waiting    []poolWaiting
	sortedAt   time.Duration
	ranked     bool
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

// Restart makes the pool begin like a new one, which uses half of each server's width at first.
func (p *Pool) Restart(now time.Duration) {
	p.startedAt = now
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
	p.insert(poolWaiting{PoolItem: item, ticket: ticket, returned: p.returns.arrive(item.Item, now)}, now)
	decisions := p.Advance(now)
	if i := slices.IndexFunc(p.waiting, func(w poolWaiting) bool { return w.ticket == ticket }); i >= 0 {
		if refusal, refused := p.refusal(p.waiting[i], i, now); refused {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			decisions = append(decisions, refusal)
		}
	}
	return ticket, decisions
}

// insert adds a request at its place in the order.
func (p *Pool) insert(w poolWaiting, now time.Duration) {
	if len(p.waiting) > 0 && !p.ranked && w.Account != p.waiting[0].Account {
		p.waiting = append(p.waiting, w)
		p.sort(now)
		return
	}
	if p.ranked {
		w.rank = p.fairness.Rank(w.Priority, w.Account, w.Weight)
	}
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b poolWaiting) int { return comparePoolOrder(a, b, now) })
	p.waiting = slices.Insert(p.waiting, i, w)
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

// Advance admits requests to free slots. At regular intervals it also frees expired tickets, sorts the requests, and
// refuses those that can't meet their deadline.
func (p *Pool) Advance(now time.Duration) []PoolDecision {
	if now-p.sortedAt < sortInterval {
		return p.admitWaiting(now)
	}
	p.expire(now)
	p.sort(now)
	decisions := p.admitWaiting(now)
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if refusal, refused := p.refusal(w, len(kept), now); refused {
			decisions = append(decisions, refusal)
			continue
		}
		kept = append(kept, w)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return decisions
}

// admitWaiting admits waiting requests in their order while servers have room.
func (p *Pool) admitWaiting(now time.Duration) []PoolDecision {
	load := p.otherLoads()
	var decisions []PoolDecision
	for i := 0; i < len(p.waiting); {
		w := p.waiting[i]
		s := p.pick(w, load, now)
		switch {
		case s != nil:
			p.waiting = slices.Delete(p.waiting, i, i+1)
			decisions = append(decisions, p.admit(w, s, now))
		case len(w.Excluded) == 0:
			return decisions
		default:
			i++
		}
	}
	return decisions
}

// refusal refuses a request with the given number of others ahead of it if no server may get it or if, by the expected
// wait, it can't meet its deadline. It returns false if the request may wait.
func (p *Pool) refusal(w poolWaiting, ahead int, now time.Duration) (PoolDecision, bool) {
	noServer := !slices.ContainsFunc(p.servers, func(s *poolServer) bool { return s.mayGet(w) })
	expected := now + time.Duration(waitMargin*float64(p.wait(ahead, now))) + w.Work
	if !noServer && expected <= w.Deadline {
		return PoolDecision{}, false
	}
	return PoolDecision{Decision: Decision{Ticket: w.ticket, RetryAfter: p.retryAfter(w, p.waiting[:ahead], now)}, NoServer: noServer}, true
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
	p.sortedAt = now
	for i := range p.waiting {
		p.waiting[i].rank = 0
	}
	inOrder := func(a, b poolWaiting) int { return comparePoolOrder(a, b, now) }
	slices.SortFunc(p.waiting, inOrder)
	p.ranked = slices.ContainsFunc(p.waiting, func(w poolWaiting) bool { return w.Account != p.waiting[0].Account })
	if !p.ranked {
		return
	}
	p.fairness.BeginRanking()
	for i, w := range p.waiting {
		p.waiting[i].rank = p.fairness.Rank(w.Priority, w.Account, w.Weight)
	}
	slices.SortFunc(p.waiting, inOrder)
}

// comparePoolOrder compares the places of two requests in the order.
func comparePoolOrder(a, b poolWaiting, now time.Duration) int {
	return cmp.Or(
		comparePoolUrgency(a, b, now),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.Goal, b.Goal),
		cmp.Compare(a.ticket, b.ticket),
	)
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

// pick returns the server that gets a request now, or nil if it has to wait: all servers of the best class have no room.
func (p *Pool) pick(w poolWaiting, load map[string]int, now time.Duration) *poolServer {
	var best *poolServer
	bestRank, bestCost := 0, 0.0
	lowest := rankLast
	for _, s := range p.servers {
		if !s.mayGet(w) {
			continue
		}
		rank := s.rank(now)
		lowest = min(lowest, rank)
		busy := s.running + load[s.ID]
		if busy >= p.widthOf(s, now) {
			continue
		}
		cost := s.cost(busy)
		if best == nil || cmp.Or(cmp.Compare(rank, bestRank), cmp.Compare(cost, bestCost), cmp.Compare(s.usedAt, best.usedAt)) < 0 {
			best, bestRank, bestCost = s, rank, cost
		}
	}
	if bestRank > lowest {
		return nil
	}
	return best
}

// admit gives the request a ticket for the server.
func (p *Pool) admit(w poolWaiting, s *poolServer, now time.Duration) PoolDecision {
	if len(p.tickets) == 0 && len(p.waiting) <= 1 {
		p.fairness.Idle()
	}
	p.fairness.Admitted(w.Priority, w.Account, w.Weight)
	s.running++
	s.usedAt = uint64(w.ticket)
	p.tickets[w.ticket] = poolTicket{server: s, work: w.Work, expires: max(w.Deadline, now) + ticketGrace}
	return PoolDecision{Decision: Decision{Ticket: w.ticket, Admitted: true}, Server: s.ID, Born: s.Born}
}

// slots returns the number of slots of the servers that get requests, and of those that would get them last if there
// is no other.
func (p *Pool) slots(now time.Duration) int {
	slots, last := 0, 0
	for _, s := range p.servers {
		switch {
		case s.Leaving:
		case s.rank(now) > rankWarm:
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

// retryAfter returns when a refused request may be retried. By then the requests at the servers and the more urgent ones of
// those ahead of it should have ended: it will go before the others of its priority.
func (p *Pool) retryAfter(w poolWaiting, ahead []poolWaiting, now time.Duration) time.Duration {
	before := len(p.tickets)
	for _, other := range ahead {
		before += asInt(other.Priority < w.Priority)
	}
	return p.returns.refuse(w.Item, p.slots(now), time.Duration(float64(before)*float64(p.meanWork)), now)
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
