package front

import (
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

const (
	// extraSlots is the number of requests sent to a server beyond its slots, so that it always
	// has one waiting when a slot becomes free.
	extraSlots = 1
	// maxGates limits the memory. When it is reached, all gates are replaced by new ones, which
	// start without an estimate of the request time and don't count requests already running.
	maxGates = 4096
)

// admissionGates holds the admission gate of each incarnation of a server that owns keys. It is
// safe for concurrent use.
type admissionGates struct {
	clock func() time.Duration

	mu            sync.Mutex
	byIncarnation map[incarnationKey]*dispatch.Gate
}

// incarnationKey identifies one incarnation of a server by its ID and start time.
type incarnationKey struct {
	id   fleet.ID
	born int64
}

// queued reports whether a request waits at any gate.
func (g *admissionGates) queued() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gate := range g.byIncarnation {
		if _, queued := gate.Len(); queued > 0 {
			return true
		}
	}
	return false
}

// get returns the gate of the server's incarnation, and creates it if there is none.
func (g *admissionGates) get(entry fleet.Entry) *dispatch.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byIncarnation == nil || len(g.byIncarnation) >= maxGates {
		g.byIncarnation = make(map[incarnationKey]*dispatch.Gate)
	}
	id := incarnationKey{entry.ID, entry.Born}
	gate := g.byIncarnation[id]
	if gate == nil {
		gate = dispatch.NewGate(entry.Slots+extraSlots, g.clock)
		g.byIncarnation[id] = gate
	}
	return gate
}
