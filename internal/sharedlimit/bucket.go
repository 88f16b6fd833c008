package sharedlimit

import "time"

// bucket is a token bucket whose rate and burst may change at each use. It starts with one token.
type bucket struct {
	started    bool
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens since the last call, at the rate and burst of a share. A share of less than one request has
// room for one.
func (b *bucket) refill(share Limit, now time.Duration) {
	capacity := max(share.Burst, 1)
	if !b.started {
		b.started, b.tokens, b.refilledAt = true, 1, now
	}
	b.tokens = min(b.tokens+share.Rate*max(now-b.refilledAt, 0).Seconds(), capacity)
	b.refilledAt = max(b.refilledAt, now)
}

// add adds tokens, up to the burst of the share. It may take them away to charge for a retry; the bucket's debt is
// then at most that of one burst.
func (b *bucket) add(tokens float64, share Limit) {
	capacity := max(share.Burst, 1)
	b.tokens = max(min(b.tokens+tokens, capacity), -capacity)
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
	b.tokens = min(b.tokens, 0)
	b.refilledAt = now
}
