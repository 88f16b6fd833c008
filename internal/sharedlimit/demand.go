package sharedlimit

import (
	"math"
	"time"
)

const (
	// steadyConstant is the time constant of the average rate. quickConstant is that of an average that notices within
	// half a second that callers have moved to this host; it counts with its standard deviation subtracted.
	steadyConstant = 1500 * time.Millisecond
	quickConstant  = 500 * time.Millisecond
	// noRate is the number of requests within the time constant below which the demand counts as none.
	noRate = 0.02
)

// demand estimates the rate of requests for one limit.
type demand struct {
	// steady and quick are numbers of requests that decay with their time constants.
	steady, quick float64
	updatedAt     time.Duration
}

// decay updates the numbers to the given time.
func (d *demand) decay(now time.Duration) {
	elapsed := now - d.updatedAt
	if elapsed <= 0 {
		return
	}
	d.steady *= math.Exp(-elapsed.Seconds() / steadyConstant.Seconds())
	d.quick *= math.Exp(-elapsed.Seconds() / quickConstant.Seconds())
	d.updatedAt = now
}

// add counts one request.
func (d *demand) add(now time.Duration) {
	d.decay(now)
	d.steady++
	d.quick++
}

// rate returns the estimated number of requests per second.
func (d *demand) rate(now time.Duration) float64 {
	d.decay(now)
	if d.steady < noRate {
		return 0
	}
	quick := d.quick - math.Sqrt(d.quick)
	return max(d.steady/steadyConstant.Seconds(), quick/quickConstant.Seconds())
}
