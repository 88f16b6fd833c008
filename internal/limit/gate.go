package limit

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Gate admits concurrent requests to one backend server. It is safe for
// concurrent use and starts no goroutine of its own.
type Gate struct {
	mu        sync.Mutex
	admission *Admission
	waiters   map[Ticket]chan Event
	permits   map[Ticket]*Permit
	timer     *time.Timer
	wakeAt    time.Time
}

// NewGate returns a gate to a server whose incarnation this host has known
// since the given time.
func NewGate(config Config, started time.Time) *Gate {
	return &Gate{
		admission: NewAdmission(config, started),
		waiters:   make(map[Ticket]chan Event),
		permits:   make(map[Ticket]*Permit),
	}
}

// Permit is the right to execute one request. Its holder must release it.
type Permit struct {
	gate     *Gate
	ticket   Ticket
	admitted time.Time
	lost     chan struct{}
}

// Lost is closed when the server's incarnation or session has ended while the
// request was in execution. The holder then stops waiting for an answer.
func (p *Permit) Lost() <-chan struct{} {
	return p.lost
}

// Release returns the slot. Executed says that the server executed the request
// and answered it. Only the first call of a release method has an effect.
func (p *Permit) Release(executed bool) {
	p.gate.release(p, Result{Executed: executed})
}

// ReleaseShed returns the slot of a request that the server refused because it
// had too much to do. The server gets fewer slots until it has recovered.
func (p *Permit) ReleaseShed() {
	p.gate.release(p, Result{Shed: true})
}

// Acquire waits for a slot for a request of the given flow. It returns a permit
// and true, or the request's refusal and false. The refusal says truly that
// nothing ran.
func (g *Gate) Acquire(ctx context.Context, flow string, deadline time.Time) (*Permit, outcome.Refusal, bool) {
	return g.AcquireFor(ctx, Request{Flow: flow, Deadline: deadline})
}

// AcquireFor does the same for a request that may ask to be alone.
func (g *Gate) AcquireFor(ctx context.Context, request Request) (*Permit, outcome.Refusal, bool) {
	ticket, decided := g.offer(request)
	select {
	case event := <-decided:
		return g.accept(event)
	case <-ctx.Done():
	}
	if refusal, removed := g.cancel(ticket); removed {
		return nil, refusal, false
	}
	return g.accept(<-decided)
}

// Configure changes the limits.
func (g *Gate) Configure(config Config) {
	g.update(func(now time.Time) []Event { return g.admission.Configure(now, config) })
}

// Inherit reserves slots for the former lead's requests until the given time.
func (g *Gate) Inherit(count int, until time.Time) {
	g.update(func(now time.Time) []Event { return g.admission.Inherit(now, count, until) })
}

// ObserveInFlight takes in the number of requests in execution that the server
// told in answer to a question asked at the given time.
func (g *Gate) ObserveInFlight(asked time.Time, told int) {
	g.update(func(now time.Time) []Event { return g.admission.ObserveInFlight(now, asked, told) })
}

// Reset begins a cold start for a new incarnation of the server.
func (g *Gate) Reset() {
	g.update(func(now time.Time) []Event {
		g.markLost(g.admission.Reset(now))
		return g.admission.Advance(now)
	})
}

// Drain refuses all waiting and all later requests at once. Requests in
// execution go on: the server is still there, only this host sends no more to it.
func (g *Gate) Drain(refusal outcome.Refusal) {
	g.update(func(time.Time) []Event {
		events, _ := g.admission.Close(refusal)
		return events
	})
}

// Close does the same and tells the requests in execution that their server is lost.
func (g *Gate) Close(refusal outcome.Refusal) {
	g.update(func(time.Time) []Event {
		events, running := g.admission.Close(refusal)
		g.markLost(running)
		return events
	})
}

// Stats returns the gate's present state.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Stats(time.Now())
}

// update runs a change of the state machine and delivers its decisions.
func (g *Gate) update(change func(now time.Time) []Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.deliver(now, change(now))
}

func (g *Gate) offer(request Request) (Ticket, <-chan Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	ticket, events := g.admission.Offer(now, request)
	decided := make(chan Event, 1)
	g.waiters[ticket] = decided
	g.deliver(now, events)
	return ticket, decided
}

// cancel removes a waiting request. It returns false where the request was
// decided before, in which case its event is in the channel.
func (g *Gate) cancel(ticket Ticket) (outcome.Refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admission.Cancel(ticket) {
		return outcome.Refusal{}, false
	}
	delete(g.waiters, ticket)
	// Requests may have waited behind it for slots that were free.
	now := time.Now()
	g.deliver(now, g.admission.Advance(now))
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline, RetryAfter: minRetryAfter}, true
}

// deliver sends each decision to its waiter and sets the timer anew.
func (g *Gate) deliver(now time.Time, events []Event) {
	for _, event := range events {
		decided := g.waiters[event.Ticket]
		delete(g.waiters, event.Ticket)
		if event.Admitted {
			g.permits[event.Ticket] = &Permit{
				gate:     g,
				ticket:   event.Ticket,
				admitted: now,
				lost:     make(chan struct{}),
			}
		}
		decided <- event
	}
	g.schedule(now)
}

// schedule sets the timer to the next time at which a decision is due.
func (g *Gate) schedule(now time.Time) {
	wake, ok := g.admission.NextWake(now)
	if !ok || wake.Equal(g.wakeAt) {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.wakeAt = wake
	g.timer = time.AfterFunc(wake.Sub(now), g.wake)
}

func (g *Gate) wake() {
	g.update(func(now time.Time) []Event {
		g.wakeAt = time.Time{}
		return g.admission.Advance(now)
	})
}

// accept turns a decision into the result of Acquire.
func (g *Gate) accept(event Event) (*Permit, outcome.Refusal, bool) {
	if !event.Admitted {
		return nil, event.Refusal, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.permits[event.Ticket], outcome.Refusal{}, true
}

func (g *Gate) release(p *Permit, result Result) {
	g.update(func(now time.Time) []Event {
		delete(g.permits, p.ticket)
		result.Took = now.Sub(p.admitted)
		return g.admission.Finish(now, p.ticket, result)
	})
}

func (g *Gate) markLost(tickets []Ticket) {
	for _, ticket := range tickets {
		permit := g.permits[ticket]
		select {
		case <-permit.lost:
		default:
			close(permit.lost)
		}
	}
}
