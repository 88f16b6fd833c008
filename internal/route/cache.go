package route

import (
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// maxCached bounds each kind of hint. A full cache starts anew.
const maxCached = 100_000

// routeCache remembers which host leads a session, and slices that have moved
// although the log does not show it yet. What it holds is only a hint: the lead
// and the server check every request themselves.
type routeCache struct {
	mu    sync.Mutex
	leads map[record.SessionID]string
	moves map[ownership.SliceKey]movedSlice
}

// movedSlice is a slice that went to a successor while the table was at version.
type movedSlice struct {
	version uint64
	to      record.SessionID
}

func newRouteCache() *routeCache {
	return &routeCache{
		leads: make(map[record.SessionID]string),
		moves: make(map[ownership.SliceKey]movedSlice),
	}
}

// owner returns the slice's owner, or the successor that it is known to have moved to.
func (c *routeCache) owner(key ownership.SliceKey, listed Owner, directory Directory) Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	move, ok := c.moves[key]
	if !ok {
		return listed
	}
	lessors := directory.Lessors(move.to)
	if move.version != listed.Version || len(lessors) == 0 {
		delete(c.moves, key)
		return listed
	}
	return Owner{Session: move.to, Version: listed.Version, Lessors: lessors}
}

func (c *routeCache) moved(key ownership.SliceKey, version uint64, to record.SessionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.moves) >= maxCached {
		clear(c.moves)
	}
	c.moves[key] = movedSlice{version: version, to: to}
}

// lead returns the lessor to try first: the known lead, this host, or the first one named.
func (c *routeCache) lead(owner Owner, self string) record.Lessor {
	c.mu.Lock()
	known := c.leads[owner.Session]
	c.mu.Unlock()
	var first record.Lessor
	for _, lessor := range owner.Lessors {
		if lessor.Host == known {
			return lessor
		}
		if first.Host == "" || lessor.Host == self {
			first = lessor
		}
	}
	return first
}

func (c *routeCache) learn(session record.SessionID, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.leads) >= maxCached {
		clear(c.leads)
	}
	c.leads[session] = host
}

func (c *routeCache) forget(session record.SessionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leads, session)
}
