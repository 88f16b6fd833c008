package transport

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrConnectionLimit reports that the connection limit did not allow a new connection in time.
var ErrConnectionLimit = errors.New("transport: connection limit reached")

// limiter bounds the number of open connections. Waiting dials are served in their order.
// The limit may change. It is safe for concurrent use.
type limiter struct {
	mu      sync.Mutex
	limit   int
	open    int
	waiting []chan struct{}
}

func newLimiter(limit int) *limiter {
	return &limiter{limit: limit}
}

// acquire waits until one more connection may be opened, and counts it as open.
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
	if l.cancelWait(ready) {
		return errors.Mark(context.Cause(ctx), ErrConnectionLimit)
	}
	return nil
}

// tryAcquire counts one more connection if the limit allows it. Otherwise it queues the
// caller and returns the channel that is closed once the connection has been granted.
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

// cancelWait ends a wait. It returns false if the connection has been granted meanwhile.
func (l *limiter) cancelWait(ready chan struct{}) bool {
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

// release counts a connection as closed.
func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.grantWaiting()
}

// setLimit changes the limit. Open connections above it stay until they are closed.
func (l *limiter) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.grantWaiting()
}

// grantWaiting grants connections to the callers that have waited longest, up to the
// limit. The caller holds the lock.
func (l *limiter) grantWaiting() {
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
