package limit

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

const (
	// serviceTimeWeight is the share of a new sample in the mean service time, as its reciprocal.
	serviceTimeWeight = 8
	// minRetryAfter is the shortest time after which a refused caller may come back.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest such time.
	maxRetryAfter = 30 * time.Second
	// recoverAfter is the number of executed requests for each slot after which a
	// server that has shed load gets one more slot.
	recoverAfter = 4
	// settleTime is how long after its admission a request counts as arrived at the server.
	settleTime = 100 * time.Millisecond
)

// Result tells what became of an admitted request.
type Result struct {
	// Executed says that the server answered the request after executing it.
	Executed bool
	// Shed says that the server refused the request because it had too much to do.
	Shed bool
	// Took is the time from the request's admission to its end.
	Took time.Duration
}

// Event is the decision on a waiting or a new request.
type Event struct {
	Ticket   Ticket
	Admitted bool
	// Refusal is the final answer where the request was not admitted.
	Refusal outcome.Refusal
}

// Admission is the state machine that admits requests to one backend server.
// Its methods return the decisions that they caused. It is not safe for
// concurrent use.
type Admission struct {
	config      Config
	started     time.Time
	closed      bool
	closing     outcome.Refusal
	last        Ticket
	running     map[Ticket]time.Time
	alone       Ticket
	queue       fairQueue
	inherited   int
	inheritedTo time.Time
	service     time.Duration
	// ceiling is the number of slots that a server which has shed load gets, zero
	// where it gets all; executed counts towards its rise.
	ceiling  int
	executed int
}

// NewAdmission returns the admission to a server whose incarnation this host
// has known since the given time, from which its cold start counts. A host that
// knows only later that the server started thus never overestimates its slots.
func NewAdmission(config Config, started time.Time) *Admission {
	return &Admission{
		config:  config.normal(),
		started: started,
		running: make(map[Ticket]time.Time),
		queue:   newFairQueue(),
	}
}

// Configure changes the limits. Requests in execution above a lowered limit
// finish; no other is admitted until they have.
func (a *Admission) Configure(now time.Time, config Config) []Event {
	a.config = config.normal()
	return a.Advance(now)
}

// Reset begins a cold start because the server has a new incarnation. It
// returns the requests that were in execution: they cannot be answered any more, and they
// keep their slots until they are finished here, so that none of them can reach
// the new incarnation in addition to its allowance.
func (a *Admission) Reset(now time.Time) []Ticket {
	a.started = now
	a.inherited = 0
	a.service = 0
	a.ceiling = 0
	return a.runningTickets()
}

// Inherit reserves slots for requests that a former lead has sent, until the
// given time, by which the last of them has passed its deadline.
func (a *Admission) Inherit(now time.Time, count int, until time.Time) []Event {
	a.inherited = max(count, 0)
	a.inheritedTo = until
	return a.Advance(now)
}

// ObserveInFlight lowers the inherited number by the server's own word. The
// number was told in answer to a question asked at the given time. Requests of
// this host that had been admitted well before are taken off it.
func (a *Admission) ObserveInFlight(now, asked time.Time, told int) []Event {
	settled := 0
	for _, admitted := range a.running {
		if asked.Sub(admitted) >= settleTime {
			settled++
		}
	}
	a.inherited = min(a.inherited, max(told-settled, 0))
	return a.Advance(now)
}

// Request describes a request that asks for admission.
type Request struct {
	// Flow is what the queue is fair to: the request's key, or whatever stands for its caller.
	Flow string
	// Deadline is the latest time of admission.
	Deadline time.Time
	// Alone asks that nothing else is in execution together with the request.
	Alone bool
}

