package leader

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/grants"
)

// simConn is a simulated connection of a host to one incarnation of a server. It implements grants.Conn.
type simConn struct {
	host   *simHost
	server *simServer
	// incarnation is that of the server when the connection was opened.
	incarnation string
	once        sync.Once
	ended       chan struct{}
}

// candidates returns the servers that this host knows.
func (h *simHost) candidates() []assign.Server {
	var servers []assign.Server
	for _, server := range h.fleet.Servers(simService) {
		servers = append(servers, assign.ServerOf(server.Entry()))
	}
	return servers
}

// reportConnections tells the leader of new connections and lost grants, as package edge does.
func (h *simHost) reportConnections(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.renewer.News():
			h.report()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// sendRequests sends callers' requests to servers drawn at random, over one connection to each. The answers link connections.
func (h *simHost) sendRequests(ctx context.Context) {
	type dataConn struct {
		incarnation string
		number      continuity.Number
	}
	conns := make(map[*simServer]dataConn)
	for ctx.Err() == nil {
		h.sim.mu.Lock()
		server := h.sim.servers[h.sim.rng.IntN(len(h.sim.servers))]
		pause := time.Duration(h.sim.rng.IntN(200)) * time.Millisecond
		work := time.Duration(h.sim.rng.IntN(100)) * time.Millisecond
		reached := server.up && h.sim.connected(h.self.Name, server.ID)
		if conn := conns[server]; reached && (conn.number == 0 || conn.incarnation != server.incarnation() || h.sim.chance(0.1)) {
			conns[server] = dataConn{server.incarnation(), h.connections.Opened()}
		}
		conn, sent := conns[server], h.connections.Newest()
		addr := server.Addr
		h.sim.mu.Unlock()
		if reached {
			time.AfterFunc(work, func() {
				h.sim.mu.Lock()
				defer h.sim.mu.Unlock()
				if server.runs(conn.incarnation) {
					h.connections.Answered(addr, conn.number, sent)
				}
			})
		}
		time.Sleep(pause)
	}
}

// Connect implements grants.Granter for one host.
func (h *simHost) Connect(ctx context.Context, addr string) (grants.Conn, error) {
	sim := h.sim
	time.Sleep(time.Millisecond)
	sim.mu.Lock()
	server := sim.serverAt(addr)
	reached := sim.connected(h.self.Name, server.ID)
	if reached && server.up {
		defer sim.mu.Unlock()
		conn := &simConn{host: h, server: server, incarnation: server.incarnation(), ended: make(chan struct{})}
		server.conns = append(server.conns, conn)
		return conn, nil
	}
	sim.mu.Unlock()
	if !reached {
		<-ctx.Done()
	}
	return nil, errNoAnswer
}

// Ended implements grants.Conn.
func (c *simConn) Ended() <-chan struct{} { return c.ended }

// Close implements grants.Conn.
func (c *simConn) Close() { c.once.Do(func() { close(c.ended) }) }

// closed reports whether the connection has ended for the host.
func (c *simConn) closed() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// fail ends the connection, after the call has timed out if the host hears nothing of the end.
func (c *simConn) fail(ctx context.Context, silent bool) error {
	if silent {
		<-ctx.Done()
	}
	c.Close()
	return errNoAnswer
}

// Grant implements grants.Conn.
func (c *simConn) Grant(ctx context.Context, _ assign.Server, grant grants.Grant) error {
	h, sim := c.host, c.host.sim
	time.Sleep(time.Millisecond)
	sim.mu.Lock()
	if c.closed() {
		sim.mu.Unlock()
		return errNoAnswer
	}
	if reached := sim.connected(h.self.Name, c.server.ID); !reached || !c.server.runs(c.incarnation) {
		sim.mu.Unlock()
		return c.fail(ctx, !reached)
	}
	sent := sim.now()
	if sim.chance(0.03) {
		// The call times out, but the server carries it out later.
		delay := time.Duration(1+sim.rng.IntN(8)) * time.Second
		sim.mu.Unlock()
		time.AfterFunc(delay, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			if c.server.runs(c.incarnation) {
				sim.applyGrant(h, c.server, grant, sent, true)
			}
		})
		return c.fail(ctx, true)
	}
	err := sim.applyGrant(h, c.server, grant, sent, false)
	lost, closes := sim.chance(0.03), sim.chance(0.03)
	sim.mu.Unlock()
	if lost {
		return c.fail(ctx, true)
	}
	if closes {
		c.Close()
	}
	return err
}

// runs reports whether an incarnation of the server is up.
func (s *simServer) runs(incarnation string) bool {
	return s.up && s.incarnation() == incarnation
}

// endConns ends the connections to an incarnation of a server that has ended. Hosts that do not reach the server hear nothing of it.
// The caller holds sim.mu.
func (sim *simulation) endConns(s *simServer) {
	for _, conn := range s.conns {
		if sim.connected(conn.host.self.Name, s.ID) {
			conn.Close()
		}
	}
	s.conns = nil
}
