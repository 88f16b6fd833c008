package sharedlimit

import (
	"math"
	"time"
)

const (
	// steadyConstant is the time constant of the average rate; with a shorter one the shares of accounts with few requests
	// vary too much. quickConstant is that of an average that notices within a second that callers have moved to
	// this host; it counts with its standard deviation subtracted.
	steadyConstant = 12 * time.Second
	quickConstant  = 500 * time.Millisecond
	// burstPart is the part of the standard deviation of the requests of one second that is added to the rate. Hosts with
	// few requests need more beyond their mean than others.
	burstPart = 1.0
	// minAge is the shortest time over which the rate is averaged.
	minAge = time.Second
	// noRate is the number of requests within the time constant below which the demand counts as none.
	noRate = 0.1
)

// demand estimates the rate of requests for one limit.
type demand struct {
	// steady and quick are numbers of requests that decay with their time constants.
	steady, quick float64
	updatedAt     time.Duration
	// startedAt is when the first request was counted.
	startedAt time.Duration
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
	if d.steady < noRate {
		d.startedAt = now
	}
	d.steady++
	d.quick++
}

// rate returns the number of requests per second that the host needs, by the average and its variation.
func (d *demand) rate(now time.Duration) float64 {
	d.decay(now)
	if d.steady < noRate {
		return 0
	}
	// The average has only seen the time since the first request.
	age := max(now-d.startedAt, minAge).Seconds()
	seen := steadyConstant.Seconds() * (1 - math.Exp(-age/steadyConstant.Seconds()))
	quick := d.quick - math.Sqrt(d.quick)
	rate := max(d.steady/seen, quick/quickConstant.Seconds())
	return rate + burstPart*math.Sqrt(rate)
}
