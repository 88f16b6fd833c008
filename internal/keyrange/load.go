package keyrange

import (
	"math"
	"slices"
)

// Load is the request rate on the keys of a service, in requests per second.
type Load struct {
	// keys are in order; sums holds the rates of all keys up to and including each.
	keys []Key
	sums []float64
}

// NewLoad returns the sum of the rates that hosts have told.
func NewLoad(reports []map[Key]CentiRate) *Load {
	total := make(map[Key]float64)
	for _, report := range reports {
		for key, rate := range report {
			total[key] += float64(rate) / 100
		}
	}
	l := &Load{keys: make([]Key, 0, len(total)), sums: make([]float64, 0, len(total))}
	for key := range total {
		l.keys = append(l.keys, key)
	}
	slices.Sort(l.keys)
	sum := 0.0
	for _, key := range l.keys {
		sum += total[key]
		l.sums = append(l.sums, sum)
	}
	return l
}

// Total returns the load of all keys.
func (l *Load) Total() float64 {
	return l.Of(All)
}

// Of returns the load of a range.
func (l *Load) Of(r Range) float64 {
	return l.upTo(int(r.Last)) - l.upTo(int(r.First)-1)
}

// upTo returns the load of all keys up to and including the given one.
func (l *Load) upTo(key int) float64 {
	i, found := slices.BinarySearchFunc(l.keys, key, func(k Key, key int) int { return int(k) - key })
	if found {
		i++
	}
	if i == 0 {
		return 0
	}
	return l.sums[i-1]
}

// Cut returns the key after which the range is cut so that the left part carries
// nearly the given load. It returns false where the range has one key only.
func (l *Load) Cut(r Range, load float64) (Key, bool) {
	if r.Width() < 2 {
		return 0, false
	}
	base := l.upTo(int(r.First) - 1)
	best, bestDistance := r.First, math.Abs(l.Of(Range{r.First, r.First})-load)
	for i, key := range l.keys {
		if !r.Contains(key) || key == r.Last {
			continue
		}
		if distance := math.Abs(l.sums[i] - base - load); distance < bestDistance {
			best, bestDistance = key, distance
		}
	}
	return best, true
}
