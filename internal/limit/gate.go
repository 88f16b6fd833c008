package limit

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Gate is the admission gate to one backend server: it makes an AdmissionController
// usable by concurrent requests. It is safe for concurrent use and starts no
// goroutine of its own; a timer applies the passing of time.
type Gate struct {
	mu        sync.Mutex
	admission *Admission
	// waiters holds the channels of the requests that are not decided yet.
	waiters map[Ticket]chan Event
	// permits holds the permits that are not released yet.
	permits map[Ticket]*Permit
	// timer fires at wakeAt, when the state machine must advance.
	timer  *time.Timer
	wakeAt time.Time
}

// NewGate returns a gate to a server; started is when this host learned of the
// server's incarnation, see NewAdmissionController.
func NewGate(config Config, started time.Time) *Gate {
	return &Gate{
		admission: NewAdmission(config, started),
		waiters:   make(map[Ticket]chan Event),
		permits:   make(map[Ticket]*Permit),
	}
}

// Permit is the right to send one request to the server. Its holder must call
// Release or ReleaseShed.
type Permit struct {
	gate       *Gate
	ticket     Ticket
	admitted   time.Time
	serverLost chan struct{}
}

// ServerLost returns a channel that is closed when the server's incarnation or
// session ends while the request is in execution. The holder should then stop
// waiting for an answer.
func (p *Permit) Lost() <-chan struct{} {
	return p.serverLost
}

// Release frees the slot. Executed means that the server executed the request and
// answered it. Only the first call of Release or ReleaseShed has an effect.
func (p *Permit) Release(executed bool) {
	p.gate.release(p, Result{Executed: executed})
}

// ReleaseShed frees the slot of a request that the server rejected because it was
// overloaded. The server gets fewer slots until it has recovered.
func (p *Permit) ReleaseShed() {
	p.gate.release(p, Result{Shed: true})
}

// Acquire waits for a slot for a request of the given flow. It returns a permit
// and true, or a refusal and false. A refusal guarantees that the request did not run.
func (g *Gate) Acquire(ctx context.Context, flow string, deadline time.Time) (*Permit, outcome.Refusal, bool) {
	return g.AcquireFor(ctx, Request{Flow: flow, Deadline: deadline})
}

// AcquireFor is Acquire for a request that may have to run in isolation.
func (g *Gate) AcquireFor(ctx context.Context, request Request) (*Permit, outcome.Refusal, bool) {
	ticket, decisionCh := g.offer(request)
	select {
	case decision := <-decisionCh:
		return g.resultOf(decision)
	case <-ctx.Done():
	}
	if refusal, removed := g.cancel(ticket); removed {
		return nil, refusal, false
	}
	return g.resultOf(<-decisionCh)
}

// Configure changes the limits.
func (g *Gate) Configure(config Config) {
	g.update(func(now time.Time) []Event { return g.admission.Configure(now, config) })
}

// Inherit reserves slots for the former primary's requests until the given time.
func (g *Gate) Inherit(count int, until time.Time) {
	g.update(func(now time.Time) []Event { return g.admission.Inherit(now, count, until) })
}

// ObserveInFlight uses the number of requests in execution that the server reported
// in answer to a query sent at queriedAt, see AdmissionController.ObserveInFlight.
func (g *Gate) ObserveInFlight(queriedAt time.Time, reported int) {
	g.update(func(now time.Time) []Event { return g.admission.ObserveInFlight(now, queriedAt, reported) })
}

// Reset begins a cold start for a new incarnation of the server and closes the
// ServerLost channels of the requests in execution.
func (g *Gate) Reset() {
	g.update(func(now time.Time) []Event {
		g.notifyServerLost(g.admission.Reset(now))
		return g.admission.Advance(now)
	})
}

// Drain rejects all queued and all later requests. Requests in execution go on: the
// server still runs, but this host sends no more requests to it.
func (g *Gate) Drain(refusal outcome.Refusal) {
	g.update(func(time.Time) []Event {
		decisions, _ := g.admission.Close(refusal)
		return decisions
	})
}

// Close rejects all queued and all later requests, and closes the ServerLost
// channels of the requests in execution.
func (g *Gate) Close(refusal outcome.Refusal) {
	g.update(func(time.Time) []Event {
		decisions, running := g.admission.Close(refusal)
		g.notifyServerLost(running)
		return decisions
	})
}

// Stats returns the gate's current state.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Stats(time.Now())
}

// update applies a change to the state machine and delivers the resulting decisions.
func (g *Gate) update(change func(now time.Time) []Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.deliver(now, change(now))
}

// offer registers a request and returns the channel on which its decision arrives.
func (g *Gate) offer(request Request) (Ticket, <-chan Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	ticket, decisions := g.admission.Offer(now, request)
	decisionCh := make(chan Event, 1)
	g.waiters[ticket] = decisionCh
	g.deliver(now, decisions)
	return ticket, decisionCh
}

// cancel removes a queued request. It returns false if the request was decided
// before; its decision is then in its channel.
func (g *Gate) cancel(ticket Ticket) (outcome.Refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admission.Cancel(ticket) {
		return outcome.Refusal{}, false
	}
	delete(g.waiters, ticket)
	// If the cancelled request waited to run in isolation, those behind it may
	// have been held back although slots were free.
	now := time.Now()
	g.deliver(now, g.admission.Advance(now))
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline, RetryAfter: minRetryAfter}, true
}

// deliver sends each decision to its waiter and resets the timer.
func (g *Gate) deliver(now time.Time, decisions []Event) {
	for _, decision := range decisions {
		decisionCh := g.waiters[decision.Ticket]
		delete(g.waiters, decision.Ticket)
		if decision.Admitted {
			g.permits[decision.Ticket] = &Permit{
				gate:       g,
				ticket:     decision.Ticket,
				admitted:   now,
				serverLost: make(chan struct{}),
			}
		}
		decisionCh <- decision
	}
	g.schedule(now)
}

// schedule sets the timer to the next time at which the state machine must advance.
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

// resultOf converts a decision to the result of Acquire.
func (g *Gate) resultOf(decision Event) (*Permit, outcome.Refusal, bool) {
	if !decision.Admitted {
		return nil, decision.Refusal, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.permits[decision.Ticket], outcome.Refusal{}, true
}

func (g *Gate) release(p *Permit, result Result) {
	g.update(func(now time.Time) []Event {
		delete(g.permits, p.ticket)
		result.Took = now.Sub(p.admitted)
		return g.admission.Finish(now, p.ticket, result)
	})
}

// notifyServerLost closes the ServerLost channels of the given requests.
func (g *Gate) notifyServerLost(tickets []Ticket) {
	for _, ticket := range tickets {
		permit := g.permits[ticket]
		select {
		case <-permit.serverLost:
		default:
			close(permit.serverLost)
		}
	}
}
