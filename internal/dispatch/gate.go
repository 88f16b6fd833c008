package dispatch

import (
	"context"
	"sync"
	"time"
)

// Gate is the admission gate of one server: concurrent requests wait in it for a slot. It is safe
// for concurrent use.
type Gate struct {
	clock func() time.Duration

	mu    sync.Mutex
	queue *Queue
	// waiters holds a channel for each request without a decision. Each channel has room for
	// the decision, so that deliver does not block.
	waiters map[Ticket]chan Decision
}

// NewGate returns the gate of a server that may have the given number of requests at a time.
func NewGate(slots int, clock func() time.Duration) *Gate {
	return &Gate{clock: clock, queue: NewQueue(slots), waiters: make(map[Ticket]chan Decision)}
}

// Acquire waits for a slot. If it returns true, the caller must call Release after the request. If
// it returns false, the request is refused and may be retried after retryAfter: the queue has
// refused it, the context has ended, or the latest time to begin has passed.
func (g *Gate) Acquire(ctx context.Context, item Item) (retryAfter time.Duration, ok bool) {
	ticket, decisionCh := g.offer(item)
	// A request that begins later than Deadline-Work would not be answered in time.
	ctx, cancel := context.WithTimeout(ctx, item.Deadline-item.Work-g.clock())
	defer cancel()
	select {
	case decision := <-decisionCh:
		return decision.RetryAfter, decision.Admitted
	case <-ctx.Done():
	}
	if g.cancel(ticket) {
		return minRetryAfter, false
	}
	// The decision was made at the same time as the context ended.
	decision := <-decisionCh
	return decision.RetryAfter, decision.Admitted
}

// offer queues the request and returns the channel on which its decision arrives.
func (g *Gate) offer(item Item) (Ticket, <-chan Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, decisions := g.queue.Offer(item, g.clock())
	decisionCh := make(chan Decision, 1)
	g.waiters[ticket] = decisionCh
	g.deliver(decisions)
	return ticket, decisionCh
}

// cancel removes a waiting request. It returns false if the request already has a decision.
func (g *Gate) cancel(ticket Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Cancel(ticket) {
		return false
	}
	delete(g.waiters, ticket)
	return true
}

// Release frees the slot of a request that took the given time at the server. Zero means that
// the time is unknown.
func (g *Gate) Release(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Finish(took, g.clock()))
}

// SetWidth changes the number of requests that the server may have at a time.
func (g *Gate) SetWidth(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.SetSlots(slots, g.clock()))
}

// Len returns the numbers of requests at the server and in the queue.
func (g *Gate) Len() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// deliver passes decisions to the waiting requests. The caller holds the lock.
func (g *Gate) deliver(decisions []Decision) {
	for _, decision := range decisions {
		g.waiters[decision.Ticket] <- decision
		delete(g.waiters, decision.Ticket)
	}
}
