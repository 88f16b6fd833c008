package fleet

import (
	"math"
	"time"
)

// decayingAverage is an exponentially weighted moving average that decays to a resting value while
// there are no samples.
type decayingAverage struct {
	// value is the average as of updatedAt.
	value, resting float64
	// timeConstant is the time in which the distance to the resting value falls to 1/e.
	timeConstant, updatedAt time.Duration
}

// valueAt decays the average to now and returns it. Now must not go backwards between calls.
func (a *decayingAverage) valueAt(now time.Duration) float64 {
	keep := math.Exp(-float64(now-a.updatedAt) / float64(a.timeConstant))
	a.value = a.resting + (a.value-a.resting)*keep
	a.updatedAt = now
	return a.value
}

// sample adds an observation with the weight sampleWeight.
func (a *decayingAverage) sample(observation float64, now time.Duration) {
	a.value = a.valueAt(now)
	a.value += sampleWeight * (observation - a.value)
}
