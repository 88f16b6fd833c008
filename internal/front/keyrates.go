package front

import (
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// keyRates measures the request rates of the keys of each service. It is safe for concurrent use.
type keyRates struct {
	mu sync.Mutex
	// meters holds a meter for each service by name.
	meters map[string]*keyrange.Meter
}

// add counts a request for a key.
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

// rates brings the rates up to date and returns them by service and key.
func (r *keyRates) rates(now time.Duration) map[string]map[keyrange.Key]keyrange.CentiRate {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := make(map[string]map[keyrange.Key]keyrange.CentiRate, len(r.meters))
	for service, meter := range r.meters {
		result[service] = meter.Rates(now)
	}
	return result
}
