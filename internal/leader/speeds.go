package leader

import (
	"math"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/concurrency"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

const (
	// speedRetention is how long a lasting speed is used that no host reports any more. The next primary of the server
	// needs some seconds to learn it, and a server without keys has none to be learned from.
	speedRetention = 10 * time.Minute
	// minSpeedChange is the least relative change of a lasting speed that counts, so that the estimate's noise moves no keys.
	minSpeedChange = 0.08
	// maxSpeeds bounds the memory. When it is reached, all speeds are learned anew.
	maxSpeeds = 8192
)

// knownSpeed is the speed of a server.
type knownSpeed struct {
	lasting, passing float64
	at               time.Duration
}

// speeds holds the speeds of servers that hosts have reported.
type speeds struct {
	byServer map[concurrency.Server]knownSpeed
}

// add records reported speeds.
func (s *speeds) add(reported []concurrency.Speed, now time.Duration) {
	if s.byServer == nil || len(s.byServer) > maxSpeeds {
		s.byServer = make(map[concurrency.Server]knownSpeed)
	}
	for _, speed := range reported {
		if !(speed.Lasting > 0) || !(speed.Passing > 0) || math.IsInf(speed.Lasting, 0) || math.IsInf(speed.Passing, 0) {
			continue
		}
		lasting := speed.Lasting
		if known, ok := s.byServer[speed.Server]; ok && math.Abs(lasting/known.lasting-1) < minSpeedChange {
			lasting = known.lasting
		}
		s.byServer[speed.Server] = knownSpeed{lasting: lasting, passing: speed.Passing, at: now}
	}
}

// get returns the speed of a server, and false if it is not known. The passing slowness holds for reportTTL.
func (s *speeds) get(id string, born int64, now time.Duration) (knownSpeed, bool) {
	known, ok := s.byServer[concurrency.Server{ID: id, Born: born}]
	if !ok || now-known.at > speedRetention {
		return knownSpeed{}, false
	}
	if now-known.at > reportTTL {
		known.passing = 1
	}
	return known, true
}

// usual returns the geometric mean of the lasting speeds of the servers whose speed is known, or zero if there is none.
func (s *speeds) usual(servers []*fleet.Server, now time.Duration) float64 {
	sum, n := 0.0, 0
	for _, server := range servers {
		entry := server.Entry()
		if known, ok := s.get(string(entry.ID), entry.Born, now); ok {
			sum += math.Log(known.lasting)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return math.Exp(sum / float64(n))
}

// slownessOf returns by how much a server is slower than usual for its service: lastingly, and in the last seconds. As long
// as its lasting speed is not known, it is what hosts report of the last seconds. The caller holds the lock.
func (l *Leader) slownessOf(server assign.Server, observed observation, usual float64, now time.Duration) float64 {
	known, ok := l.speeds.get(server.ID, server.Born, now)
	if !ok {
		return observed.slowness()
	}
	return min(max(known.lasting/usual*known.passing, minSlowness), maxSlowness)
}
