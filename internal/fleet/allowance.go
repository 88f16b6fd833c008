package fleet

import "time"

// Allowance limits the requests of one host to a cold server.
type Allowance struct {
	// PerSecond is the maximum number of requests in any period of one second.
	PerSecond float64
}

// ShareOf returns one host's share of the requests per second that a cold server may get from
// all hosts together.
func ShareOf(total float64, hosts int) Allowance {
	return Allowance{PerSecond: total / float64(max(hosts, 1))}
}

// bucket is a token bucket that keeps the requests of any second within an allowance: burst and
// refill of one second together make up the allowance.
type bucket struct {
	initialized bool
	tokens      float64
	refilledAt  time.Duration
}

// take takes a token for one request. It returns false if there is none. An allowance below one
// request per second admits nothing, since a single request would exceed it.
func (b *bucket) take(allowance Allowance, now time.Duration) bool {
	if allowance.PerSecond < 1 {
		return false
	}
	burst := max(1, allowance.PerSecond/2)
	refill := allowance.PerSecond - burst
	if !b.initialized {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+max(refill, 0)*(now-b.refilledAt).Seconds())
	}
	b.initialized = true
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
