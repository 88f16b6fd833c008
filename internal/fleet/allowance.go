package fleet

import "time"

// Allowance is what one host may send to a cold server.
type Allowance struct {
	// PerSecond is the largest number of requests in any second.
	PerSecond float64
}

// ShareOf returns one host's share of what a cold server takes from all hosts.
func ShareOf(total float64, hosts int) Allowance {
	return Allowance{PerSecond: total / float64(max(hosts, 1))}
}

// bucket keeps the requests of any second within an allowance: at most burst at
// once, and as many more in the second as are refilled.
type bucket struct {
	used   bool
	tokens float64
	filled time.Duration
}

// An allowance below one a second gives nothing, since one request would exceed it.
func (b *bucket) take(allowance Allowance, now time.Duration) bool {
	if allowance.PerSecond < 1 {
		return false
	}
	burst := max(1, allowance.PerSecond/2)
	refill := allowance.PerSecond - burst
	if !b.used {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+max(refill, 0)*(now-b.filled).Seconds())
	}
	b.used = true
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
