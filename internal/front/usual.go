package front

import (
	"sync"
	"time"
)

// usualWeight is the weight of a new latency in a route's usual one.
const usualWeight = 0.05

// usualLatency keeps the usual latency of each route. It is safe for concurrent use.
type usualLatency struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

// ratio returns a latency in relation to the usual one of the route, and takes it
// into account where the request was answered.
func (u *usualLatency) ratio(route string, a attempt, latency time.Duration) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.routes == nil {
		u.routes = make(map[string]time.Duration)
	}
	usual, known := u.routes[route]
	if !known {
		usual = latency
	}
	if a.outcome == tryAnswered {
		u.routes[route] = usual + time.Duration(usualWeight*float64(latency-usual))
	}
	if usual <= 0 {
		return 1
	}
	return float64(latency) / float64(usual)
}

// of returns the usual latency of the route; zero where none is known.
func (u *usualLatency) of(route string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.routes[route]
}
