package sharedlimit

import "time"

// bucket is a token bucket whose rate and burst may change at each use. It starts empty, as the first tokens come with
// the share.
type bucket struct {
	started    bool
	tokens     float64
	refilledAt time.Duration
	// surplus is the number of tokens for which there was no room since the last lease request. They go back to the allocator.
	surplus float64
}

// capacity is the number of tokens for which the bucket of a share has room. A share of less than one request has room
// for one.
func (l Limit) capacity() float64 { return max(l.Burst, 1) }

// refill adds the tokens since the last call, at the rate and burst of a share. It leaves tokens beyond the capacity,
// which an answer has brought for requests that wait.
func (b *bucket) refill(share Limit, now time.Duration) {
	if !b.started {
		b.started, b.refilledAt = true, now
	}
	added := share.Rate * max(now-b.refilledAt, 0).Seconds()
	room := max(share.capacity()-b.tokens, 0)
	b.tokens += min(added, room)
	b.surplus += max(added-room, 0)
	b.refilledAt = max(b.refilledAt, now)
}

// clip removes the tokens beyond the capacity.
func (b *bucket) clip(share Limit) {
	excess := max(b.tokens-share.capacity(), 0)
	b.tokens -= excess
	b.surplus += excess
}

// giveBack adds tokens up to the capacity. A negative number charges for a retry; the bucket's debt is at most one burst.
func (b *bucket) giveBack(tokens float64, share Limit) {
	b.tokens = max(min(b.tokens+tokens, max(b.tokens, share.capacity())), -share.capacity())
}

// take takes a token and reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// empty removes all tokens, but not a debt.
func (b *bucket) empty(now time.Duration) {
	b.surplus += max(b.tokens, 0)
	b.tokens = min(b.tokens, 0)
	b.refilledAt = now
}
