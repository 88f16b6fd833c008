package dispatch

import (
	"context"
	"sync"
	"time"
)

// PoolGate is the admission gate of a pool: concurrent requests wait in it for a slot at one of its servers. It is safe
// for concurrent use.
type PoolGate struct {
	clock func() time.Duration

	mu   sync.Mutex
	pool *Pool
	// waiters holds a channel for each request without a decision. Each channel has room for the decision.
	waiters map[Ticket]chan PoolDecision
}

// NewPoolGate returns the gate of a pool without servers.
func NewPoolGate(clock func() time.Duration) *PoolGate {
	return &PoolGate{clock: clock, pool: NewPool(clock()), waiters: make(map[Ticket]chan PoolDecision)}
}

// Acquire waits for a slot at one of the servers. If the decision admits the request, the caller must call Finish. A
// request whose context ends, or whose latest time to begin passes, is refused.
func (g *PoolGate) Acquire(ctx context.Context, item PoolItem) PoolDecision {
	ticket, decisionCh := g.offer(item)
	ctx, cancel := context.WithTimeout(ctx, item.Deadline-item.Work-g.clock())
	defer cancel()
	select {
	case decision := <-decisionCh:
		return decision
	case <-ctx.Done():
	}
	if g.cancel(ticket) {
		return PoolDecision{Decision: Decision{Ticket: ticket, RetryAfter: minRetryAfter}}
	}
	// The decision was made at the same time as the context ended.
	return <-decisionCh
}

// offer queues the request and returns the channel on which its decision arrives.
func (g *PoolGate) offer(item PoolItem) (Ticket, <-chan PoolDecision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, decisions := g.pool.Offer(item, g.clock())
	decisionCh := make(chan PoolDecision, 1)
	g.waiters[ticket] = decisionCh
	g.deliver(decisions)
	return ticket, decisionCh
}

// cancel removes a waiting request. It returns false if the request already has a decision.
func (g *PoolGate) cancel(ticket Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pool.Cancel(ticket) {
		return false
	}
	delete(g.waiters, ticket)
	return true
}

// Finish frees the ticket of a request that took the given time at the server, zero if that is unknown.
func (g *PoolGate) Finish(ticket Ticket, end PoolEnd, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.pool.Finish(ticket, end, took, g.clock()))
}

// Restart makes the pool begin like a new one.
func (g *PoolGate) Restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Restart(g.clock())
}

// SetServers replaces the list of servers.
func (g *PoolGate) SetServers(servers []PoolServer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.pool.SetServers(servers, g.clock()))
}

// SetWidth sets the maximum number of requests at a server.
func (g *PoolGate) SetWidth(id string, width int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.pool.SetWidth(id, width, g.clock()))
}

// Advance makes the decisions that have become due. The owner calls it regularly, because tickets expire without an
// event.
func (g *PoolGate) Advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.pool.Advance(g.clock()))
}

// Len returns the numbers of admitted and of waiting requests.
func (g *PoolGate) Len() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Len()
}

// deliver passes decisions to the waiting requests. The caller holds the lock.
func (g *PoolGate) deliver(decisions []PoolDecision) {
	for _, decision := range decisions {
		g.waiters[decision.Ticket] <- decision
		delete(g.waiters, decision.Ticket)
	}
}
