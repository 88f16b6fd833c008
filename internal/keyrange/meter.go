package keyrange

import (
	"math"
	"sync"
	"time"
)

const (
	// meterInterval is the time over which a meter averages.
	meterInterval = time.Second
	// negligible is the rate below which a key is left out, in requests per second.
	negligible = 0.05
)

// CentiRate is a request rate in hundredths of a request per second.
type CentiRate int32

// Meter keeps the request rates of keys as one host sees them. It has an entry for each
// key in use at most. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	counts map[Key]int
	rates  map[Key]float64
	taken  time.Duration
}

// NewMeter returns a meter that begins now.
func NewMeter(now time.Duration) *Meter {
	return &Meter{counts: make(map[Key]int), rates: make(map[Key]float64), taken: now}
}

// Add counts a request for a key.
func (m *Meter) Add(key Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[key]++
}

// Rates returns the rates as of now.
func (m *Meter) Rates(now time.Duration) map[Key]CentiRate {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := (now - m.taken).Seconds()
	m.taken = now
	if elapsed <= 0 {
		elapsed = meterInterval.Seconds()
	}
	keep := math.Exp(-elapsed / meterInterval.Seconds())
	for key := range m.counts {
		if _, known := m.rates[key]; !known {
			m.rates[key] = 0
		}
	}
	rates := make(map[Key]CentiRate, len(m.rates))
	for key, rate := range m.rates {
		rate = rate*keep + float64(m.counts[key])/elapsed*(1-keep)
		if rate < negligible {
			delete(m.rates, key)
			continue
		}
		m.rates[key] = rate
		rates[key] = CentiRate(rate * 100)
	}
	clear(m.counts)
	return rates
}
