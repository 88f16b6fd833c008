package fleet

import (
	"math/rand/v2"
	"time"
)

const (
	// soleUsable and sharedUsable are the parts of a server's limit that the hosts use: one host that
	// sends alone, and all hosts together if each sends by itself. Both together stay below one and a half
	// times the limit, for when some hosts cannot reach the one that should send alone. Hosts of the
	// server's zone, which prefer it, share zoneUsable, and the others what is left.
	soleUsable   = 0.75
	sharedUsable = 0.5
	zoneUsable   = 0.4
	// slotLifetime is how long a host that shares a limit may use one of its slots. Slots that hosts
	// kept for later would add up to a burst.
	slotLifetime = time.Second
	// minLimit is the lowest limit that is applied, in requests per second. A server that takes less still
	// gets a request at times, because only its answers show when the limit has ended.
	minLimit = 0.05
	// limitFreshFor is how long after the last answer that named it a limit is reported to the leader.
	limitFreshFor = 5 * time.Second
	// minLongPause is how much longer a pause must last for the keys of the server to be moved away.
	minLongPause = time.Second
	// maxReturn is the longest time after which a refused caller is asked to come back.
	maxReturn = 2 * time.Second
)

// Share is the part of a server's limit that one host may use.
type Share struct {
	// Alone means that no other host sends to the server. Part is then not used.
	Alone bool
	// Part is this host's part of the limit, from 0 to 1.
	Part float64
}

// SoleShare is the share of the only host that sends to a server.
var SoleShare = Share{Alone: true}

// SharedBy returns the share of one host if each sends to the server by itself. zoneHosts and
// otherHosts are the numbers of hosts in the server's zone and in other ones, with this host, and inZone says in which it is.
func SharedBy(zoneHosts, otherHosts int, inZone bool) Share {
	switch {
	case zoneHosts == 0 || otherHosts == 0:
		return Share{Part: sharedUsable / float64(max(zoneHosts+otherHosts, 1))}
	case inZone:
		return Share{Part: zoneUsable / float64(zoneHosts)}
	}
	return Share{Part: (sharedUsable - zoneUsable) / float64(otherHosts)}
}

// serverLimit keeps this host's requests to a server within its share of the limit that the server has
// named for all hosts together. The host sends in slots: a host that sends alone has one at regular
// intervals; of hosts that share, each has slots at random times, independent of the others, so
// that the sum over any number of hosts stays near its mean without messages between them.
type serverLimit struct {
	// perSecond is the limit in requests per second, or zero if the server names none.
	perSecond float64
	// namedAt is the time of the last answer that named the limit.
	namedAt time.Duration
	// nextAt is the time of this host's next slot.
	nextAt time.Duration
	// returnAt is the time at which the caller that was refused last was asked to come back.
	returnAt time.Duration
	// random returns an exponentially distributed number with mean 1; nil stands for rand.ExpFloat64.
	random func() float64
}

// name records that an answer has named the limit. It returns true if the limit changes.
func (l *serverLimit) name(perSecond float64, share Share, now time.Duration) bool {
	perSecond = max(perSecond, minLimit)
	l.namedAt = now
	if perSecond == l.perSecond {
		return false
	}
	raised := l.perSecond > 0 && perSecond > l.perSecond
	l.perSecond = perSecond
	next := now + l.untilNext(share)
	if raised {
		next = min(next, l.nextAt)
	}
	l.nextAt = next
	return true
}

// clear ends the limit. It returns false if there was none.
func (l *serverLimit) clear() bool {
	limited := l.perSecond > 0
	*l = serverLimit{random: l.random}
	return limited
}

// open reports whether the host may send a request now.
func (l *serverLimit) open(share Share, now time.Duration) bool {
	if l.perSecond == 0 {
		return true
	}
	if !share.Alone && now > l.nextAt+slotLifetime {
		l.nextAt = now + l.untilNext(share)
	}
	return now >= l.nextAt
}

// take uses the slot for a request. It returns false if there is none.
func (l *serverLimit) take(share Share, now time.Duration) bool {
	if !l.open(share, now) {
		return false
	}
	if l.perSecond > 0 {
		l.nextAt = now + l.untilNext(share)
	}
	return true
}

// interval returns the mean time between two requests if the given part of the limit is used.
func (l *serverLimit) interval(part float64) time.Duration {
	return time.Duration(float64(time.Second) / (part * l.perSecond))
}

// untilNext returns the time until this host's next slot.
func (l *serverLimit) untilNext(share Share) time.Duration {
	if share.Alone {
		return l.interval(soleUsable)
	}
	random := l.random
	if random == nil {
		random = rand.ExpFloat64
	}
	return time.Duration(random() * float64(l.interval(share.Part)))
}

// returnAfter returns the time after which a refused caller should come back, above zero. Callers that
// are refused in a row get times that are as far apart as the slots.
func (l *serverLimit) returnAfter(share Share, now time.Duration) time.Duration {
	if l.perSecond == 0 {
		return time.Millisecond
	}
	interval := l.interval(sharedUsable)
	at := max(now, l.returnAt) + interval
	if share.Alone {
		at = max(l.nextAt, l.returnAt+l.interval(soleUsable))
	}
	l.returnAt = min(at, now+maxReturn)
	return max(l.returnAt-now, time.Millisecond)
}
