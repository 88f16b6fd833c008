package dispatch

import (
	"slices"
	"time"
)

const (
	// minAvoid and maxAvoid are the shortest and longest time for which a server is avoided that could not be reached
	// or gave no answer. The time doubles with each such end in a row. A full server is avoided for fullAvoid.
	minAvoid  = 150 * time.Millisecond
	maxAvoid  = time.Second
	fullAvoid = 60 * time.Millisecond
)

// PoolServer is a server of a pool, as the owner of the pool knows it.
type PoolServer struct {
	ID string
	// Born distinguishes the incarnations of a server.
	Born int64
	// Slots is the number of requests that the server executes at a time.
	Slots int
	// Cold servers get requests only if there is no warm one, and Last ones if there is no other at all. Leaving ones
	// get none.
	Cold, Last, Leaving bool
}

// poolServer is a server with the requests that it has.
type poolServer struct {
	PoolServer
	// width is the maximum number of requests at the server, or zero if it has not been set.
	width   int
	running int
	// slowness is the average of the time that requests take divided by their expected work.
	slowness   float64
	avoidUntil time.Duration
	failures   int
	// usedAt orders servers that are equal otherwise.
	usedAt uint64
}

// record updates when the server is avoided.
func (s *poolServer) record(end PoolEnd, now time.Duration) {
	switch end {
	case PoolAnswered:
		s.failures = 0
		s.avoidUntil = 0
	case PoolFull:
		s.avoidUntil = max(s.avoidUntil, now+fullAvoid)
	case PoolUnreachable, PoolLost:
		s.avoidUntil = now + min(minAvoid<<min(s.failures, 8), maxAvoid)
		s.failures++
	}
}

// mayGet reports whether the server may get the request at all.
func (s *poolServer) mayGet(w poolWaiting) bool {
	return !s.Leaving && !slices.Contains(w.Excluded, s.ID)
}

// The classes of servers, in order of preference.
const (
	rankWarm = iota
	rankCold
	rankLast
)

// rank returns the server's class.
func (s *poolServer) rank(now time.Duration) int {
	switch {
	case s.Last || now < s.avoidUntil:
		return rankLast
	case s.Cold:
		return rankCold
	}
	return rankWarm
}

// cost is the server's slowness, plus a large constant if the request would wait for a slot there: a free slot is always
// better, since a request that waits here can still go anywhere.
func (s *poolServer) cost(busy int) float64 {
	if busy >= max(s.Slots, 1) {
		return maxSlowness + s.slowness
	}
	return s.slowness
}

// widthOf returns the maximum number of requests at a server now.
func (p *Pool) widthOf(s *poolServer, now time.Duration) int {
	if s.Leaving {
		return 0
	}
	width := max(s.Slots, 1)
	if s.slowness < fastSlowness {
		width += queuedAtFastServer
	}
	if s.width > 0 {
		width = min(width, s.width)
	}
	if now < p.startedAt+halfWidthFor {
		width = max(width/2, 1)
	}
	return width
}
