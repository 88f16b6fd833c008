package renew

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/grants"
)

// link is this host's connection for grants to one server, which is opened anew whenever it has ended. Renewer.mu guards it.
type link struct {
	server assign.Server
	// conn is the open connection, or nil, number its number, and openedAt when it was opened.
	conn     grants.Conn
	number   continuity.Number
	openedAt time.Duration
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

// chooseLinks chooses the servers to which this host keeps a link: those whose grants it renews by the plan, and the candidates whose
// grants it would renew. The caller holds the lock.
func (r *Renewer) chooseLinks(plan assign.Plan, now time.Duration) {
	r.linkedAt = now
	servers := make(map[string]assign.Server)
	renewed := plan.RenewedBy(r.Self)
	for _, server := range r.Candidates() {
		if renewed(assign.Assignment{Phase: assign.Held, Server: server, Fence: assign.MaxFence}) {
			servers[server.Addr] = server
		}
	}
	for _, own := range r.mine {
		servers[own.assignment.Server.Addr] = own.assignment.Server
	}
	r.setLinks(servers)
}

// setLinks sets the servers, by address, to which this host keeps a link. The caller holds the lock.
func (r *Renewer) setLinks(servers map[string]assign.Server) {
	for addr, l := range r.links {
		if _, wanted := servers[addr]; !wanted {
			l.close()
			delete(r.links, addr)
			r.Connections.Forget(addr)
		}
	}
	for addr, server := range servers {
		if r.links[addr] == nil {
			r.links[addr] = &link{}
			r.Connections.Watch(addr)
		}
		r.links[addr].server = server
	}
}

// openLinks opens the connections that are due, and returns the time until the next one is. The caller holds the lock.
func (r *Renewer) openLinks(ctx context.Context, now time.Duration) time.Duration {
	next := r.Timing.RenewInterval
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
	ctx, cancel := context.WithTimeout(ctx, r.Timing.CallTimeout)
	defer cancel()
	conn, err := r.Granter.Connect(ctx, server.Addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	l.dialing = false
	if err != nil {
		r.Log.Routine("connection", "server", server.ID, "addr", server.Addr, "outcome", "failed", "err", err.Error())
		return
	}
	if l.closed {
		conn.Close()
		return
	}
	l.conn, l.number, l.openedAt = conn, r.Connections.Opened(), r.Clock()
	r.counts.Opened++
	r.Log.Event("connection", "server", server.ID, "addr", server.Addr, "conn", uint64(l.number), "outcome", "opened")
	r.notify()
	go r.awaitEnd(l, conn)
}

// awaitEnd waits until a connection of a link has ended.
func (r *Renewer) awaitEnd(l *link, conn grants.Conn) {
	<-conn.Ended()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteEnd(l, conn)
	r.wakeUp()
}

// noteEnd records that a connection of a link has ended. The caller holds the lock.
func (r *Renewer) noteEnd(l *link, conn grants.Conn) {
	if l.conn != conn {
		return
	}
	l.conn = nil
	r.counts.Ended++
	r.Log.Event("connection", "server", l.server.ID, "addr", l.server.Addr, "conn", uint64(l.number), "outcome", "ended")
}

// closeLinks ends all links.
func (r *Renewer) closeLinks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLinks(nil)
}

// notify says that there is news for the leader.
func (r *Renewer) notify() {
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// wakeUp makes Run begin another round soon.
func (r *Renewer) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
