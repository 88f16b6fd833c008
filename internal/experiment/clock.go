// Package experiment compares policies under equal load in discrete-event
// simulations. The commands of "poplarctl experiment" run it and print its
// tables; the tests check that the product's policies are no worse than simple
// baselines.
//
// There are four simulations, each in modelled time and deterministic for a seed:
//
//   - [Compare]: load balancing policies (package balance) without and with faults
//   - [CompareHot]: placement of keys on servers while hot keys and servers change
//   - [ComparePlacing]: choice of a server for requests without a key (package fleet)
//   - [CompareWaiting]: queueing of requests for one server that owns keys (package dispatch)
//
// They model backend servers with slots, queues and service times, and hosts
// that each see only their own share of the requests, but not the system's
// protocols. For the same seed every policy gets the same arrivals and work, so
// that a difference between results comes from the policy; random draws must
// therefore not depend on a policy's decisions. The one exception is described
// in placing.go.
package experiment

import (
	"container/heap"
	"time"
)

// event is a function to be called at a point of modelled time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap orders events by time, and events of the same time by their creation.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// clock is the modelled time with its event queue. Not safe for concurrent use.
type clock struct {
	now    time.Duration
	seq    int
	events eventHeap
}

// schedule adds an event that calls run after the delay.
func (c *clock) schedule(delay time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + delay, seq: c.seq, run: run})
}

// runUntil runs all events up to and including end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}
