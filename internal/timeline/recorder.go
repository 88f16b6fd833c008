package timeline

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// sinkQueue is the number of events that may wait for the sink.
const sinkQueue = 1024

// Recorder keeps the latest events of one process. It is safe for concurrent
// use, and recording never waits for I/O.
type Recorder struct {
	host    string
	now     func() time.Time
	dropped atomic.Uint64

	mu          sync.Mutex
	ring        []Event
	next        uint64 // sequence number of the next event
	incarnation string
	sink        *sink
}

// NewRecorder returns a recorder for the process of the named host that keeps
// the latest size events and takes their times from now.
func NewRecorder(host string, size int, now func() time.Time) *Recorder {
	if size < 1 {
		panic("timeline: recorder without room for an event")
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

// Record keeps an event and passes it to the sink, if there is one. It sets
// the event's time, host, incarnation and sequence number.
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

// Since returns the events kept whose sequence number is above seq, in order.
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

// StartSink writes every later event to w as a line of JSON, from a goroutine
// of its own. Events are dropped and counted while it cannot keep up, and all
// of them after w has failed. The function returned stops the sink, waits
// until the events already queued are written, and returns w's error. A
// recorder has at most one sink at a time.
func (r *Recorder) StartSink(w io.Writer) (stop func() error) {
	s := &sink{queue: make(chan Event, sinkQueue), done: make(chan struct{}), dropped: &r.dropped}
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

// Dropped returns the number of events that the recorder's sinks have not
// written because they could not keep up or had failed.
func (r *Recorder) Dropped() uint64 {
	return r.dropped.Load()
}

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

// oldest returns the sequence number of the oldest event kept.
func (r *Recorder) oldest() uint64 {
	size := uint64(len(r.ring))
	if r.next <= size {
		return 1
	}
	return r.next - size
}

func (r *Recorder) slot(seq uint64) uint64 {
	return seq % uint64(len(r.ring))
}

// sink writes events in a goroutine of its own.
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
