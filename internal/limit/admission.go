package limit

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

const (
	// serviceTimeDivisor divides the weight of a new sample in the moving average
	// of the service time: each sample has the weight 1/serviceTimeDivisor.
	serviceTimeDivisor = 8
	// minRetryAfter is the shortest retry-after time in a rejection.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest retry-after time in a rejection.
	maxRetryAfter = 30 * time.Second
	// requestsPerRestoredSlot is the number of requests that a server which has shed
	// load has to execute per slot before it gets one slot back.
	requestsPerRestoredSlot = 4
	// arrivalDelay is the time after its admission from which a request counts as
	// arrived at the server, and so as part of the number that the server reports.
	arrivalDelay = 100 * time.Millisecond
)

// Result describes how an admitted request ended.
type Result struct {
	// Executed means that the server executed the request and answered it.
	Executed bool
	// Shed means that the server rejected the request because it was overloaded.
	Shed bool
	// Took is the time from the request's admission to its end.
	Took time.Duration
}

// Decision admits or rejects a new or queued request.
type Decision struct {
	Ticket   Ticket
	Admitted bool
	// Refusal is the final answer to a request that was not admitted.
	Refusal outcome.Refusal
}

// AdmissionController is the state machine that admits requests to one backend
// server. Its methods return the decisions that they caused. It is not safe for
// concurrent use.
type AdmissionController struct {
	config Config
	// started is when the server's cold start began.
	started time.Time
	closed  bool
	// closeRefusal answers requests that come after Close.
	closeRefusal outcome.Refusal
	lastTicket   Ticket
	// running holds the admission time of each request in execution.
	running map[Ticket]time.Time
	// aloneTicket is the request that runs alone, or zero.
	aloneTicket Ticket
	queue       fairQueue
	// inherited is the number of slots reserved for the former primary's requests,
	// until inheritedUntil.
	inherited      int
	inheritedUntil time.Time
	// serviceTime is the moving average of the time from admission to the end.
	serviceTime time.Duration
	// slotCap is the reduced number of slots of a server that has shed load; zero
	// means no reduction. executedSinceCap counts the requests executed since
	// slotCap last changed.
	slotCap          int
	executedSinceCap int
}

// NewAdmissionController returns a controller for a server. The server's cold start
// counts from the time at which this host learned of its incarnation. A host that
// learns late of a start thus underestimates the server's slots, never overestimates them.
func NewAdmissionController(config Config, started time.Time) *AdmissionController {
	return &AdmissionController{
		config:  config.normalized(),
		started: started,
		running: make(map[Ticket]time.Time),
		queue:   newFairQueue(),
	}
}

// Configure changes the limits. Where more requests run than a lowered limit
// allows, they finish, and no other is admitted until the number is below the limit.
func (a *AdmissionController) Configure(now time.Time, config Config) []Decision {
	a.config = config.normalized()
	return a.Advance(now)
}

// Reset begins a cold start because the server has a new incarnation. It returns
// the requests that were in execution on the former one, which cannot be answered
// any more. They keep their slots until Finish is called for them: one that this
// host is still sending may reach the new incarnation, and must not exceed its slots.
func (a *AdmissionController) Reset(now time.Time) []Ticket {
	a.started = now
	a.inherited = 0
	a.serviceTime = 0
	a.slotCap = 0
	return a.runningTickets()
}

// Inherit reserves slots for requests that the former primary sent, until the
// given time, by which the last of them has passed its deadline.
func (a *AdmissionController) Inherit(now time.Time, count int, until time.Time) []Decision {
	a.inherited = max(count, 0)
	a.inheritedUntil = until
	return a.Advance(now)
}

// ObserveInFlight lowers the number of inherited requests to what the server
// reports. The report is the number of requests in execution and answers a query
// sent at queriedAt. Requests of this host that had arrived at the server by then
// are subtracted from it; the rest is the upper bound of the inherited ones.
func (a *AdmissionController) ObserveInFlight(now, queriedAt time.Time, reported int) []Decision {
	arrived := 0
	for _, admitted := range a.running {
		if queriedAt.Sub(admitted) >= arrivalDelay {
			arrived++
		}
	}
	a.inherited = min(a.inherited, max(reported-arrived, 0))
	return a.Advance(now)
}

// Request describes a request that asks for admission.
type Request struct {
	// Flow is the unit of fair queueing: the request's key, or a name for its caller.
	Flow string
	// Deadline is the latest time of admission.
	Deadline time.Time
	// Alone asks that no other request is in execution on the server at the same time.
	Alone bool
}

