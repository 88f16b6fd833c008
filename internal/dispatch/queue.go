// Package dispatch decides which waiting request a backend server gets next.
//
// One host at a time, the lead of a server, sends to a server that owns keys, so the
// number of requests there is known exactly and none is sent that would not be taken.
// Those that can still meet their goal go first, the more urgent before the less
// urgent; a request that has no chance left is refused at once.
//
// Queue is the state machine. It has no goroutines, locks or clock. Gate makes it
// usable by concurrent requests.
package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Ticket names a request in a queue.
type Ticket uint64

// Item is a request that asks for a place at the server.
type Item struct {
	// Priority is the rank of the request; zero is the most urgent.
	Priority int
	// Goal is when the answer is worth most, Deadline when it is worth nothing.
	Goal, Deadline time.Duration
	// Work is how long the server is expected to take.
	Work time.Duration
}

// Decision is the end of a request's wait.
type Decision struct {
	Ticket   Ticket
	Admitted bool
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
}

const (
	// workWeight is the weight of a new sample in the mean time of a request.
	workWeight = 0.15
	// caution is the share by which a wait is assumed to be longer than expected.
	caution = 1.1
	// minRetryAfter and maxRetryAfter bound when a refused request may come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// waiting is a request in the queue.
type waiting struct {
	Item
	ticket Ticket
}

// Queue holds the requests for one server.
type Queue struct {
	places  int
	running int
	last    Ticket
	waiting []waiting
	work    time.Duration
}

// NewQueue returns the queue of a server that takes the given number of requests at a time.
func NewQueue(places int) *Queue {
	return &Queue{places: max(places, 1)}
}

// Len returns the numbers of requests at the server and in the queue.
func (q *Queue) Len() (running, queued int) {
	return q.running, len(q.waiting)
}

// Offer asks for a place. Without a decision for the ticket the request waits.
func (q *Queue) Offer(item Item, now time.Duration) (Ticket, []Decision) {
	q.last++
	ticket := q.last
	if q.running < q.places && len(q.waiting) == 0 {
		q.running++
		return ticket, []Decision{{Ticket: ticket, Admitted: true}}
	}
	w := waiting{Item: item, ticket: ticket}
	q.waiting = append(q.waiting, w)
	q.sort(now)
	return ticket, q.refuseHopeless(now)
}

// Finish returns the place of a request that took the given time; zero tells nothing.
func (q *Queue) Finish(took, now time.Duration) []Decision {
	q.running = max(q.running-1, 0)
	if took > 0 {
		q.learn(took)
	}
	return q.Advance(now)
}

// Cancel removes a waiting request. It returns false where the request does not wait.
func (q *Queue) Cancel(ticket Ticket) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiting) bool { return w.ticket == ticket })
	return len(q.waiting) < before
}

// Advance admits requests to free places and refuses those that have no chance left.
func (q *Queue) Advance(now time.Duration) []Decision {
	q.sort(now)
	decisions := q.refuseHopeless(now)
	for q.running < q.places && len(q.waiting) > 0 {
		decisions = append(decisions, Decision{Ticket: q.waiting[0].ticket, Admitted: true})
		q.waiting = q.waiting[1:]
		q.running++
	}
	return decisions
}

// learn takes a request's time into the mean.
func (q *Queue) learn(took time.Duration) {
	if q.work == 0 {
		q.work = took
		return
	}
	q.work += time.Duration(workWeight * float64(took-q.work))
}

// sort puts the requests in the order in which they are admitted.
func (q *Queue) sort(now time.Duration) {
	slices.SortStableFunc(q.waiting, func(a, b waiting) int {
		return cmp.Or(
			cmp.Compare(lateness(a, now), lateness(b, now)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Goal, b.Goal),
			cmp.Compare(a.ticket, b.ticket),
		)
	})
}

// lateness is 0 for requests that can meet their goal, and 1 for others.
func lateness(w waiting, now time.Duration) int {
	if now+w.Work <= w.Goal {
		return 0
	}
	return 1
}

// refuseHopeless refuses the requests that would not be answered by their deadlines.
func (q *Queue) refuseHopeless(now time.Duration) []Decision {
	var decisions []Decision
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		wait := q.wait(len(kept))
		if now+time.Duration(caution*float64(wait))+w.Work > w.Deadline {
			decisions = append(decisions, Decision{Ticket: w.ticket, RetryAfter: q.retryAfter(w, now)})
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
	return decisions
}

// wait is the expected time until a request with the given number of others before it gets a place.
func (q *Queue) wait(ahead int) time.Duration {
	turns := float64(q.running+ahead+1-q.places) / float64(q.places)
	return time.Duration(max(turns, 0) * float64(q.work))
}

// retryAfter spreads the return of refused requests over the time in which the queue empties.
func (q *Queue) retryAfter(w waiting, now time.Duration) time.Duration {
	third := (w.Deadline - now) / 3
	return min(max(min(q.wait(len(q.waiting)), third), minRetryAfter), maxRetryAfter)
}
