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
type Limiter struct {
	mu        sync.Mutex
	admission *AdmissionController
	// waiters holds the channels of the requests that are not decided yet.
	waiters map[Ticket]chan Decision
	// permits holds the permits that are not released yet.
	permits map[Ticket]*Permit
	// timer fires at wakeAt, when the state machine must advance.
	timer  *time.Timer
	wakeAt time.Time
}

// NewLimiter returns a limiter for a server; started is when this host learned of the
// server's incarnation, see NewAdmissionController.
func NewLimiter(config Config, started time.Time) *Limiter {
	return &Limiter{
		admission: NewAdmissionController(config, started),
		waiters:   make(map[Ticket]chan Decision),
		permits:   make(map[Ticket]*Permit),
	}
}

// Permit is the right to send one request to the server. Its holder must call
// Release or ReleaseShed.
type Permit struct {
	limiter    *Limiter
	ticket     Ticket
	admitted   time.Time
	serverLost chan struct{}
}

// ServerLost returns a channel that is closed when the server's incarnation or
// session ends while the request is in execution. The holder should then stop
// waiting for an answer.
func (p *Permit) ServerLost() <-chan struct{} {
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
func (l *Limiter) Acquire(ctx context.Context, flow string, deadline time.Time) (*Permit, outcome.Refusal, bool) {
	return l.AcquireFor(ctx, Request{Flow: flow, Deadline: deadline})
}

// AcquireFor is Acquire for a request that may have to run alone.
func (l *Limiter) AcquireFor(ctx context.Context, request Request) (*Permit, outcome.Refusal, bool) {
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
func (l *Limiter) Configure(config Config) {
	l.update(func(now time.Time) []Decision { return l.admission.Configure(now, config) })
}

// Inherit reserves slots for the former primary's requests until the given time.
func (l *Limiter) Inherit(count int, until time.Time) {
	l.update(func(now time.Time) []Decision { return l.admission.Inherit(now, count, until) })
}

// ObserveInFlight uses the number of requests in execution that the server reported
// in answer to a query sent at queriedAt, see AdmissionController.ObserveInFlight.
func (l *Limiter) ObserveInFlight(queriedAt time.Time, reported int) {
	l.update(func(now time.Time) []Decision { return l.admission.ObserveInFlight(now, queriedAt, reported) })
}

// Reset begins a cold start for a new incarnation of the server and closes the
// ServerLost channels of the requests in execution.
func (l *Limiter) Reset() {
	l.update(func(now time.Time) []Decision {
		l.notifyServerLost(l.admission.Reset(now))
		return l.admission.Advance(now)
	})
}

// Drain rejects all queued and all later requests. Requests in execution go on: the
// server still runs, but this host sends no more requests to it.
func (l *Limiter) Drain(refusal outcome.Refusal) {
	l.update(func(time.Time) []Decision {
		decisions, _ := l.admission.Close(refusal)
		return decisions
	})
}

// Close rejects all queued and all later requests, and closes the ServerLost
// channels of the requests in execution.
func (l *Limiter) Close(refusal outcome.Refusal) {
	l.update(func(time.Time) []Decision {
		decisions, running := l.admission.Close(refusal)
		l.notifyServerLost(running)
		return decisions
	})
}

// Stats returns the limiter's current state.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Stats(time.Now())
}

// update applies a change to the state machine and delivers the resulting decisions.
func (l *Limiter) update(change func(now time.Time) []Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.deliver(now, change(now))
}

// offer registers a request and returns the channel on which its decision arrives.
func (l *Limiter) offer(request Request) (Ticket, <-chan Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	ticket, decisions := l.admission.Offer(now, request)
	decisionCh := make(chan Decision, 1)
	l.waiters[ticket] = decisionCh
	l.deliver(now, decisions)
	return ticket, decisionCh
}

// cancel removes a queued request. It returns false if the request was decided
// before; its decision is then in its channel.
func (l *Limiter) cancel(ticket Ticket) (outcome.Refusal, bool) {
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
func (l *Limiter) deliver(now time.Time, decisions []Decision) {
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
func (l *Limiter) schedule(now time.Time) {
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

func (l *Limiter) wake() {
	l.update(func(now time.Time) []Decision {
		l.wakeAt = time.Time{}
		return l.admission.Advance(now)
	})
}

// resultOf converts a decision to the result of Acquire.
func (l *Limiter) resultOf(decision Decision) (*Permit, outcome.Refusal, bool) {
	if !decision.Admitted {
		return nil, decision.Refusal, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.permits[decision.Ticket], outcome.Refusal{}, true
}

func (l *Limiter) release(p *Permit, result Result) {
	l.update(func(now time.Time) []Decision {
		delete(l.permits, p.ticket)
		result.Took = now.Sub(p.admitted)
		return l.admission.Finish(now, p.ticket, result)
	})
}

// notifyServerLost closes the ServerLost channels of the given requests.
func (l *Limiter) notifyServerLost(tickets []Ticket) {
	for _, ticket := range tickets {
		permit := l.permits[ticket]
		select {
		case <-permit.serverLost:
		default:
			close(permit.serverLost)
		}
	}
}
