package limit

import "time"

// Ticket identifies a request in an Admission.
type Ticket uint64

// waiting is a queued request.
type waiting struct {
	ticket   Ticket
	flow     string
	deadline time.Time
	alone    bool
}

// fairQueue holds waiting requests by flow and serves the flows in turn. A
// flow is in it only while it has requests, so that the queue's length bounds
// the number of flows.
type fairQueue struct {
	flows  map[string][]waiting
	turns  []string
	length int
	// soonest is not after the first deadline of all waiting requests.
	soonest time.Time
}

func newFairQueue() fairQueue {
	return fairQueue{flows: make(map[string][]waiting)}
}

// push appends a request to its flow.
func (q *fairQueue) push(w waiting) {
	if len(q.flows[w.flow]) == 0 {
		q.turns = append(q.turns, w.flow)
	}
	if q.length == 0 || w.deadline.Before(q.soonest) {
		q.soonest = w.deadline
	}
	q.flows[w.flow] = append(q.flows[w.flow], w)
	q.length++
}

// peek returns the request that pop would remove.
func (q *fairQueue) peek() (waiting, bool) {
	if q.length == 0 {
		return waiting{}, false
	}
	return q.flows[q.turns[0]][0], true
}

// pop removes the oldest request of the flow whose turn it is.
func (q *fairQueue) pop() (waiting, bool) {
	if q.length == 0 {
		return waiting{}, false
	}
	flow := q.turns[0]
	q.turns = q.turns[1:]
	w := q.flows[flow][0]
	q.flows[flow] = q.flows[flow][1:]
	q.length--
	if len(q.flows[flow]) == 0 {
		delete(q.flows, flow)
	} else {
		q.turns = append(q.turns, flow)
	}
	return w, true
}

// rotate gives the turn to the next flow.
func (q *fairQueue) rotate() {
	q.turns = append(q.turns[1:], q.turns[0])
}

// ahead returns how many waiting requests would be served before a new one of the flow.
func (q *fairQueue) ahead(flow string) int {
	own := len(q.flows[flow])
	ahead := own
	for name, requests := range q.flows {
		if name != flow {
			ahead += min(len(requests), own+1)
		}
	}
	return ahead
}

// dropFor removes the youngest request of the longest flow, to make room for a
// new one of the given flow. It does so only if the longest flow stays at least
// as long as the given flow becomes.
func (q *fairQueue) dropFor(flow string) (waiting, bool) {
	longest := ""
	for _, name := range q.turns {
		if len(q.flows[name]) > len(q.flows[longest]) {
			longest = name
		}
	}
	requests := q.flows[longest]
	if len(requests)-1 < len(q.flows[flow])+1 {
		return waiting{}, false
	}
	w := requests[len(requests)-1]
	q.flows[longest] = requests[:len(requests)-1]
	q.length--
	return w, true
}

// expire removes the requests that have passed their deadlines and returns them.
func (q *fairQueue) expire(now time.Time) []waiting {
	if q.length == 0 || q.soonest.After(now) {
		return nil
	}
	return q.removeIf(func(w waiting) bool { return !w.deadline.After(now) })
}

// removeIf removes the requests for which the predicate holds and returns them.
func (q *fairQueue) removeIf(match func(waiting) bool) []waiting {
	var removed []waiting
	old := *q
	*q = newFairQueue()
	for _, flow := range old.turns {
		for _, w := range old.flows[flow] {
			if match(w) {
				removed = append(removed, w)
			} else {
				q.push(w)
			}
		}
	}
	return removed
}
