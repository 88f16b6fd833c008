package keyrange

import (
	"math"
	"slices"
)

// Load holds the request rate of each key of a service, in requests per second. It does
// not change after NewLoad.
type Load struct {
	// keys are the keys with load in ascending order. sums[i] is the total rate of the
	// keys up to and including keys[i] (prefix sums), so that Of takes logarithmic time.
	keys []Key
	sums []float64
}

// NewLoad adds up the rates that the hosts have reported, one map for each host.
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

// Total returns the rate of all keys.
func (l *Load) Total() float64 {
	return l.Of(All)
}

// Of returns the rate of the keys of a range.
func (l *Load) Of(r Range) float64 {
	return l.upTo(int(r.Last)) - l.upTo(int(r.First)-1)
}

// upTo returns the rate of all keys up to and including the given one. It takes an int so
// that the key before the first, -1, is valid.
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

// SplitPoint returns the key after which to split the range so that the rate of its left
// part is as close as possible to the given one. It returns false if the range has only
// one key and can't be split.
func (l *Load) SplitPoint(r Range, load float64) (Key, bool) {
	if r.Width() < 2 {
		return 0, false
	}
	base := l.upTo(int(r.First) - 1)
	best, bestDistance := r.First, math.Abs(l.Of(Range{r.First, r.First})-load)
	start, _ := slices.BinarySearch(l.keys, r.First)
	for i := start; i < len(l.keys) && l.keys[i] < r.Last; i++ {
		key := l.keys[i]
		if distance := math.Abs(l.sums[i] - base - load); distance < bestDistance {
			best, bestDistance = key, distance
		}
	}
	return best, true
}