// Offer asks for the admission of a request. If the returned decisions contain
// none for its ticket, the request is queued.
func (a *AdmissionController) Offer(now time.Time, request Request) (Ticket, []Decision) {
	a.lastTicket++
	ticket := a.lastTicket
	decisions := a.Advance(now)
	if a.closed {
		return ticket, append(decisions, rejection(ticket, a.closeRefusal))
	}
	if !request.Deadline.After(now) {
		return ticket, append(decisions, rejection(ticket, a.refusal(now, outcome.ReasonDeadline)))
	}
	r := queuedRequest{ticket: ticket, flow: request.Flow, deadline: request.Deadline, alone: request.Alone}
	if a.queue.length == 0 && a.admissible(now, r) {
		return ticket, append(decisions, a.admit(now, r))
	}
	if a.estimatedWait(now, a.queue.queuedAhead(r.flow)) >= r.deadline.Sub(now) {
		return ticket, append(decisions, rejection(ticket, a.refusal(now, a.overloadReason(now))))
	}
	decisions = append(decisions, a.enqueue(now, r)...)
	return ticket, append(decisions, a.admitQueued(now)...)
}

// Finish ends an admitted request and frees its slot.
func (a *AdmissionController) Finish(now time.Time, ticket Ticket, result Result) []Decision {
	if _, ok := a.running[ticket]; !ok {
		return nil
	}
	delete(a.running, ticket)
	if a.aloneTicket == ticket {
		a.aloneTicket = 0
	}
	switch {
	case result.Shed:
		a.lowerSlotCap()
	case result.Executed:
		a.observeServiceTime(result.Took)
		a.raiseSlotCap(now)
	case result.Took > a.serviceTime:
		// The request got no answer, so its service time is at least Took. That
		// is a useful sample only where it is above the average.
		a.observeServiceTime(result.Took)
	}
	return a.Advance(now)
}

// Cancel removes a queued request. It returns false if the request is not queued.
func (a *AdmissionController) Cancel(ticket Ticket) bool {
	removed := a.queue.removeIf(func(r queuedRequest) bool { return r.ticket == ticket })
	return len(removed) > 0
}

// Advance applies the passing of time: it rejects queued requests whose deadlines
// have passed and admits others to free slots.
func (a *AdmissionController) Advance(now time.Time) []Decision {
	if a.inherited > 0 && !now.Before(a.inheritedUntil) {
		a.inherited = 0
	}
	var decisions []Decision
	for _, r := range a.queue.expire(now) {
		decisions = append(decisions, rejection(r.ticket, a.refusal(now, outcome.ReasonDeadline)))
	}
	return append(decisions, a.admitQueued(now)...)
}

// admitQueued admits queued requests to free slots, the flows in turn. When the
// next request must run alone, nothing is admitted past it, so that the
// running requests drain. While inherited requests are in execution it is skipped
// instead, because their end is not known and would block the queue.
func (a *AdmissionController) admitQueued(now time.Time) []Decision {
	var decisions []Decision
	for skipped := 0; skipped < len(a.queue.flowOrder); {
		r, _ := a.queue.peek()
		switch {
		case a.admissible(now, r):
			a.queue.pop()
			decisions = append(decisions, a.admit(now, r))
			skipped = 0
		case r.alone && a.inherited > 0:
			a.queue.rotate()
			skipped++
		default:
			return decisions
		}
	}
	return decisions
}

// NextWake returns when Advance must be called if no other method is called
// before, or false if it need not be called.
func (a *AdmissionController) NextWake(now time.Time) (time.Time, bool) {
	if a.queue.length == 0 {
		return time.Time{}, false
	}
	wake := a.queue.earliestDeadline
	if age, ok := a.config.nextSlotIncrease(now.Sub(a.started)); ok {
		wake = earlier(wake, a.started.Add(age))
	}
	if a.inherited > 0 {
		wake = earlier(wake, a.inheritedUntil)
	}
	return wake, true
}

// Close rejects all queued and all later requests with the given refusal. It
// returns the decisions and the requests in execution, which keep their slots.
func (a *AdmissionController) Close(refusal outcome.Refusal) ([]Decision, []Ticket) {
	a.closed = true
	a.closeRefusal = refusal
	var decisions []Decision
	for _, r := range a.queue.removeIf(func(queuedRequest) bool { return true }) {
		decisions = append(decisions, rejection(r.ticket, refusal))
	}
	return decisions, a.runningTickets()
}

