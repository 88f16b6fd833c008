package hotkey

import (
	"math"
	"time"
)

// rateDecay is the time in which an old rate loses most of its weight.
const rateDecay = 5 * time.Second

// Rates keeps a moving average of the requests per second for each slice.
type Rates struct {
	counts []int
	rates  []float64
	rolled time.Duration
}

// NewRates returns the rates of count slices, all zero.
func NewRates(count int) *Rates {
	return &Rates{counts: make([]int, count), rates: make([]float64, count)}
}

// Add counts requests for a slice; an unknown slice is ignored.
func (r *Rates) Add(slice, requests int) {
	if slice >= 0 && slice < len(r.counts) {
		r.counts[slice] += requests
	}
}

// Roll ends the period since the last call and returns the rate of every
// slice. The result is valid until the next call.
func (r *Rates) Roll(now time.Duration) []float64 {
	elapsed := (now - r.rolled).Seconds()
	if elapsed <= 0 {
		return r.rates
	}
	r.rolled = now
	keep := math.Exp(-elapsed / rateDecay.Seconds())
	for slice, count := range r.counts {
		rate := float64(count) / elapsed
		r.rates[slice] = keep*r.rates[slice] + (1-keep)*rate
		r.counts[slice] = 0
	}
	return r.rates
}
