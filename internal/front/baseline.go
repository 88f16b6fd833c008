package front

import (
	"sync"
	"time"
)

// baselineWeight is the weight of a new latency in the moving average.
const baselineWeight = 0.05

// baselineLatency keeps a moving average of the latency of each route over all its servers, as
// the baseline with which one server's latency is compared. It is safe for concurrent use.
type baselineLatency struct {
	mu sync.Mutex
	// routes holds the baselines by name of the route.
	routes map[string]time.Duration
}

// relative returns a latency divided by the route's baseline, or 1 if there is no baseline. If
// the attempt was answered, the latency is then added to the baseline.
func (b *baselineLatency) relative(route string, a attempt, latency time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routes == nil {
		b.routes = make(map[string]time.Duration)
	}
	baseline, known := b.routes[route]
	if !known {
		baseline = latency
	}
	if a.outcome == attemptAnswered {
		b.routes[route] = baseline + time.Duration(baselineWeight*float64(latency-baseline))
	}
	if baseline <= 0 {
		return 1
	}
	return float64(latency) / float64(baseline)
}

// get returns the baseline latency of the route, or zero if there is none.
func (b *baselineLatency) get(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.routes[route]
}
