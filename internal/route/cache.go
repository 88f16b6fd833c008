package route

import (
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// maxCached is the largest number of entries of each map. A full map is cleared.
const maxCached = 100_000

// routeCache caches which host is the primary of a session, and which slices have
// moved although the log does not show it yet. Its entries may be stale: the primary
// and the server check every request themselves. It is safe for concurrent use.
type routeCache struct {
	mu          sync.Mutex
	primaries   map[record.SessionID]string
	movedSlices map[ownership.SliceKey]movedSlice
}

// movedSlice records that a slice moved to the session to while the ownership table
// listed the slice with version. It is outdated once the table lists another version.
type movedSlice struct {
	version uint64
	to      record.SessionID
}

func newRouteCache() *routeCache {
	return &routeCache{
		primaries:   make(map[record.SessionID]string),
		movedSlices: make(map[ownership.SliceKey]movedSlice),
	}
}

// owner returns the slice's owner: the listed one, or the session to which the
// slice has moved since the listed version.
func (c *routeCache) owner(key ownership.SliceKey, listed Owner, directory Directory) Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	move, ok := c.movedSlices[key]
	if !ok {
		return listed
	}
	lessors := directory.Lessors(move.to)
	if move.version != listed.Version || len(lessors) == 0 {
		delete(c.movedSlices, key)
		return listed
	}
	return Owner{Session: move.to, Version: listed.Version, Lessors: lessors}
}

// recordMove records that the slice has moved to a session since the version.
func (c *routeCache) recordMove(key ownership.SliceKey, version uint64, to record.SessionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.movedSlices) >= maxCached {
		clear(c.movedSlices)
	}
	c.movedSlices[key] = movedSlice{version: version, to: to}
}

// primary returns the lessor to try first: the cached primary, else this host if it
// is a lessor, else the owner's first lessor. The result is zero without lessors.
func (c *routeCache) primary(owner Owner, self string) record.Lessor {
	c.mu.Lock()
	known := c.primaries[owner.Session]
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

// setPrimary records the host as the session's primary.
func (c *routeCache) setPrimary(session record.SessionID, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.primaries) >= maxCached {
		clear(c.primaries)
	}
	c.primaries[session] = host
}

// forgetPrimary drops the session's cached primary.
func (c *routeCache) forgetPrimary(session record.SessionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.primaries, session)
}
