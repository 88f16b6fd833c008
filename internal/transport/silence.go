package transport

import "time"

// silentAfter is how long a request on a reused connection waits for its first byte before the target's idle
// connections are suspected to be half-open too.
const silentAfter = 250 * time.Millisecond

// addConn records an open connection.
func (t *Target) addConn(conn *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[conn] = struct{}{}
}

// connClosed forgets a closed connection and frees its place.
func (t *Target) connClosed(conn *trackedConn) {
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
	t.limiter.release()
}

// closeSilent closes the idle connections for idempotent requests if no byte has arrived on any of them since the
// given reading of the clock. If one has delivered, the target answers and is only slow: new connections are opened only
// when none is idle, so those that went silent together are all in use or still idle.
func (t *Target) closeSilent(since time.Duration) {
	conns := t.openConns()
	for _, conn := range conns {
		if !conn.silentSince(since) {
			return
		}
	}
	for _, conn := range conns {
		conn.closeIfIdleAndSilent(since)
	}
}

// openConns returns the open connections for idempotent requests.
func (t *Target) openConns() []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*trackedConn, 0, len(t.conns))
	for conn := range t.conns {
		if !conn.fresh.Load() {
			conns = append(conns, conn)
		}
	}
	return conns
}
