package dispatch

import (
	"context"
	"sync"
	"time"
)

// Gate lets concurrent requests wait for a place at one server. It is safe for concurrent use.
type Gate struct {
	clock func() time.Duration

	mu      sync.Mutex
	queue   *Queue
	waiters map[Ticket]chan Decision
}

// NewGate returns the gate of a server that takes the given number of requests at a time.
func NewGate(places int, clock func() time.Duration) *Gate {
	return &Gate{clock: clock, queue: NewQueue(places), waiters: make(map[Ticket]chan Decision)}
}

// Acquire waits for a place. Where it returns true, Release must follow.
func (g *Gate) Acquire(ctx context.Context, item Item) (retryAfter time.Duration, ok bool) {
	ticket, decided := g.offer(item)
	// A request that has not begun by then would not be answered in time.
	ctx, cancel := context.WithTimeout(ctx, item.Deadline-item.Work-g.clock())
	defer cancel()
	select {
	case decision := <-decided:
		return decision.RetryAfter, decision.Admitted
	case <-ctx.Done():
	}
	if g.cancel(ticket) {
		return minRetryAfter, false
	}
	decision := <-decided
	return decision.RetryAfter, decision.Admitted
}

func (g *Gate) offer(item Item) (Ticket, <-chan Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, decisions := g.queue.Offer(item, g.clock())
	decided := make(chan Decision, 1)
	g.waiters[ticket] = decided
	g.tell(decisions)
	return ticket, decided
}

func (g *Gate) cancel(ticket Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Cancel(ticket) {
		return false
	}
	delete(g.waiters, ticket)
	return true
}

// Release returns the place of a request that took the given time at the server; zero tells nothing.
func (g *Gate) Release(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.queue.Finish(took, g.clock()))
}

// Len returns the numbers of requests at the server and in the queue.
func (g *Gate) Len() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

func (g *Gate) tell(decisions []Decision) {
	for _, decision := range decisions {
		g.waiters[decision.Ticket] <- decision
		delete(g.waiters, decision.Ticket)
	}
}
