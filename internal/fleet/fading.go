package fleet

import (
	"math"
	"time"
)

// fading is a moving average that tends to a value at rest while nothing is sampled.
type fading struct {
	value, rest float64
	// after is the time in which the distance to the rest falls to 1/e; at is when value held.
	after, at time.Duration
}

// now returns the average at a time, which does not go back.
func (f *fading) now(now time.Duration) float64 {
	keep := math.Exp(-float64(now-f.at) / float64(f.after))
	f.value = f.rest + (f.value-f.rest)*keep
	f.at = now
	return f.value
}

// sample takes an observation in.
func (f *fading) sample(observed float64, now time.Duration) {
	f.value = f.now(now)
	f.value += sampleWeight * (observed - f.value)
}
