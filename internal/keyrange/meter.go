package keyrange

import (
	"math"
	"sync"
	"time"
)

const (
	// averagingTime is the time constant of a meter's moving averages.
	averagingTime = time.Second
	// minRate is the rate, in requests per second, below which a key is dropped.
	minRate = 0.05
)

// CentiRate is a request rate in hundredths of a request per second.
type CentiRate int32

// Meter measures the request rate of each key on one host, as exponentially weighted moving
// averages. It keeps only keys with recent requests. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// counts holds the requests since the last call of Rates, at updatedAt.
	counts map[Key]int
	// rates holds the averages as of updatedAt, in requests per second.
	rates     map[Key]float64
	updatedAt time.Duration
}

// NewMeter returns a meter that counts from now on.
func NewMeter(now time.Duration) *Meter {
	return &Meter{counts: make(map[Key]int), rates: make(map[Key]float64), updatedAt: now}
}

// Add counts a request for a key.
func (m *Meter) Add(key Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[key]++
}

// Rates adds the requests since the last call to the averages and returns them. Keys whose
// rate has fallen below minRate are dropped.
func (m *Meter) Rates(now time.Duration) map[Key]CentiRate {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := (now - m.updatedAt).Seconds()
	m.updatedAt = now
	if elapsed <= 0 {
		elapsed = averagingTime.Seconds()
	}
	keep := math.Exp(-elapsed / averagingTime.Seconds())
	for key := range m.counts {
		if _, known := m.rates[key]; !known {
			m.rates[key] = 0
		}
	}
	rates := make(map[Key]CentiRate, len(m.rates))
	for key, rate := range m.rates {
		rate = rate*keep + float64(m.counts[key])/elapsed*(1-keep)
		if rate < minRate {
			delete(m.rates, key)
			continue
		}
		m.rates[key] = rate
		rates[key] = CentiRate(rate * 100)
	}
	clear(m.counts)
	return rates
}
