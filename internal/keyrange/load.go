package keyrange

import "math"

// Load is the request rate seen on each key, with exponential decay. It needs
// half a megabyte whatever the traffic. It belongs to one goroutine.
type Load struct {
	rates []float64
	total float64
}

// NewLoad returns a load of zero.
func NewLoad() *Load {
	return &Load{rates: make([]float64, Count)}
}

// Add counts requests for a key.
func (l *Load) Add(key Key, requests float64) {
	l.rates[key] += requests
	l.total += requests
}

// Decay multiplies all rates by the factor.
func (l *Load) Decay(factor float64) {
	const negligible = 1e-3
	l.total = 0
	for i, rate := range l.rates {
		rate *= factor
		if rate < negligible {
			rate = 0
		}
		l.rates[i] = rate
		l.total += rate
	}
}

// Total returns the load of all keys.
func (l *Load) Total() float64 {
	return l.total
}

// Of returns the load of a range.
func (l *Load) Of(r Range) float64 {
	sum := 0.0
	for _, rate := range l.rates[r.First : int(r.Last)+1] {
		sum += rate
	}
	return sum
}

// Cut returns the key after which the range is cut so that the left part carries
// nearly the given load. It returns false where the range has one key only.
func (l *Load) Cut(r Range, load float64) (Key, bool) {
	if r.Width() < 2 {
		return 0, false
	}
	best, bestDistance := r.First, math.Inf(1)
	sum := 0.0
	for key := r.First; key < r.Last; key++ {
		sum += l.rates[key]
		if distance := math.Abs(sum - load); distance < bestDistance {
			best, bestDistance = key, distance
		}
	}
	return best, true
}
