package limit

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Limiter limits the concurrent requests to one backend server: it makes an
// AdmissionController usable by concurrent requests. It is safe for concurrent use and
// starts no goroutine of its own; a timer applies the passing of time.
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

// NewLimiter returns a limiter for a server; started is when this host learned of the
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
	limiter    *Gate
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
	p.limiter.release(p, Result{Executed: executed})
}

// ReleaseShed frees the slot of a request that the server rejected because it was
// overloaded. The server gets fewer slots until it has recovered.
func (p *Permit) ReleaseShed() {
	p.limiter.release(p, Result{Shed: true})
}

// Acquire waits for a slot for a request of the given flow. It returns a permit
// and true, or a refusal and false. A refusal guarantees that the request did not run.
func (l *Gate) Acquire(ctx context.Context, flow string, deadline time.Time) (*Permit, outcome.Refusal, bool) {
	return l.AcquireFor(ctx, Request{Flow: flow, Deadline: deadline})
}

// AcquireFor is Acquire for a request that may have to run alone.
func (l *Gate) AcquireFor(ctx context.Context, request Request) (*Permit, outcome.Refusal, bool) {
	ticket, decisionCh := l.offer(request)
	select {
	case decision := <-decisionCh:
		return l.resultOf(decision)
	case <-ctx.Done():
	}
	if refusal, removed := l.cancel(ticket); removed {
		return nil, refusal, false
	}
	return l.resultOf(<-decisionCh)
}

// Configure changes the limits.
func (l *Gate) Configure(config Config) {
	l.update(func(now time.Time) []Event { return l.admission.Configure(now, config) })
}

// Inherit reserves slots for the former primary's requests until the given time.
func (l *Gate) Inherit(count int, until time.Time) {
	l.update(func(now time.Time) []Event { return l.admission.Inherit(now, count, until) })
}

// ObserveInFlight uses the number of requests in execution that the server reported
// in answer to a query sent at queriedAt, see AdmissionController.ObserveInFlight.
func (l *Gate) ObserveInFlight(queriedAt time.Time, reported int) {
	l.update(func(now time.Time) []Event { return l.admission.ObserveInFlight(now, queriedAt, reported) })
}

// Reset begins a cold start for a new incarnation of the server and closes the
// ServerLost channels of the requests in execution.
func (l *Gate) Reset() {
	l.update(func(now time.Time) []Event {
		l.notifyServerLost(l.admission.Reset(now))
		return l.admission.Advance(now)
	})
}

// Drain rejects all queued and all later requests. Requests in execution go on: the
// server still runs, but this host sends no more requests to it.
func (l *Gate) Drain(refusal outcome.Refusal) {
	l.update(func(time.Time) []Event {
		decisions, _ := l.admission.Close(refusal)
		return decisions
	})
}

// Close rejects all queued and all later requests, and closes the ServerLost
// channels of the requests in execution.
func (l *Gate) Close(refusal outcome.Refusal) {
	l.update(func(time.Time) []Event {
		decisions, running := l.admission.Close(refusal)
		l.notifyServerLost(running)
		return decisions
	})
}

// Stats returns the limiter's current state.
func (l *Gate) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Stats(time.Now())
}

// update applies a change to the state machine and delivers the resulting decisions.
func (l *Gate) update(change func(now time.Time) []Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.deliver(now, change(now))
}

// offer registers a request and returns the channel on which its decision arrives.
func (l *Gate) offer(request Request) (Ticket, <-chan Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	ticket, decisions := l.admission.Offer(now, request)
	decisionCh := make(chan Event, 1)
	l.waiters[ticket] = decisionCh
	l.deliver(now, decisions)
	return ticket, decisionCh
}

// cancel removes a queued request. It returns false if the request was decided
// before; its decision is then in its channel.
func (l *Gate) cancel(ticket Ticket) (outcome.Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.admission.Cancel(ticket) {
		return outcome.Refusal{}, false
	}
	delete(l.waiters, ticket)
	// If the cancelled request waited to run alone, those behind it may
	// have been held back although slots were free.
	now := time.Now()
	l.deliver(now, l.admission.Advance(now))
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline, RetryAfter: minRetryAfter}, true
}

// deliver sends each decision to its waiter and resets the timer.
func (l *Gate) deliver(now time.Time, decisions []Event) {
	for _, decision := range decisions {
		decisionCh := l.waiters[decision.Ticket]
		delete(l.waiters, decision.Ticket)
		if decision.Admitted {
			l.permits[decision.Ticket] = &Permit{
				limiter:    l,
				ticket:     decision.Ticket,
				admitted:   now,
				serverLost: make(chan struct{}),
			}
		}
		decisionCh <- decision
	}
	l.schedule(now)
}

// schedule sets the timer to the next time at which the state machine must advance.
func (l *Gate) schedule(now time.Time) {
	wake, ok := l.admission.NextWake(now)
	if !ok || wake.Equal(l.wakeAt) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.wakeAt = wake
	l.timer = time.AfterFunc(wake.Sub(now), l.wake)
}

func (l *Gate) wake() {
	l.update(func(now time.Time) []Event {
		l.wakeAt = time.Time{}
		return l.admission.Advance(now)
	})
}

// resultOf converts a decision to the result of Acquire.
func (l *Gate) resultOf(decision Event) (*Permit, outcome.Refusal, bool) {
	if !decision.Admitted {
		return nil, decision.Refusal, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.permits[decision.Ticket], outcome.Refusal{}, true
}

func (l *Gate) release(p *Permit, result Result) {
	l.update(func(now time.Time) []Event {
		delete(l.permits, p.ticket)
		result.Took = now.Sub(p.admitted)
		return l.admission.Finish(now, p.ticket, result)
	})
}

// notifyServerLost closes the ServerLost channels of the given requests.
func (l *Gate) notifyServerLost(tickets []Ticket) {
	for _, ticket := range tickets {
		permit := l.permits[ticket]
		select {
		case <-permit.serverLost:
		default:
			close(permit.serverLost)
		}
	}
}
