package renew

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/grants"
)

// link is this host's connection for grants to one server, which is opened anew whenever it has ended. Renewer.mu guards it.
type link struct {
	server assign.Server
	// conn is the open connection, or nil, and number its number.
	conn   grants.Conn
	number uint64
	// calling is set while the connection carries a call.
	calling bool
	// dialing is set while a connection is being opened, and nextDial is when the next attempt may begin.
	dialing  bool
	nextDial time.Duration
	// closed is set once the link is no longer used.
	closed bool
}

// idle reports whether the link can carry a call now.
func (l *link) idle() bool {
	return l.conn != nil && !l.calling
}

// close ends the link.
func (l *link) close() {
	l.closed = true
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// setLinks sets the servers, by address, to which this host keeps a link. The caller holds the lock.
func (r *Renewer) setLinks(servers map[string]assign.Server) {
	for addr, l := range r.links {
		if _, wanted := servers[addr]; !wanted {
			l.close()
			delete(r.links, addr)
		}
	}
	for addr, server := range servers {
		if r.links[addr] == nil {
			r.links[addr] = &link{}
		}
		r.links[addr].server = server
	}
}

// keepLinks opens the connections that are due, and returns the time until the next one is. The caller holds the lock.
func (r *Renewer) keepLinks(ctx context.Context, now time.Duration) time.Duration {
	next := r.timing.RenewInterval
	for _, l := range r.links {
		if l.conn != nil || l.dialing {
			continue
		}
		if wait := l.nextDial - now; wait > 0 {
			next = min(next, wait)
			continue
		}
		l.dialing = true
		l.nextDial = now + retryInterval
		go r.dial(ctx, l, l.server)
	}
	return next
}

// dial opens a connection for a link.
func (r *Renewer) dial(ctx context.Context, l *link, server assign.Server) {
	defer r.wakeUp()
	ctx, cancel := context.WithTimeout(ctx, r.timing.CallTimeout)
	defer cancel()
	conn, err := r.granter.Connect(ctx, server.Addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	l.dialing = false
	if err != nil {
		r.log.Routine("connection", "server", server.ID, "addr", server.Addr, "outcome", "failed", "err", err.Error())
		return
	}
	if l.closed {
		conn.Close()
		return
	}
	r.opened++
	l.conn, l.number = conn, r.opened
	r.log.Event("connection", "server", server.ID, "addr", server.Addr, "conn", l.number, "outcome", "opened")
	go r.awaitEnd(l, conn)
}

// awaitEnd waits until a connection of a link has ended.
func (r *Renewer) awaitEnd(l *link, conn grants.Conn) {
	<-conn.Ended()
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
		r.log.Event("connection", "server", l.server.ID, "addr", l.server.Addr, "conn", l.number, "outcome", "ended")
	}
	r.wakeUp()
}

// closeLinks ends all links.
func (r *Renewer) closeLinks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLinks(nil)
}

// wakeUp makes Run begin another round soon.
func (r *Renewer) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
