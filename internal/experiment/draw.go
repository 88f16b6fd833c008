package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// workSpread is the spread of the logarithm of a request's work.
const workSpread = 0.5

// drawGap draws the time to the next request at a rate a second.
func drawGap(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(time.Second) / rate)
}

// drawWork draws the work of a request.
func drawWork(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(workSpread*rng.NormFloat64()-workSpread*workSpread/2))
}
