package leader

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
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
	lost := sim.chance(0.03)
	sim.mu.Unlock()
	if lost {
		return c.fail(ctx, true)
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
