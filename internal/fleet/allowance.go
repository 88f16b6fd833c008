package fleet

import "time"

// Allowance limits the requests of one host to a cold server.
type Allowance struct {
	// PerSecond is the maximum number of requests in any period of one second.
	PerSecond float64
	// Spaced says that a host with fewer than two requests a second sends one in each spacing. A bucket with room for one
	// request would refill too slowly: with one request a second, not at all.
	Spaced bool
}

// spacing is the time between two requests of a spaced allowance: a second, and a margin for different delays on the
// way to the server.
const spacing = 1050 * time.Millisecond

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
	if allowance.Spaced && allowance.PerSecond < 2 {
		return b.takeSpaced(now)
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

// takeSpaced takes a token of a spaced allowance.
func (b *bucket) takeSpaced(now time.Duration) bool {
	if b.initialized && now-b.refilledAt < spacing {
		return false
	}
	b.initialized, b.tokens, b.refilledAt = true, 0, now
	return true
}
