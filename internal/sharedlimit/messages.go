// Package sharedlimit keeps limits that all hosts share, by leased shares.
//
// A limit is named by a text, such as "account/NAME". Each host has a Holder, which holds fractions of limits as
// leases and turns them into token buckets with the rate and burst of the host's own configuration. The leader of
// the plan has an Allocator, which answers the holders' lease requests. The fractions that are usable at any time add up to
// 1 at most, whatever messages are lost or late, and whichever hosts are cut off, frozen or restarted.
//
// Package edge carries the messages, and package front takes the tokens. Both state machines get the time from
// their callers, start no goroutines, and are safe for concurrent use. If a share is wrong, an account exceeds its
// quota, or is refused below it. The design is described in docs/design/shared-limits.md.
package sharedlimit

import (
	"math"
	"time"
)

// Limit is a limit over all hosts, as a host's configuration gives it.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Ask is one message of a Holder to the Allocator. It lists all limits of which the host holds a share or has demand.
type Ask struct {
	// Host and Incarnation name the asking process, and Leader is the incarnation of the asked one.
	Host, Incarnation, Leader string
	// Plan is the version of the plan by which the host asks this leader.
	Plan uint64
	// Sequence numbers the lease requests of an incarnation from 1.
	Sequence uint64
	Needs    map[string]Need
}

// Need is what a host needs of one limit. All quantities but Refill are fractions of the limit.
type Need struct {
	// Demand is the rate of requests, refused ones included, divided by the limit's rate.
	Demand float64
	// Held is the fraction that the host may use now.
	Held float64
	// Useful is the smallest useful fraction; a smaller one is not given.
	Useful float64
	// Want is the number of tokens that are missing at once, divided by the limit's burst.
	Want float64
	// Surplus is the number of tokens since the last lease request for which the host's bucket had no room, divided by the burst.
	Surplus float64
	// Refill is the limit's rate divided by its burst, per second.
	Refill float64
	// Sticky says that a share stays as it is while it is held, so that what one host has used within a second is not
	// used again by another.
	Sticky bool
}

// Answer is the Allocator's answer to an Ask.
type Answer struct {
	// Lease is how long the grants hold from the time of asking, by the asker's clock.
	Lease time.Duration
	// Settled is false while the allocator does not know all shares that an earlier one has given.
	Settled bool
	Grants  map[string]Grant
}

// Grant is the share of one limit.
type Grant struct {
	// Fraction replaces the fraction that the host holds. Tokens, a fraction of the burst, are added to its bucket.
	Fraction, Tokens float64
	// Exhausted says that nothing more of the limit is free.
	Exhausted bool
}

// unit returns x if it is in [0, 1], and otherwise the nearer bound. A value that is no number counts as fallback.
func unit(x, fallback float64) float64 {
	if math.IsNaN(x) {
		return fallback
	}
	return min(max(x, 0), 1)
}

// atLeastZero returns x if it is positive and finite, and otherwise zero.
func atLeastZero(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return 0
	}
	return x
}

// clean returns the need without values that no correct host sends. A fraction held that is no number counts as the
// whole limit, since it is not known how much the host uses.
func (n Need) clean() Need {
	n.Demand = min(atLeastZero(n.Demand), maxDemand)
	n.Held = unit(n.Held, 1)
	n.Useful = unit(n.Useful, 1)
	n.Want = unit(n.Want, 0)
	n.Surplus = unit(n.Surplus, 0)
	n.Refill = min(atLeastZero(n.Refill), maxRefill)
	return n
}

const (
	// maxDemand is the highest demand that counts, in multiples of the limit. It keeps one host with a wrong
	// configuration from getting nearly all of a limit.
	maxDemand = 100
	// maxRefill is the highest refill that counts, in bursts per second.
	maxRefill = 1000
)
