package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// workSigma is the standard deviation of the logarithm of a request's work.
const workSigma = 0.5

// drawGap draws the time to the next arrival of a Poisson process. The rate is in requests per second.
func drawGap(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(time.Second) / rate)
}

// drawWork draws the work of a request from a log-normal distribution with the given mean.
func drawWork(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(workSigma*rng.NormFloat64()-workSigma*workSigma/2))
}
