// Package continuity numbers the connections that a host opens to backend servers, and tells which of them lead to the same
// incarnation of a server.
//
// One process listens at an address at a time, and a connection ends with the process that accepted it. So among the connections
// to an address that were opened before some moment, all that still work afterwards lead to the one incarnation that ran at
// that moment. Package renew sends a grant only over such connections, where the moment is the write of the plan that issued it.
//
// A connection that is opened later may lead to a later incarnation. It does not if an earlier connection, opened before the
// moment, has carried an answer to a request that was sent after the later one was opened: then the incarnation still ran.
// Package transport reports the answers to callers' requests for this.
package continuity

import (
	"sync"
	"sync/atomic"
)

// Number is the number of a connection. A connection with a higher number was opened later. The first one has number 1; all
// addresses share the numbers.
type Number uint64

// Connections numbers the connections of one host to backend servers. It is safe for concurrent use.
type Connections struct {
	newest atomic.Uint64

	mu sync.Mutex
	// spans holds the newest span of each watched address.
	spans map[string]span
}

// span says that all connections to an address with numbers from first to last that still work lead to the incarnation that the
// first one leads to. It is empty if last is zero.
type span struct {
	first, last Number
}

// New returns Connections without any.
func New() *Connections {
	return &Connections{spans: make(map[string]span)}
}

// Opened returns the number of a connection that has just been opened.
func (c *Connections) Opened() Number {
	return Number(c.newest.Add(1))
}

// Newest returns the number of the connection that was opened last, or zero.
func (c *Connections) Newest() Number {
	return Number(c.newest.Load())
}

// Watch begins to take notice of answers from an address.
func (c *Connections) Watch(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, watched := c.spans[addr]; !watched {
		c.spans[addr] = span{}
	}
}

// Forget ends what Watch has begun.
func (c *Connections) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.spans, addr)
}

// Answered records that a connection has carried the answer to a request. sent is what Newest returned before the request was
// sent.
func (c *Connections) Answered(addr string, conn, sent Number) {
	if conn >= sent {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, watched := c.spans[addr]
	switch {
	case !watched, sent < known.first:
	case conn <= known.last:
		c.spans[addr] = span{min(known.first, conn), max(known.last, sent)}
	default:
		c.spans[addr] = span{conn, sent}
	}
}

// Reaches reports whether a connection to an address leads to the same incarnation as those with numbers up to bound that still
// work, or to none.
func (c *Connections) Reaches(addr string, conn, bound Number) bool {
	if conn <= bound {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.spans[addr]
	return known.first <= bound && conn <= known.last
}
