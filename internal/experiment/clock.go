// Package experiment compares policies and limits under equal load in a small
// queueing model.
//
// The model knows backend servers with slots, queues and service times, and
// hosts that each see their own share of the requests. It leaves out the
// system's own protocols. Every policy gets the same arrivals, service demands
// and faults for the same seed.
package experiment

import (
	"container/heap"
	"time"
)

// event is something that happens at a time of the model.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap orders events by time and, among equals, by their creation.
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

// clock runs events in order of their time.
type clock struct {
	now    time.Duration
	seq    int
	events eventHeap
}

// after plans an event.
func (c *clock) after(delay time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + delay, seq: c.seq, run: run})
}

// run runs all events up to and including end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}