// Offer asks for the admission of a request. Without an event for its ticket
// among the returned ones the request waits.
func (a *Admission) Offer(now time.Time, request Request) (Ticket, []Event) {
	a.last++
	ticket := a.last
	events := a.Advance(now)
	if a.closed {
		return ticket, append(events, refused(ticket, a.closing))
	}
	if !request.Deadline.After(now) {
		return ticket, append(events, refused(ticket, a.refusal(now, outcome.ReasonDeadline)))
	}
	w := waiting{ticket: ticket, flow: request.Flow, deadline: request.Deadline, alone: request.Alone}
	if a.queue.length == 0 && a.admissible(now, w) {
		return ticket, append(events, a.admit(now, w))
	}
	if a.wait(now, a.queue.ahead(w.flow)) >= w.deadline.Sub(now) {
		return ticket, append(events, refused(ticket, a.refusal(now, a.overloadReason(now))))
	}
	events = append(events, a.enqueue(now, w)...)
	return ticket, append(events, a.admitWaiting(now)...)
}

// Finish ends an admitted request and returns its slot.
func (a *Admission) Finish(now time.Time, ticket Ticket, result Result) []Event {
	if _, ok := a.running[ticket]; !ok {
		return nil
	}
	delete(a.running, ticket)
	if a.alone == ticket {
		a.alone = 0
	}
	switch {
	case result.Shed:
		a.lowerCeiling()
	case result.Executed:
		a.observeService(result.Took)
		a.raiseCeiling(now)
	case result.Took > a.service:
		// The server took at least that long and was not done.
		a.observeService(result.Took)
	}
	return a.Advance(now)
}

// Cancel removes a waiting request. It returns false where the request does not wait.
func (a *Admission) Cancel(ticket Ticket) bool {
	removed := a.queue.removeIf(func(w waiting) bool { return w.ticket == ticket })
	return len(removed) > 0
}

// Advance applies the passing of time: it refuses waiting requests that have
// passed their deadlines and admits others to free slots.
func (a *Admission) Advance(now time.Time) []Event {
	if a.inherited > 0 && !now.Before(a.inheritedTo) {
		a.inherited = 0
	}
	var events []Event
	for _, w := range a.queue.expire(now) {
		events = append(events, refused(w.ticket, a.refusal(now, outcome.ReasonDeadline)))
	}
	return append(events, a.admitWaiting(now)...)
}

// admitWaiting admits waiting requests to free slots, the flows in turn. A
// request that has to be alone is waited for, so that the others drain, but not
// while inherited requests are in execution, whose end is not known.
func (a *Admission) admitWaiting(now time.Time) []Event {
	var events []Event
	for skipped := 0; skipped < len(a.queue.turns); {
		w, _ := a.queue.peek()
		switch {
		case a.admissible(now, w):
			a.queue.pop()
			events = append(events, a.admit(now, w))
			skipped = 0
		case w.alone && a.inherited > 0:
			a.queue.rotate()
			skipped++
		default:
			return events
		}
	}
	return events
}

// NextWake returns when Advance has to be called although nothing else happens,
// and false where it need not.
func (a *Admission) NextWake(now time.Time) (time.Time, bool) {
	if a.queue.length == 0 {
		return time.Time{}, false
	}
	wake := a.queue.soonest
	if step, rises := a.config.nextStep(now.Sub(a.started)); rises {
		wake = earlier(wake, a.started.Add(step))
	}
	if a.inherited > 0 {
		wake = earlier(wake, a.inheritedTo)
	}
	return wake, true
}

// Close refuses all waiting and all later requests with the given answer. It
// returns the events and the requests in execution, which keep their slots.
func (a *Admission) Close(refusal outcome.Refusal) ([]Event, []Ticket) {
	a.closed = true
	a.closing = refusal
	var events []Event
	for _, w := range a.queue.removeIf(func(waiting) bool { return true }) {
		events = append(events, refused(w.ticket, refusal))
	}
	return events, a.runningTickets()
}

