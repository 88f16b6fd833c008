package limit

import "time"

// Ticket identifies a request in an AdmissionController.
type Ticket uint64

// queuedRequest is a request in the queue, or about to be admitted or queued.
type queuedRequest struct {
	ticket   Ticket
	flow     string
	deadline time.Time
	alone    bool
}

// fairQueue holds queued requests by flow and serves the flows round-robin. A flow
// is removed with its last request, so the queue's length bounds the number of flows.
type fairQueue struct {
	flows map[string][]queuedRequest
	// flowOrder holds the flows in the order in which they are served next.
	flowOrder []string
	length    int
	// earliestDeadline is a lower bound of the deadlines of all queued requests.
	// It may be too early after a removal, never too late.
	earliestDeadline time.Time
}

func newFairQueue() fairQueue {
	return fairQueue{flows: make(map[string][]queuedRequest)}
}

// push appends a request to its flow.
func (q *fairQueue) push(r queuedRequest) {
	if len(q.flows[r.flow]) == 0 {
		q.flowOrder = append(q.flowOrder, r.flow)
	}
	if q.length == 0 || r.deadline.Before(q.earliestDeadline) {
		q.earliestDeadline = r.deadline
	}
	q.flows[r.flow] = append(q.flows[r.flow], r)
	q.length++
}

// peek returns the request that pop would remove.
func (q *fairQueue) peek() (queuedRequest, bool) {
	if q.length == 0 {
		return queuedRequest{}, false
	}
	return q.flows[q.flowOrder[0]][0], true
}

// pop removes the oldest request of the flow whose turn it is.
func (q *fairQueue) pop() (queuedRequest, bool) {
	if q.length == 0 {
		return queuedRequest{}, false
	}
	flow := q.flowOrder[0]
	q.flowOrder = q.flowOrder[1:]
	r := q.flows[flow][0]
	q.flows[flow] = q.flows[flow][1:]
	q.length--
	if len(q.flows[flow]) == 0 {
		delete(q.flows, flow)
	} else {
		q.flowOrder = append(q.flowOrder, flow)
	}
	return r, true
}

// rotate moves the first flow to the end of the order.
func (q *fairQueue) rotate() {
	q.flowOrder = append(q.flowOrder[1:], q.flowOrder[0])
}

// queuedAhead returns how many queued requests would be served before a new one of the flow.
func (q *fairQueue) queuedAhead(flow string) int {
	own := len(q.flows[flow])
	queuedAhead := own
	for name, requests := range q.flows {
		if name != flow {
			queuedAhead += min(len(requests), own+1)
		}
	}
	return queuedAhead
}

// evictFor removes the newest request of the longest flow, to make room for a new
// one of the given flow. It does so only if the longest flow stays at least as
// long as the given flow becomes.
func (q *fairQueue) evictFor(flow string) (queuedRequest, bool) {
	longest := ""
	for _, name := range q.flowOrder {
		if len(q.flows[name]) > len(q.flows[longest]) {
			longest = name
		}
	}
	requests := q.flows[longest]
	if len(requests)-1 < len(q.flows[flow])+1 {
		return queuedRequest{}, false
	}
	r := requests[len(requests)-1]
	q.flows[longest] = requests[:len(requests)-1]
	q.length--
	return r, true
}

// expire removes the requests that have passed their deadlines and returns them.
func (q *fairQueue) expire(now time.Time) []queuedRequest {
	if q.length == 0 || q.earliestDeadline.After(now) {
		return nil
	}
	return q.removeIf(func(r queuedRequest) bool { return !r.deadline.After(now) })
}

// removeIf removes the requests for which the predicate holds and returns them.
func (q *fairQueue) removeIf(match func(queuedRequest) bool) []queuedRequest {
	var removed []queuedRequest
	old := *q
	*q = newFairQueue()
	for _, flow := range old.flowOrder {
		for _, r := range old.flows[flow] {
			if match(r) {
				removed = append(removed, r)
			} else {
				q.push(r)
			}
		}
	}
	return removed
}
