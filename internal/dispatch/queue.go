// Package dispatch queues the requests for one backend server and decides which one the server
// gets next.
//
// Package front has one Gate for each incarnation of a server that owns keys, on the server's
// primary. Unless the primary fails, only it sends requests to such a server, so it knows how
// many the server has and never sends more than the server accepts. Requests that can still meet
// their latency goal go first, by priority. A request that can't be answered before its deadline
// is refused at once (load shedding), so that the caller can retry elsewhere or later instead of
// waiting in vain.
//
// Queue is a state machine without goroutines, locks or a clock, so that tests and experiments
// can run it in simulated time. Gate makes it usable by concurrent requests. Wrong estimates of
// how long requests take show here: requests are refused too early, or wait and miss their
// deadline.
package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Ticket identifies a request in a queue.
type Ticket uint64

// Item describes a request that needs a slot at the server. Times are readings of the host's
// monotonic clock.
type Item struct {
	// Account is the client account of the request, or empty.
	Account string
	// Caller is the same whenever a caller repeats the request, or zero if that is unknown.
	Caller uint64
	// Weight is the weight of the account; see Fairness.
	Weight FairWeight
	// Priority is the rank of the request; zero is the most urgent.
	Priority int
	// An answer that arrives by Goal has its full value; one after Deadline has none.
	Goal, Deadline time.Duration
	// Work is how long the server is expected to work on the request.
	Work time.Duration
}

// Decision admits or refuses a request.
type Decision struct {
	Ticket   Ticket
	Admitted bool
	// RetryAfter is the time after which a refused request may be retried.
	RetryAfter time.Duration
}

const (
	// workSampleWeight is the weight of a new sample in the moving average of the request time.
	workSampleWeight = 0.15
	// waitMargin is the factor by which a wait is assumed to be longer than estimated.
	waitMargin = 1.1
	// minRetryAfter and maxRetryAfter are the limits of RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// waiting is a request in the queue.
type waiting struct {
	Item
	ticket Ticket
	// returned says that the caller was refused before and has come back at the time that it was told.
	returned bool
	// rank is the request's place among the accounts of its priority; see Fairness.
	rank float64
}

// Queue holds the requests for one server. It is not safe for concurrent use.
type Queue struct {
	// slots is the maximum number of requests at the server, and running their current number.
	slots      int
	running    int
	lastTicket Ticket
	waiting    []waiting
	// meanWork is the moving average of the time that a request takes at the server, or zero
	// before the first sample.
	meanWork time.Duration
	returns  returnSchedule
	fairness Fairness
}

// NewQueue returns the queue of a server that may have the given number of requests at a time.
func NewQueue(slots int) *Queue {
	return &Queue{slots: max(slots, 1)}
}

// SetSlots changes the maximum number of requests at the server. Requests beyond a lower one stay there. It returns the
// decisions that follow.
func (q *Queue) SetSlots(slots int, now time.Duration) []Decision {
	if slots = max(slots, 1); slots == q.slots {
		return nil
	}
	q.slots = slots
	return q.Advance(now)
}

// Len returns the numbers of requests at the server and in the queue.
func (q *Queue) Len() (running, queued int) {
	return q.running, len(q.waiting)
}

// Offer adds a request. The decisions may be for this request and for waiting ones; if there is
// none for the returned ticket, the request waits.
func (q *Queue) Offer(item Item, now time.Duration) (Ticket, []Decision) {
	q.lastTicket++
	ticket := q.lastTicket
	returned := q.returns.arrive(item, now)
	if q.running < q.slots && len(q.waiting) == 0 {
		if q.running == 0 {
			q.fairness.Idle()
		}
		q.admit(item)
		return ticket, []Decision{{Ticket: ticket, Admitted: true}}
	}
	w := waiting{Item: item, ticket: ticket, returned: returned}
	q.waiting = append(q.waiting, w)
	q.sort(now)
	return ticket, q.refuseUnmeetable(now)
}

// Finish frees the slot of a request that took the given time; zero means that the time is
// unknown. It returns the decisions that follow.
func (q *Queue) Finish(took, now time.Duration) []Decision {
	q.running = max(q.running-1, 0)
	if took > 0 {
		q.updateMeanWork(took)
	}
	return q.Advance(now)
}

// Cancel removes a waiting request. It returns false if the request is not waiting.
func (q *Queue) Cancel(ticket Ticket) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiting) bool { return w.ticket == ticket })
	return len(q.waiting) < before
}