// Stats describes an Admission at one time.
type Stats struct {
	Slots     int           `json:"slots"`
	Running   int           `json:"running"`
	Inherited int           `json:"inherited"`
	Queued    int           `json:"queued"`
	Flows     int           `json:"flows"`
	Service   time.Duration `json:"service_ns"`
}

// Stats returns the present state.
func (a *Admission) Stats(now time.Time) Stats {
	return Stats{
		Slots:     a.slots(now),
		Running:   len(a.running),
		Inherited: a.inherited,
		Queued:    a.queue.length,
		Flows:     len(a.queue.flows),
		Service:   a.service,
	}
}

// slots returns the number of slots that the server gets now.
func (a *Admission) slots(now time.Time) int {
	slots := a.config.SlotsAt(now.Sub(a.started))
	if a.ceiling > 0 {
		return min(slots, a.ceiling)
	}
	return slots
}

// lowerCeiling gives the server as many slots as it had in use when it shed a request.
func (a *Admission) lowerCeiling() {
	a.ceiling = max(len(a.running), 1)
	a.executed = 0
}

// raiseCeiling gives the server a slot back when it has executed enough requests.
func (a *Admission) raiseCeiling(now time.Time) {
	if a.ceiling == 0 {
		return
	}
	a.executed++
	if a.executed < recoverAfter*a.ceiling {
		return
	}
	a.executed = 0
	a.ceiling++
	if a.ceiling >= a.config.SlotsAt(now.Sub(a.started)) {
		a.ceiling = 0
	}
}

func (a *Admission) free(now time.Time) int {
	if a.closed || a.alone != 0 {
		return 0
	}
	return a.slots(now) - len(a.running) - a.inherited
}

// admissible reports whether a request may be in execution from now on.
func (a *Admission) admissible(now time.Time, w waiting) bool {
	if w.alone && len(a.running)+a.inherited > 0 {
		return false
	}
	return a.free(now) > 0
}

func (a *Admission) admit(now time.Time, w waiting) Event {
	a.running[w.ticket] = now
	if w.alone {
		a.alone = w.ticket
	}
	return Event{Ticket: w.ticket, Admitted: true}
}

// enqueue lets a request wait. Where the queue is full, the request takes the
// place of the youngest one of the longest flow, or is refused.
func (a *Admission) enqueue(now time.Time, w waiting) []Event {
	if a.queue.length < a.config.QueueLimit {
		a.queue.push(w)
		return nil
	}
	dropped, ok := a.queue.dropFor(w.flow)
	if !ok {
		return []Event{refused(w.ticket, a.refusal(now, a.overloadReason(now)))}
	}
	a.queue.push(w)
	return []Event{refused(dropped.ticket, a.refusal(now, a.overloadReason(now)))}
}

// wait estimates how long a request waits that has the given number ahead of it.
func (a *Admission) wait(now time.Time, ahead int) time.Duration {
	slots := max(a.slots(now)-a.inherited, 1)
	return a.service * time.Duration(ahead+1) / time.Duration(slots)
}

func (a *Admission) observeService(took time.Duration) {
	if a.service == 0 {
		a.service = took
		return
	}
	a.service += (took - a.service) / serviceTimeWeight
}

func (a *Admission) overloadReason(now time.Time) outcome.Reason {
	if a.slots(now) < a.config.Slots {
		return outcome.ReasonWarming
	}
	return outcome.ReasonOverloaded
}

// refusal returns a refusal that asks the caller to come back when the present queue has been served.
func (a *Admission) refusal(now time.Time, reason outcome.Reason) outcome.Refusal {
	after := a.wait(now, a.queue.length)
	return outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     reason,
		RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
	}
}

func (a *Admission) runningTickets() []Ticket {
	tickets := make([]Ticket, 0, len(a.running))
	for ticket := range a.running {
		tickets = append(tickets, ticket)
	}
	return tickets
}

func refused(ticket Ticket, refusal outcome.Refusal) Event {
	return Event{Ticket: ticket, Refusal: refusal}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
