package standin

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/check"
)

// recordFileMode is the mode of a new record file.
const recordFileMode = 0o644

// slots bounds the requests in execution and those that wait.
type slots struct {
	tokens  chan struct{}
	queue   int64
	waiting atomic.Int64
}

func newSlots(limit, queue int) *slots {
	return &slots{tokens: make(chan struct{}, limit), queue: int64(queue)}
}

// acquire takes a slot, waiting in the queue where there is none. It reports
// false when the queue is full or the context ends.
func (s *slots) acquire(ctx context.Context) bool {
	select {
	case s.tokens <- struct{}{}:
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.queue {
		return false
	}
	select {
	case s.tokens <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() {
	<-s.tokens
}

// counts returns the number of requests in execution and in the queue.
func (s *slots) counts() (executing, queued int) {
	return len(s.tokens), int(s.waiting.Load())
}

// valueStore keeps the value last written for each key.
type valueStore struct {
	values sync.Map
}

func (v *valueStore) put(key, value string) {
	v.values.Store(key, value)
}

func (v *valueStore) get(key string) string {
	value, ok := v.values.Load(key)
	if !ok {
		return ""
	}
	return value.(string)
}

// counter counts events from 1 on.
type counter struct {
	n atomic.Int64
}

func (c *counter) next() int64 {
	return c.n.Add(1)
}

// due counts an event and reports whether it is an n-th one; never where n is zero.
func (c *counter) due(n int) bool {
	return every(c.next(), n)
}

// every reports whether number is a multiple of n; never where n is zero.
func every(number int64, n int) bool {
	return n > 0 && number%int64(n) == 0
}

// recorder appends executions to a file, one JSON line each. A line is with the
// operating system before append returns, so that it outlives the process.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

// openRecorder opens the file, or returns a recorder that drops everything where the name is empty.
func openRecorder(name string) (*recorder, error) {
	if name == "" {
		return &recorder{}, nil
	}
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, recordFileMode)
	if err != nil {
		return nil, errors.Wrap(err, "standin: open record file")
	}
	return &recorder{file: file}, nil
}

func (r *recorder) append(record check.Execution) {
	line, err := json.Marshal(record)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "standin: encode record"))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	if _, err := r.file.Write(append(line, '\n')); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "standin: write record"))
	}
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		_ = r.file.Close()
		r.file = nil
	}
}
