package sharedlimit

import (
	"slices"
	"time"
)

const (
	// headroom is the share that a host gets while the demand is below the limit, in multiples of its demand, so that it
	// rarely runs empty at random arrivals.
	headroom = 1.2
	// newcomerPart is the part of the total that is not given in proportion to demand, so that a host that asks for
	// the first time gets a share at once, and hosts with small shares get tokens at bursts.
	newcomerPart = 0.1
	// demandFor is how long the demand of a host counts after its ask. Hosts with demand ask once a second.
	demandFor = 3 * time.Second
	// emptyPart is the part of what is free that a host whose bucket is empty gets beyond its demand.
	emptyPart = 0.1
	// keptPart is the part of a fraction that stays at the next lease request while the demand is below the limit. Small
	// accounts would otherwise lose their share at each pause.
	keptPart = 0.9
	// minFraction is the smallest fraction that is given; a smaller demand counts as none.
	minFraction = 1e-4
)

// pool holds the shares of one limit at the allocator.
type pool struct {
	// shares are in the order of the hosts' first asks.
	shares []*share
	// reported is the sum of the fractions that hosts held when they first reported in this term.
	reported float64
	// tokens is the content of the bucket of the free part, as a fraction of the limit's burst. It makes up for
	// bursts at hosts with small shares.
	tokens     float64
	refilledAt time.Duration
	// perSecond is the refill of the last need, and free the part that was free after it.
	perSecond, free float64
}

// share is what the allocator counts for one host.
type share struct {
	host string
	// counted is the highest fraction that the host may be using, until expiresAt.
	counted   float64
	expiresAt time.Duration
	// demand is that of the last lease request, at askedAt.
	demand  float64
	askedAt time.Duration
}

// expire removes the shares whose leases have ended.
func (p *pool) expire(now time.Duration) {
	p.shares = slices.DeleteFunc(p.shares, func(s *share) bool { return now >= s.expiresAt })
}

// remove removes the share of a host.
func (p *pool) remove(host string) {
	p.shares = slices.DeleteFunc(p.shares, func(s *share) bool { return s.host == host })
}

// get returns the share of a host, which it creates if necessary.
func (p *pool) get(host string) *share {
	for _, s := range p.shares {
		if s.host == host {
			return s
		}
	}
	s := &share{host: host}
	p.shares = append(p.shares, s)
	return s
}

// counted returns the sum of the fractions that hosts other than the given one may be using.
func (p *pool) counted(except string) float64 {
	sum := 0.0
	for _, s := range p.shares {
		if s.host != except {
			sum += s.counted
		}
	}
	return sum
}

// grant answers a host's need out of the total. The share counts for the given time from now on.
func (p *pool) grant(host string, need Need, total float64, now, reserved time.Duration) Grant {
	p.expire(now)
	s := p.get(host)
	// The host has stopped using a higher fraction of an earlier answer: it ignores answers to asks before this one.
	s.counted = need.Held
	s.demand, s.askedAt, s.expiresAt = need.Demand, now, now+reserved
	others := p.counted(host)
	free := max(total-others-s.counted, 0)
	p.refill(free, need.Refill, now)
	p.tokens = min(p.tokens+need.Surplus, free)
	available := max(total-others, 0)
	target, contended := p.target(need, total, free, now)
	fraction := min(target, available)
	if fraction < max(need.Useful, minFraction) {
		fraction = 0
	}
	s.counted = max(need.Held, fraction)
	if fraction == 0 {
		need.Want = 0
	}
	p.free = max(total-others-s.counted, 0)
	return Grant{
		Fraction:  fraction,
		Tokens:    p.takeTokens(need),
		Exhausted: contended && fraction <= need.Held && p.tokens < need.Want,
	}
}

// target returns the fraction that a host should have if it is available, and whether the hosts need more than the total.
func (p *pool) target(need Need, total, free float64, now time.Duration) (float64, bool) {
	if need.Sticky {
		return max(need.Held, need.Demand*headroom, need.Useful), free <= 0
	}
	if need.Demand == 0 && need.Want == 0 {
		return 0, false
	}
	demands, silent := p.demands(now)
	usable := max(total*(1-newcomerPart)-silent, 0)
	if wanted := need.Demand * headroom; demands*headroom <= usable {
		if need.Want > 0 {
			wanted = max(wanted, min(need.Held+emptyPart*free, 2*wanted+need.Want))
		}
		return max(wanted, need.Held*keptPart, need.Useful), false
	}
	if demands == 0 {
		return 0, true
	}
	return need.Demand * usable / demands, demands > usable
}

// demands returns the sum of the demands of all hosts, and the sum of the fractions that silent hosts may be using.
func (p *pool) demands(now time.Duration) (sum, silent float64) {
	for _, s := range p.shares {
		if now-s.askedAt > demandFor {
			silent += s.counted
		} else {
			sum += s.demand
		}
	}
	return sum, silent
}

// refill adds the tokens of the free part since the last call. Tokens and refill of the free part and of all shares
// together are those of one bucket with the rate and burst of the limit.
func (p *pool) refill(free, perSecond float64, now time.Duration) {
	elapsed := (now - p.refilledAt).Seconds()
	p.refilledAt, p.perSecond = now, perSecond
	// Of what has become free since, the former holder may have used the refill.
	p.tokens = min(p.tokens+elapsed*perSecond*min(p.free, free), free)
	p.free = free
}

// full reports whether the limit has no shares and its bucket is full, so that the pool need not be kept.
func (p *pool) full(now time.Duration) bool {
	if len(p.shares) > 0 {
		return false
	}
	p.refill(SettledTotal, p.perSecond, now)
	return p.tokens >= SettledTotal
}

// takeTokens takes the tokens that go to a host with the given need: those for which the free part has no more room,
// and what it wants.
func (p *pool) takeTokens(need Need) float64 {
	taken := max(p.tokens-p.free, min(need.Want, p.tokens), 0)
	p.tokens -= taken
	return taken
}
