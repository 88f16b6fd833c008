package transport

import (
	"time"

	"github.com/cockroachdb/errors"
)

// silentAfter is how long a request on a reused connection waits for its first byte before the target's idle
// connections are suspected to be half-open too.
const silentAfter = 250 * time.Millisecond

// judgeInterval is the time between two judgements of a connection that was silent too long, since another connection
// may have delivered meanwhile.
const judgeInterval = 50 * time.Millisecond

// ErrSilent reports a connection that was closed because it delivered nothing while others of the same server did. Some
// servers never answer a request that they cannot queue, nor any later one on that connection.
var ErrSilent = errors.New("transport: the connection is silent while others deliver")

// Silence says how the silence of a server is judged that is sent a request.
type Silence struct {
	// After is how long a connection may be silent. Zero means that it is not judged.
	After time.Duration
	// OnMute is called once if no connection of the server has delivered anything either, so that the server is slow, dead
	// or mute. The request waits on. It must not block, and may be nil.
	OnMute func()
	// Suspended reports whether silence ends no request at present. It may block, as for a question to another host. Nil
	// stands for never.
	Suspended func() bool
}

// ends reports whether the rule ends requests at present.
func (s Silence) ends() bool {
	return s.Suspended == nil || !s.Suspended()
}

// checkSilence closes a connection on which nothing has arrived for the time of the rule, if another connection of the
// target has delivered meanwhile. The request then ends with ErrSilent.
func (a *attempt) checkSilence(conn *trackedConn) {
	if a.rule.After <= 0 {
		return
	}
	if a.judgement != nil {
		a.judgement.Stop()
	}
	since := a.target.clock()
	told := false
	// The timer starts itself again, so its first run waits until it is stored.
	stored := make(chan *time.Timer, 1)
	var timer *time.Timer
	a.judgement = time.AfterFunc(a.rule.After, func() {
		if timer == nil {
			timer = <-stored
		}
		answered := func() bool { return a.ended.Load() || conn.deliveredSince(since) }
		if answered() {
			return
		}
		if !a.target.deliveredSince(since, conn) {
			if !told && a.rule.OnMute != nil {
				a.rule.OnMute()
			}
			told = true
			timer.Reset(judgeInterval)
			return
		}
		ends := a.rule.ends()
		// The answer may have come while the rule was asked.
		if answered() {
			return
		}
		if !ends {
			timer.Reset(judgeInterval)
			return
		}
		a.cancel(ErrSilent)
	})
	stored <- a.judgement
}

// deliveredSince reports whether a connection other than the given one has delivered bytes since the given reading of the
// clock.
func (t *Target) deliveredSince(since time.Duration, except *trackedConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closedDelivered > since {
		return true
	}
	for conn := range t.conns {
		if conn != except && conn.deliveredSince(since) {
			return true
		}
	}
	return false
}

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
	if conn.delivered.Load() {
		t.closedDelivered = max(t.closedDelivered, time.Duration(conn.lastRead.Load()))
	}
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