// Stats is the state of an AdmissionController at one time.
type Stats struct {
	// Slots is the number of requests that the server may execute at a time now.
	Slots int `json:"slots"`
	// Running is the number of this host's requests in execution.
	Running int `json:"running"`
	// Inherited is the number of slots reserved for the former primary's requests.
	Inherited int `json:"inherited"`
	// Queued is the number of queued requests, Flows the number of their flows.
	Queued int `json:"queued"`
	Flows  int `json:"flows"`
	// Service is the moving average of the service time.
	Service time.Duration `json:"service_ns"`
}

// Stats returns the current state.
func (a *AdmissionController) Stats(now time.Time) Stats {
	return Stats{
		Slots:     a.slots(now),
		Running:   len(a.running),
		Inherited: a.inherited,
		Queued:    a.queue.length,
		Flows:     len(a.queue.flows),
		Service:   a.serviceTime,
	}
}

// slots returns the number of slots of the server at the given time.
func (a *AdmissionController) slots(now time.Time) int {
	slots := a.config.SlotsAt(now.Sub(a.started))
	if a.slotCap > 0 {
		return min(slots, a.slotCap)
	}
	return slots
}

// lowerSlotCap reduces the server's slots to the number that is still in use after
// it shed a request.
func (a *AdmissionController) lowerSlotCap() {
	a.slotCap = max(len(a.running), 1)
	a.executedSinceCap = 0
}

// raiseSlotCap counts an executed request and gives the server one slot back when
// it has executed enough of them.
func (a *AdmissionController) raiseSlotCap(now time.Time) {
	if a.slotCap == 0 {
		return
	}
	a.executedSinceCap++
	if a.executedSinceCap < requestsPerRestoredSlot*a.slotCap {
		return
	}
	a.executedSinceCap = 0
	a.slotCap++
	if a.slotCap >= a.config.SlotsAt(now.Sub(a.started)) {
		a.slotCap = 0
	}
}

// freeSlots returns the number of requests that may be admitted now. It is
// negative where a lowered limit is exceeded.
func (a *AdmissionController) freeSlots(now time.Time) int {
	if a.closed || a.aloneTicket != 0 {
		return 0
	}
	return a.slots(now) - len(a.running) - a.inherited
}

// admissible reports whether the request may be admitted now.
func (a *AdmissionController) admissible(now time.Time, r queuedRequest) bool {
	if r.alone && len(a.running)+a.inherited > 0 {
		return false
	}
	return a.freeSlots(now) > 0
}

func (a *AdmissionController) admit(now time.Time, r queuedRequest) Decision {
	a.running[r.ticket] = now
	if r.alone {
		a.aloneTicket = r.ticket
	}
	return Decision{Ticket: r.ticket, Admitted: true}
}

// enqueue queues a request. If the queue is full, the newest request of the longest
// flow is rejected in its favor, or the request itself if that would be unfair.
func (a *AdmissionController) enqueue(now time.Time, r queuedRequest) []Decision {
	if a.queue.length < a.config.QueueLimit {
		a.queue.push(r)
		return nil
	}
	dropped, ok := a.queue.evictFor(r.flow)
	if !ok {
		return []Decision{rejection(r.ticket, a.refusal(now, a.overloadReason(now)))}
	}
	a.queue.push(r)
	return []Decision{rejection(dropped.ticket, a.refusal(now, a.overloadReason(now)))}
}

// estimatedWait estimates the queueing time of a request that has the given number
// of requests ahead of it.
func (a *AdmissionController) estimatedWait(now time.Time, queuedAhead int) time.Duration {
	slots := max(a.slots(now)-a.inherited, 1)
	return a.serviceTime * time.Duration(queuedAhead+1) / time.Duration(slots)
}

func (a *AdmissionController) observeServiceTime(took time.Duration) {
	if a.serviceTime == 0 {
		a.serviceTime = took
		return
	}
	a.serviceTime += (took - a.serviceTime) / serviceTimeDivisor
}

func (a *AdmissionController) overloadReason(now time.Time) outcome.Reason {
	if a.slots(now) < a.config.Slots {
		return outcome.ReasonWarming
	}
	return outcome.ReasonOverloaded
}

// refusal returns a refusal whose retry-after time is the estimated time until the
// current queue has been served.
func (a *AdmissionController) refusal(now time.Time, reason outcome.Reason) outcome.Refusal {
	after := a.estimatedWait(now, a.queue.length)
	return outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     reason,
		RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
	}
}

func (a *AdmissionController) runningTickets() []Ticket {
	tickets := make([]Ticket, 0, len(a.running))
	for ticket := range a.running {
		tickets = append(tickets, ticket)
	}
	return tickets
}

func rejection(ticket Ticket, refusal outcome.Refusal) Decision {
	return Decision{Ticket: ticket, Refusal: refusal}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
