package timeline

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// sinkQueueLength is the number of events that may wait to be written by the sink.
const sinkQueueLength = 1024

// Recorder keeps the latest events of one process in memory, and can write all events
// to a sink. It is safe for concurrent use, and recording never waits for I/O.
type Recorder struct {
	host    string
	now     func() time.Time
	dropped atomic.Uint64 // events not written by a sink

	mu          sync.Mutex
	ring        []Event // ring buffer of the latest events; see slot
	next        uint64  // sequence number of the next event
	incarnation string
	sink        *sink
}

// NewRecorder returns a recorder for the process of the named host that keeps
// the latest size events and takes their times from now.
func NewRecorder(host string, size int, now func() time.Time) *Recorder {
	if size < 1 {
		panic("timeline: the size of a recorder must be at least 1")
	}
	return &Recorder{
		host: host,
		now:  now,
		ring: make([]Event, size),
		next: 1,
	}
}

// SetIncarnation sets the incarnation that later events carry.
func (r *Recorder) SetIncarnation(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnation = incarnation
}

// Record stores an event and passes it to the sink, if there is one. It sets the
// event's time, host, incarnation and sequence number.
func (r *Recorder) Record(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.TimeMS = r.now().UnixMilli()
	event.Host = r.host
	event.Incarnation = r.incarnation
	event.Seq = r.next
	r.ring[r.slot(event.Seq)] = event
	r.next++
	if r.sink != nil {
		r.sink.offer(event)
	}
}

// Since returns the stored events whose sequence number is above seq, in order.
func (r *Recorder) Since(seq uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.oldest()
	if seq >= first {
		first = seq + 1
	}
	if first >= r.next {
		return nil
	}
	events := make([]Event, 0, r.next-first)
	for s := first; s < r.next; s++ {
		events = append(events, r.ring[r.slot(s)])
	}
	return events
}

// StartSink starts a goroutine that writes every later event to w as one line of
// JSON. An event is dropped and counted if the sink's queue is full, or if a write to
// w has failed before. The returned function stops the sink, waits until the queued
// events are written, and returns the first error of w. A recorder has at most one
// sink at a time; StartSink panics if it already has one.
func (r *Recorder) StartSink(w io.Writer) (stop func() error) {
	s := &sink{queue: make(chan Event, sinkQueueLength), done: make(chan struct{}), dropped: &r.dropped}
	r.mu.Lock()
	if r.sink != nil {
		r.mu.Unlock()
		panic("timeline: recorder has a sink already")
	}
	r.sink = s
	r.mu.Unlock()
	go s.run(w)
	return func() error { return r.stopSink(s) }
}

// Dropped returns the number of events that the recorder's sinks did not write because
// their queue was full or a write had failed.
func (r *Recorder) Dropped() uint64 {
	return r.dropped.Load()
}

// stopSink removes the sink, waits until it has written its queued events and returns its
// error. It may be called more than once.
func (r *Recorder) stopSink(s *sink) error {
	r.mu.Lock()
	if r.sink == s {
		r.sink = nil
		close(s.queue)
	}
	r.mu.Unlock()
	<-s.done
	return s.err
}

// oldest returns the sequence number of the oldest stored event, 1 if there is none.
func (r *Recorder) oldest() uint64 {
	size := uint64(len(r.ring))
	if r.next <= size {
		return 1
	}
	return r.next - size
}

// slot returns the index in the ring buffer of the event with the sequence number.
func (r *Recorder) slot(seq uint64) uint64 {
	return seq % uint64(len(r.ring))
}

// sink writes queued events to a writer, in its own goroutine.
type sink struct {
	queue   chan Event
	done    chan struct{}
	dropped *atomic.Uint64
	err     error // read only after done is closed
}

// offer queues an event or counts it as dropped.
func (s *sink) offer(event Event) {
	select {
	case s.queue <- event:
	default:
		s.dropped.Add(1)
	}
}

// run writes events until the queue is closed. After a failed write it only counts the
// events as dropped, so that the queue still empties.
func (s *sink) run(w io.Writer) {
	defer close(s.done)
	encoder := json.NewEncoder(w)
	for event := range s.queue {
		if s.err != nil {
			s.dropped.Add(1)
			continue
		}
		s.err = encoder.Encode(event)
		if s.err != nil {
			s.dropped.Add(1)
		}
	}
}
