package hotkey

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the moving average: after this time an old
// rate has 1/e (37%) of its weight.
const rateTimeConstant = 5 * time.Second

// Rates keeps an exponentially weighted moving average of the requests per second of
// each slice.
type Rates struct {
	counts  []int // requests since updated, by slice
	rates   []float64
	updated time.Duration // time of the last update
}

// NewRates returns rates for count slices, all zero.
func NewRates(count int) *Rates {
	return &Rates{counts: make([]int, count), rates: make([]float64, count)}
}

// Add counts requests of a slice. An unknown slice is ignored.
func (r *Rates) Add(slice, requests int) {
	if slice >= 0 && slice < len(r.counts) {
		r.counts[slice] += requests
	}
}

// Update adds the requests counted since the last call to the averages and returns the
// rate of every slice. now is the time since a fixed start; if it has not advanced,
// nothing changes. The result is valid until the next call.
func (r *Rates) Update(now time.Duration) []float64 {
	elapsed := (now - r.updated).Seconds()
	if elapsed <= 0 {
		return r.rates
	}
	r.updated = now
	keep := math.Exp(-elapsed / rateTimeConstant.Seconds())
	for slice, count := range r.counts {
		rate := float64(count) / elapsed
		r.rates[slice] = keep*r.rates[slice] + (1-keep)*rate
		r.counts[slice] = 0
	}
	return r.rates
}
