package route

import (
	"github.com/poplarcroft/poplarcroft/internal/balance"
	"github.com/poplarcroft/poplarcroft/internal/limit"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// SessionLoad is the load of the backend server of a session for which this host is
// the primary.
type SessionLoad struct {
	Session record.SessionID
	Stats   limit.Stats
}

// Load returns the load of the sessions for which this host is the primary, in no
// particular order.
func (g *Gateway) Load() []SessionLoad {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var loads []SessionLoad
	for id, session := range g.sessions {
		if _, self := session.keeper.Primary(); self {
			loads = append(loads, SessionLoad{Session: id, Stats: session.limiter.slots.Stats()})
		}
	}
	return loads
}

// KeylessLoad returns what this host has observed of the backend servers of keyless
// services, by service name. Services that have had no request are left out.
func (in *Ingress) KeylessLoad() map[string][]balance.Observation {
	in.keyless.mu.Lock()
	defer in.keyless.mu.Unlock()
	loads := make(map[string][]balance.Observation, len(in.keyless.services))
	for name, set := range in.keyless.services {
		loads[name] = set.observations()
	}
	return loads
}

// observations returns the observations of the policy, or nil if it makes none.
func (s *targetSet) observations() []balance.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	observer, ok := s.policy.(balance.Observer)
	if !ok {
		return nil
	}
	return observer.Observations()
}
