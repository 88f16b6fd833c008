package transport

import "time"

// silentAfter is how long a request on a reused connection waits for its first byte before the target's idle
// connections of the same age count as half-open too.
const silentAfter = 150 * time.Millisecond

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

// closeSilent closes the idle connections on which no byte has arrived since the given reading of the clock. Those
// that have delivered since then are kept: they work.
func (t *Target) closeSilent(since time.Duration) {
	for _, conn := range t.openConns() {
		conn.closeIfIdleAndSilent(since)
	}
}

// openConns returns the open connections.
func (t *Target) openConns() []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*trackedConn, 0, len(t.conns))
	for conn := range t.conns {
		conns = append(conns, conn)
	}
	return conns
}
