package transport

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrConnectionLimit reports that no connection became free in time.
var ErrConnectionLimit = errors.New("transport: connection limit reached")

// limiter bounds the number of open connections. The bound may change.
type limiter struct {
	mu      sync.Mutex
	limit   int
	open    int
	waiting []chan struct{}
}

func newLimiter(limit int) *limiter {
	return &limiter{limit: limit}
}

// acquire waits for a place for one more connection.
func (l *limiter) acquire(ctx context.Context) error {
	ready, ok := l.tryAcquire()
	if ok {
		return nil
	}
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
	}
	if l.abandon(ready) {
		return errors.Mark(context.Cause(ctx), ErrConnectionLimit)
	}
	return nil
}

func (l *limiter) tryAcquire() (chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.limit {
		l.open++
		return nil, true
	}
	ready := make(chan struct{})
	l.waiting = append(l.waiting, ready)
	return ready, false
}

// abandon gives up waiting. It returns false where the place was given before.
func (l *limiter) abandon(ready chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiting {
		if other == ready {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// release returns the place of a closed connection.
func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.handOn()
}

// setLimit changes the bound. Open connections above it stay until they are closed.
func (l *limiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.handOn()
}

func (l *limiter) handOn() {
	for l.open < l.limit && len(l.waiting) > 0 {
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
		l.open++
	}
}

// full reports whether the next connection would have to wait.
func (l *limiter) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.limit
}

// count returns the number of open connections.
func (l *limiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}
