package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linkPacket is the number of bytes that a link carries at a time for one connection, so that connections share it.
	linkPacket = 4 << 10
	// linkWindow is the size of the receive buffer of a connection over a link.
	linkWindow = 32 << 10
)

// link is a stand-in for the network link of one machine. Each direction has its own width.
type link struct {
	in, out *rate.Limiter
}

// Network is a stand-in for a network of machines whose links have set widths. Connections that are opened with Dialer take their
// bytes from the links at both ends. A machine without a link is not limited. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	links map[string]*link
	conns map[*linkConn]bool
	// frozen holds the IP addresses of the machines that are frozen. thawed is closed and replaced whenever one is no longer.
	frozen map[string]bool
	thawed chan struct{}
}

// NewNetwork returns a network without links.
func NewNetwork() *Network {
	return &Network{
		links: make(map[string]*link), conns: make(map[*linkConn]bool), frozen: make(map[string]bool), thawed: make(chan struct{}),
	}
}

// Freeze holds back what arrives on all connections from and to a machine, and new connections, until Thaw is called. What is
// written meanwhile goes into the buffers of the connections, as with a machine whose processes are frozen.
func (n *Network) Freeze(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[ip] = true
}

// Thaw ends Freeze.
func (n *Network) Thaw(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.frozen, ip)
	close(n.thawed)
	n.thawed = make(chan struct{})
}

// awaitThaw waits until neither of two machines is frozen, or done is closed.
func (n *Network) awaitThaw(done <-chan struct{}, a, b string) {
	for {
		n.mu.Lock()
		frozen, thawed := n.frozen[a] || n.frozen[b], n.thawed
		n.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-done:
			return
		case <-thawed:
		}
	}
}

// AddLink gives the machine with an IP address a link with a width in bytes per second.
func (n *Network) AddLink(ip string, bytesPerS float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[ip] = &link{in: rate.NewLimiter(rate.Limit(bytesPerS), linkPacket), out: rate.NewLimiter(rate.Limit(bytesPerS), linkPacket)}
}

// Reset closes all connections of a machine that were opened with its dialer.
func (n *Network) Reset(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if conn.from == ip {
			conn.Conn.Close()
		}
	}
}

// Dialer returns a function that opens connections from the machine with the given IP address. It uses dial to open them.
func (n *Network) Dialer(ip string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		to, _, _ := net.SplitHostPort(addr)
		n.awaitThaw(ctx.Done(), ip, to)
		inner, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if tcp, ok := inner.(*net.TCPConn); ok {
			tcp.SetReadBuffer(linkWindow)
			tcp.SetWriteBuffer(linkWindow)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		conn := &linkConn{Conn: inner, network: n, from: ip, to: to, closed: make(chan struct{})}
		if l := n.links[ip]; l != nil {
			conn.reading, conn.writing = append(conn.reading, l.in), append(conn.writing, l.out)
		}
		if l := n.links[to]; l != nil {
			conn.reading, conn.writing = append(conn.reading, l.out), append(conn.writing, l.in)
		}
		n.conns[conn] = true
		return conn, nil
	}
}

// linkConn is a connection over links.
type linkConn struct {
	net.Conn
	network          *Network
	from, to         string
	reading, writing []*rate.Limiter

	close  sync.Once
	closed chan struct{}
}

// Read reads at most one packet.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), linkPacket)])
	c.network.awaitThaw(c.closed, c.from, c.to)
	c.transfer(c.reading, n)
	return n, err
}

// Write writes packet by packet.
func (c *linkConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		packet := p[written:min(len(p), written+linkPacket)]
		c.transfer(c.writing, len(packet))
		n, err := c.Conn.Write(packet)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// transfer waits until the links have carried a packet, or the connection is closed.
func (c *linkConn) transfer(limiters []*rate.Limiter, bytes int) {
	for _, limiter := range limiters {
		timer := time.NewTimer(limiter.ReserveN(time.Now(), bytes).Delay())
		select {
		case <-timer.C:
		case <-c.closed:
			timer.Stop()
		}
	}
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