// Advance refuses the requests that can't meet their deadline and admits others to free slots.
func (q *Queue) Advance(now time.Duration) []Decision {
	q.sort(now)
	decisions := q.refuseUnmeetable(now)
	for q.running < q.slots && len(q.waiting) > 0 {
		decisions = append(decisions, Decision{Ticket: q.waiting[0].ticket, Admitted: true})
		q.admit(q.waiting[0].Item)
		q.waiting = q.waiting[1:]
	}
	return decisions
}

// admit counts a request that goes to the server.
func (q *Queue) admit(item Item) {
	q.running++
	q.fairness.Admitted(item.Priority, item.Account, item.Weight)
}

// updateMeanWork adds a request's time to the moving average.
func (q *Queue) updateMeanWork(took time.Duration) {
	if q.meanWork == 0 {
		q.meanWork = took
		return
	}
	q.meanWork += time.Duration(workSampleWeight * float64(took-q.meanWork))
}

// sort puts the waiting requests in the order in which they are admitted: those that can meet
// their goal first, then by priority, those whose callers come back at their time before new ones, then by
// turns of the client accounts, by goal and by arrival.
func (q *Queue) sort(now time.Duration) {
	slices.SortStableFunc(q.waiting, func(a, b waiting) int {
		return cmp.Or(
			compareUrgency(a, b, now),
			cmp.Compare(a.Goal, b.Goal),
			cmp.Compare(a.ticket, b.ticket),
		)
	})
	if !q.severalAccounts() {
		return
	}
	q.fairness.BeginRanking()
	for i, w := range q.waiting {
		q.waiting[i].rank = q.fairness.Rank(w.Priority, w.Account, w.Weight)
	}
	slices.SortStableFunc(q.waiting, func(a, b waiting) int {
		return cmp.Or(compareUrgency(a, b, now), cmp.Compare(a.rank, b.rank))
	})
}

// severalAccounts reports whether requests of more than one client account wait.
func (q *Queue) severalAccounts() bool {
	return slices.ContainsFunc(q.waiting, func(w waiting) bool { return w.Account != q.waiting[0].Account })
}

// compareUrgency compares what counts more than the accounts: whether the goal can be met, the priority, and whether
// the caller has come back at its time.
func compareUrgency(a, b waiting, now time.Duration) int {
	return cmp.Or(
		cmp.Compare(itemMissesGoal(a.Item, now), itemMissesGoal(b.Item, now)),
		cmp.Compare(a.Priority, b.Priority),
		-cmp.Compare(asInt(a.returned), asInt(b.returned)),
	)
}

// refuseUnmeetable refuses the requests that, by the expected wait, can't meet their deadline.
func (q *Queue) refuseUnmeetable(now time.Duration) []Decision {
	var decisions []Decision
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		wait := q.wait(len(kept))
		if now+time.Duration(waitMargin*float64(wait))+w.Work > w.Deadline {
			decisions = append(decisions, Decision{Ticket: w.ticket, RetryAfter: q.retryAfter(w, kept, now)})
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
	return decisions
}

// wait estimates the time until a request with the given number of others ahead of it gets a slot.
func (q *Queue) wait(ahead int) time.Duration {
	turns := float64(q.running+ahead+1-q.slots) / float64(q.slots)
	return time.Duration(max(turns, 0) * float64(q.meanWork))
}

// retryAfter returns when a refused request may be retried. By then the requests at the server and the more urgent ones of
// those ahead of it should have ended: it will go before the others of its priority.
func (q *Queue) retryAfter(w waiting, ahead []waiting, now time.Duration) time.Duration {
	before := q.running
	for _, other := range ahead {
		before += asInt(other.Priority < w.Priority)
	}
	return q.returns.refuse(w.Item, q.slots, time.Duration(float64(before)*float64(q.meanWork)), now)
}
