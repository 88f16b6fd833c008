package front

import (
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// keyRates measures the requests for the keys of each service. It is safe for concurrent use.
type keyRates struct {
	mu     sync.Mutex
	meters map[string]*keyrange.Meter
}

func (r *keyRates) add(service string, key keyrange.Key, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meters == nil {
		r.meters = make(map[string]*keyrange.Meter)
	}
	meter := r.meters[service]
	if meter == nil {
		meter = keyrange.NewMeter(now)
		r.meters[service] = meter
	}
	meter.Add(key)
}

func (r *keyRates) take(now time.Duration) map[string]map[keyrange.Key]keyrange.CentiRate {
	r.mu.Lock()
	defer r.mu.Unlock()
	rates := make(map[string]map[keyrange.Key]keyrange.CentiRate, len(r.meters))
	for service, meter := range r.meters {
		rates[service] = meter.Rates(now)
	}
	return rates
}
