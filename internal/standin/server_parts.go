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

// slots limits the number of requests that execute at a time, and the number
// that wait for a slot.
type slots struct {
	semaphore chan struct{}
	maxQueued int64
	waiting   atomic.Int64
}

func newSlots(limit, queue int) *slots {
	return &slots{semaphore: make(chan struct{}, limit), maxQueued: int64(queue)}
}

// acquire takes a slot, and waits in the queue if none is free. It returns
// false when the queue is full or ctx ends.
func (s *slots) acquire(ctx context.Context) bool {
	select {
	case s.semaphore <- struct{}{}:
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.maxQueued {
		return false
	}
	select {
	case s.semaphore <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() {
	<-s.semaphore
}

// counts returns the number of executing requests and of queued ones.
func (s *slots) counts() (executing, queued int) {
	return len(s.semaphore), int(s.waiting.Load())
}

// valueStore maps each key to the value last written for it.
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

// counter numbers events from 1 on.
type counter struct {
	n atomic.Int64
}

func (c *counter) next() int64 {
	return c.n.Add(1)
}

// isNth counts an event and reports whether its number is a multiple of n. It
// returns false if n is zero.
func (c *counter) isNth(n int) bool {
	return isMultiple(c.next(), n)
}

// isMultiple reports whether number is a multiple of n. It returns false if n
// is zero.
func isMultiple(number int64, n int) bool {
	return n > 0 && number%int64(n) == 0
}

// recorder appends executions to a file, one JSON line each. Lines are written
// without buffering, so that they survive a crash of the process.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

// openRecorder opens the named file for appending. With an empty name it returns
// a recorder that discards everything.
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
