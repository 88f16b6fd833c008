// Package inbound bounds what clients take of this process: descriptors, by the number of their connections, and memory, by the size
// of the heads of their requests. Clients need not keep to what callers are told.
//
// Packages edge and host accept connections with a Guard, and use its Handler and its ConnState with the HTTP server, which parses the
// requests. A Guard counts what arrives before the HTTP library has parsed it: a parsed line of a header takes hundreds of bytes, and
// the library bounds neither the lines of one head nor the heads of all connections together.
//
// What a request takes is given back when it has been answered. A client that exceeds a limit gets status 431 or 503 if its request
// has not been read completely, so it has not run, and then loses its connection. If there are too many connections, those without a
// complete request are closed first, the oldest one first. Each case is counted (Metrics) and told in event "inbound", at most once
// a second.
package inbound

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/socket"
)

// Limits are the limits for each client.
type Limits struct {
	// HeadBytes is the maximum size of the head of a request.
	HeadBytes int
	// HeadTimeout is the time within which a head must arrive, from its first byte on, and IdleTimeout the time that a connection may
	// be without a request. Zero sets no limit.
	HeadTimeout, IdleTimeout time.Duration
}

// Config configures a Guard.
type Config struct {
	// Name names the listener in log lines.
	Name string
	// Limits returns the present limits for each client.
	Limits func() Limits
	// Connections is the maximum number of connections, and HeadMemory bounds the memory in bytes that large heads of all connections
	// may take together. Zero sets no limit.
	Connections int
	HeadMemory  int64
	// Log writes a log line. fields alternates names and values.
	Log func(event string, fields ...any)
}

const (
	// sweepInterval is the time between two searches for connections whose time is up. A search that comes later than maxSweepDelay
	// after the one before closes none: the process has not run meanwhile, and has not read what has arrived.
	sweepInterval = 250 * time.Millisecond
	maxSweepDelay = time.Second
	// smallHeadCost is the memory of a head, as returned by headCost, that does not count for HeadMemory. The heads of ordinary
	// requests take less; the number of connections bounds them.
	smallHeadCost = 8 << 10
)

// Guard accepts the connections of a listener within its limits. It is safe for concurrent use.
type Guard struct {
	config   Config
	counters counters
	// headMemory is the memory of the large heads of all connections in bytes.
	headMemory atomic.Int64

	mu sync.Mutex
	// open is the number of open connections.
	open int
	// waiting holds the connections without a complete request, those first that have been so for longest.
	waiting *list.List
}

// New returns a Guard. Run closes connections whose time is up.
func New(config Config) *Guard {
	return &Guard{config: config, waiting: list.New()}
}

// Accept accepts a connection. If there are too many, it closes another one, or the new one if all others have requests.
func (g *Guard) Accept(listener *net.TCPListener) (*Conn, error) {
	for {
		tcp, err := listener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := g.admit(tcp); c != nil {
			return c, nil
		}
		g.counters.refused.Add(1)
		tcp.Close()
	}
}

// admit returns a connection that has been accepted, or nil if there is no room for it.
func (g *Guard) admit(tcp *net.TCPConn) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.Connections > 0 && g.open >= g.config.Connections && !g.evict() {
		return nil
	}
	c := &Conn{TCPConn: tcp, guard: g}
	g.open++
	g.addWaiting(c)
	return c
}

// evict closes the connection that has been without a complete request for longest. It returns false if there is none. The caller
// holds the lock.
func (g *Guard) evict() bool {
	for element := g.waiting.Front(); element != nil; element = element.Next() {
		c := element.Value.(*Conn)
		if !c.headBegun.Load() && socket.HasUnread(c.TCPConn) {
			// A request has arrived.
			continue
		}
		g.counters.evicted.Add(1)
		g.remove(c)
		c.TCPConn.Close()
		return true
	}
	return false
}

// addWaiting adds a connection to those without a complete request. The caller holds the lock.
func (g *Guard) addWaiting(c *Conn) {
	c.since = monotonic()
	c.headBegun.Store(false)
	c.receivingHead.Store(true)
	c.element = g.waiting.PushBack(c)
}

// removeWaiting removes a connection from those without a complete request. The caller holds the lock.
func (g *Guard) removeWaiting(c *Conn) {
	if c.element != nil {
		g.waiting.Remove(c.element)
		c.element = nil
	}
}

// remove ends the counting of a connection. The caller holds the lock.
func (g *Guard) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	g.open--
	g.removeWaiting(c)
}

// takeHeadMemory counts more memory, or less if negative, for a large head that takes its own already. It refuses more beyond the limit,
// but not for the only large head.
func (g *Guard) takeHeadMemory(own, more int64) bool {
	total := g.headMemory.Add(more)
	if more > 0 && g.config.HeadMemory > 0 && total > g.config.HeadMemory && total > own+more {
		g.headMemory.Add(-more)
		return false
	}
	return true
}

// processStart is the origin of monotonic.
var processStart = time.Now()

// monotonic returns the time since the start of the process. Steps of the time of day do not change it.
func monotonic() time.Duration { return time.Since(processStart) }

// Run closes connections whose time is up, and logs what has been refused, until the context ends.
func (g *Guard) Run(ctx context.Context) {
	last := monotonic()
	told := Metrics{}
	loop.Every(ctx, sweepInterval, func(context.Context) {
		now := monotonic()
		if now-last < maxSweepDelay {
			g.sweep(now)
		}
		last = now
		told = g.tell(now, told)
	})
}

// sweep closes the connections whose head or whose next request has not come in time.
func (g *Guard) sweep(now time.Duration) {
	limits := g.config.Limits()
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *list.Element
	for element := g.waiting.Front(); element != nil; element = next {
		next = element.Next()
		c := element.Value.(*Conn)
		timeout, counter := limits.IdleTimeout, &g.counters.idle
		since := c.since
		if c.headBegun.Load() {
			timeout, counter = limits.HeadTimeout, &g.counters.slowHeads
			since = time.Duration(c.headSince.Load())
		}
		if timeout <= 0 || now-since < timeout || socket.HasUnread(c.TCPConn) {
			continue
		}
		counter.Add(1)
		g.remove(c)
		c.TCPConn.Close()
	}
}
