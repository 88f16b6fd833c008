package front

import (
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

const (
	// placesAhead is the number of requests that a server has beyond its slots, so
	// that a slot that becomes free is used at once.
	placesAhead = 1
	// maxGates bounds the gates; all are dropped beyond it, which costs only what they have learned.
	maxGates = 4096
)

// gates holds the gate of each life of a server that owns keys. It is safe for concurrent use.
type gates struct {
	clock func() time.Duration

	mu    sync.Mutex
	lives map[gateID]*dispatch.Gate
}

type gateID struct {
	id   fleet.ID
	born int64
}

// queued reports whether requests wait at any gate.
func (g *gates) queued() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gate := range g.lives {
		if _, queued := gate.Len(); queued > 0 {
			return true
		}
	}
	return false
}

func (g *gates) of(entry fleet.Entry) *dispatch.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lives == nil || len(g.lives) >= maxGates {
		g.lives = make(map[gateID]*dispatch.Gate)
	}
	id := gateID{entry.ID, entry.Born}
	gate := g.lives[id]
	if gate == nil {
		gate = dispatch.NewGate(entry.Slots+placesAhead, g.clock)
		g.lives[id] = gate
	}
	return gate
}
