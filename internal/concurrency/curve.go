package concurrency

import (
	"math"
	"time"
)

const (
	// localWeight is the weight of a new sample in the averages from which samples are counted. It is short: noise that
	// makes a server slow for 0.4 s also raises the number of its requests, and would look like an effect of that number.
	localWeight = 0.15
	// curveClip bounds the distance of a sample from the local average, as a difference of logarithms.
	curveClip = 1.0
	// curveDecay is the time constant with which samples are forgotten. Without new ones, the width returns to the full
	// one, so that a server that has recovered is found out.
	curveDecay = 30 * time.Second
	// priorWeight is the weight of the assumption that a further request does not make the others slower, in units of
	// squared differences of levels.
	priorWeight = 6.0
	// timeDeviation is the assumed deviation of a logarithm of a time from the local average, and riseErrors the number of
	// standard errors by which a rise has to be above zero to count. A rise that is not certain narrows no gate.
	timeDeviation = 0.7
	riseErrors    = 1.0
	// throughputMargin is the difference of the logarithms of two throughputs that is worth a change of the width.
	throughputMargin = 0.05
)

// latencyCurve estimates by how much the logarithm of the time of a request rises with each further request that the
// server has.
type latencyCurve struct {
	// products and squares are the sums of a linear regression for each level: of the distance of the level times that of
	// the time, and of the squared distance of the level.
	products, squares []float64
	// level and time are the local averages.
	level, time float64
	updatedAt   time.Duration
	samples     int
}

func newLatencyCurve(slots int, now time.Duration) *latencyCurve {
	return &latencyCurve{
		products: make([]float64, slots+1), squares: make([]float64, slots+1), updatedAt: now,
	}
}

// add adds a sample: the logarithm of a request's time, and the average number of requests that the server had.
func (c *latencyCurve) add(level, logTime float64, now time.Duration) {
	c.samples++
	if c.samples == 1 {
		c.level, c.time = level, logTime
		return
	}
	keep := math.Exp(-float64(max(now-c.updatedAt, 0)) / float64(curveDecay))
	c.updatedAt = max(now, c.updatedAt)
	for i := range c.products {
		c.products[i] *= keep
		c.squares[i] *= keep
	}
	x := level - c.level
	y := min(max(logTime-c.time, -curveClip), curveClip)
	between := (level + c.level) / 2
	i := min(max(int(math.Ceil(between)), 2), len(c.products)-1)
	if i < 2 {
		return
	}
	c.products[i] += x * y
	c.squares[i] += x * x
	c.level += localWeight * x
	c.time += localWeight * y
}

// rise returns by how much the logarithm of the time is higher with n requests than with n-1.
func (c *latencyCurve) rise(n int) float64 {
	certain := c.products[n] - riseErrors*timeDeviation*math.Sqrt(c.squares[n])
	return max(certain/(c.squares[n]+priorWeight), 0)
}

// throughput returns the logarithm of the throughput with n requests, in requests per usual time of one request.
func (c *latencyCurve) throughput(n int) float64 {
	t := math.Log(float64(n))
	for i := 2; i <= n; i++ {
		t -= c.rise(i)
	}
	return t
}

// best returns the smallest number of requests with nearly the best throughput, up to slots. The present one is kept
// unless another one is better by throughputMargin.
func (c *latencyCurve) best(slots, present int) int {
	best, most := 1, c.throughput(1)
	for n := 2; n <= slots; n++ {
		if t := c.throughput(n); t > most+1e-9 {
			best, most = n, t
		}
	}
	if present = min(present, slots); most-c.throughput(present) < throughputMargin {
		return present
	}
	return best
}

// loss returns the logarithm of the throughput that the server lacks since further requests make the others slower.
func (c *latencyCurve) loss(slots int) float64 {
	most := 0.0
	for n := 1; n <= slots; n++ {
		most = max(most, c.throughput(n))
	}
	return math.Log(float64(slots)) - most
}

// sum returns by how much the logarithm of the time is higher with the given number of requests than with one.
func (c *latencyCurve) sum(level float64) float64 {
	rises := 0.0
	for i := 2; i < len(c.products) && float64(i) <= level+0.5; i++ {
		rises += c.rise(i)
	}
	return rises
}

// uncertain reports whether too few samples tell n requests from n-1.
func (c *latencyCurve) uncertain(n int) bool {
	return n >= 2 && n < len(c.squares) && c.squares[n] < priorWeight
}
