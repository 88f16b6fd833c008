package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/inbound"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/socket"
)

const (
	// acceptDrainTime is how long the listener for callers goes on accepting after the decision to stop. Connections that
	// the kernel has accepted, but this process has not, would be reset when the listener is closed.
	acceptDrainTime = 50 * time.Millisecond
	// quietCheckInterval is the time between two searches for idle connections to close during the shutdown.
	quietCheckInterval = 20 * time.Millisecond
	// firstRequestTime is how long a new connection is kept in a shutdown without a request.
	firstRequestTime = time.Second
)

// errAcceptEnded reports that a listener accepts no more connections because the host shuts down.
var errAcceptEnded = errors.New("edge: the listener has been stopped")

// callerListener accepts callers' connections and ends them without cutting off a request. http.Server.Shutdown alone
// resets connections that are still in the kernel's queue, and closes those on which a request has begun to
// arrive while the previous one counts as the last. It is safe for concurrent use.
type callerListener struct {
	*net.TCPListener
	guard    *inbound.Guard
	stopping atomic.Bool
	// ended is closed when no more connections are accepted.
	ended    chan struct{}
	endedSet sync.Once

	mu    sync.Mutex
	conns map[*callerConn]bool
}

// callerConn is a caller's connection.
type callerConn struct {
	*inbound.Conn
	accepted time.Time
	// idle says that the last request has been answered, or that there has been none. received says that bytes have arrived
	// since.
	idle, received atomic.Bool
}

func newCallerListener(listener *net.TCPListener, guard *inbound.Guard) *callerListener {
	return &callerListener{TCPListener: listener, guard: guard, ended: make(chan struct{}), conns: make(map[*callerConn]bool)}
}

// Accept implements net.Listener. After stop it returns the connections that are waiting, and then an error.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.guard.Accept(l.TCPListener)
	if err != nil {
		if l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			err = errAcceptEnded
		}
		if l.stopping.Load() {
			l.endedSet.Do(func() { close(l.ended) })
		}
		return nil, err
	}
	c := &callerConn{Conn: conn, accepted: time.Now()}
	c.idle.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// track follows the state of a connection. It is the http.Server's ConnState function.
func (l *callerListener) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	l.guard.ConnState(conn, state)
	switch state {
	case http.StateActive:
		c.idle.Store(false)
	case http.StateIdle:
		c.received.Store(false)
		c.idle.Store(true)
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}
}

// stop accepts the connections that are waiting, and then no more.
func (l *callerListener) stop(ctx context.Context) {
	l.stopping.Store(true)
	l.SetDeadline(time.Now().Add(acceptDrainTime))
	select {
	case <-l.ended:
	case <-ctx.Done():
	}
}

// drain closes the connections without a request, until none is left or the context ends.
func (l *callerListener) drain(ctx context.Context) {
	for l.closeQuiet() > 0 && ctx.Err() == nil {
		loop.Sleep(ctx, quietCheckInterval)
	}
}

// closeQuiet closes the connections without a request and returns the number of the others.
func (l *callerListener) closeQuiet() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.quiet() {
			c.Close()
			delete(l.conns, c)
		}
	}
	return len(l.conns)
}

// quiet reports whether no request has begun to arrive. Bytes may have arrived that this process has not read yet,
// because it waits for a processor.
func (c *callerConn) quiet() bool {
	return c.idle.Load() && !c.received.Load() && time.Since(c.accepted) >= firstRequestTime && !socket.HasUnread(c.TCPConn)
}
