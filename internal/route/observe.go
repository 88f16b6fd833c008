package route

import (
	"github.com/poplarcroft/poplarcroft/internal/balance"
	"github.com/poplarcroft/poplarcroft/internal/limit"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// SessionLoad is the load of the backend server of a session that this host leads.
type SessionLoad struct {
	Session record.SessionID
	Stats   limit.Stats
}

// Load returns the load of the sessions that this host leads, in no order.
func (g *Gateway) Load() []SessionLoad {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var loads []SessionLoad
	for id, entry := range g.lanes {
		if _, self := entry.keeper.Lead(); self {
			loads = append(loads, SessionLoad{Session: id, Stats: entry.lane.gate.Stats()})
		}
	}
	return loads
}

// KeylessLoad returns what this host has observed of the backend servers of
// services that are not divided by key, by service. Services without requests are left out.
func (e *Entry) KeylessLoad() map[string][]balance.Observation {
	e.keyless.mu.Lock()
	defer e.keyless.mu.Unlock()
	loads := make(map[string][]balance.Observation, len(e.keyless.services))
	for name, set := range e.keyless.services {
		loads[name] = set.observations()
	}
	return loads
}

func (s *targetSet) observations() []balance.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	observer, ok := s.policy.(balance.Observer)
	if !ok {
		return nil
	}
	return observer.Observations()
}
