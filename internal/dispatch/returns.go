package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// arrivalDecay is the time constant of the average of the work that arrives.
	arrivalDecay = time.Second
	// minFreeShare is the least share of the capacity that is given out to refused callers. Without it, a burst that
	// takes the whole capacity would leave no time to tell them.
	minFreeShare = 0.1
	// earlyReturn and lateReturn are how much before and after its time a caller may come back and still count as one
	// that has kept it. Retry-After is rounded to milliseconds, and the way to the host and back takes some more.
	earlyReturn = 2 * time.Millisecond
	lateReturn  = 500 * time.Millisecond
	// maxReturns limits the memory for callers that were told a time.
	maxReturns = 1024
)

// reservation is capacity that a refused caller has been told to come back for.
type reservation struct {
	at       time.Duration
	priority int
	work     time.Duration
	caller   uint64
}

// returnSchedule tells refused callers when to come back: each gets a time of its own, in order of priority, at which
// capacity is expected to be free. It is not safe for concurrent use.
type returnSchedule struct {
	// reserved is sorted by time.
	reserved []reservation
	// arrivals holds the work that new requests bring, by priority.
	arrivals map[int]*workRate
}

// workRate is a decaying average of the work that arrives, in seconds of work per second.
type workRate struct {
	value float64
	at    time.Duration
}

// valueAt returns the average as of now.
func (r *workRate) valueAt(now time.Duration) float64 {
	r.value *= math.Exp(-float64(now-r.at) / float64(arrivalDecay))
	r.at = now
	return r.value
}

// arrive records a request. It returns true if its caller has come back at the time that it was told. A caller that
// comes back earlier keeps its time and is no new load.
func (s *returnSchedule) arrive(item Item, now time.Duration) bool {
	s.expire(now)
	if i := s.find(item.Caller); i >= 0 {
		if now < s.reserved[i].at-earlyReturn {
			return false
		}
		s.reserved = slices.Delete(s.reserved, i, i+1)
		return true
	}
	if s.arrivals == nil {
		s.arrivals = make(map[int]*workRate)
	}
	rate := s.arrivals[item.Priority]
	if rate == nil {
		rate = &workRate{at: now}
		s.arrivals[item.Priority] = rate
	}
	rate.value = rate.valueAt(now) + item.Work.Seconds()/arrivalDecay.Seconds()
	return false
}

// expire removes the reservations of callers that have not come back in time.
func (s *returnSchedule) expire(now time.Duration) {
	past := 0
	for past < len(s.reserved) && s.reserved[past].at+lateReturn < now {
		past++
	}
	s.reserved = slices.Delete(s.reserved, 0, past)
}

// find returns the index of a caller's reservation, or -1 if it has none.
func (s *returnSchedule) find(caller uint64) int {
	if caller == 0 {
		return -1
	}
	return slices.IndexFunc(s.reserved, func(r reservation) bool { return r.caller == caller })
}

// refuse returns the time after which the caller of a refused request may come back. Width is the number of requests
// that run at a time, and backlog the work that is ahead of the request. The time is within a third of the caller's
// time, which is as long as callers wait. If no capacity is expected to be free until then, nothing is reserved.
func (s *returnSchedule) refuse(item Item, width int, backlog, now time.Duration) time.Duration {
	third := max((item.Deadline-now)/3, 0)
	longest := min(third, maxRetryAfter)
	if i := s.find(item.Caller); i >= 0 {
		return min(max(s.reserved[i].at-now, min(minRetryAfter, third)), longest)
	}
	at := s.freeAt(item, float64(max(width, 1)), max(backlog, 0), now+min(minRetryAfter, third), now)
	if at > now+longest {
		return longest
	}
	if item.Caller != 0 && len(s.reserved) < maxReturns {
		s.insert(reservation{at: at, priority: item.Priority, work: item.Work, caller: item.Caller})
	}
	return at - now
}

// freeAt returns the time by which the capacity that new requests of the same or a more urgent priority leave free
// suffices for the reservations of these priorities and for the item, counted from the earliest time at which the backlog
// has been served.
func (s *returnSchedule) freeAt(item Item, width float64, backlog, earliest, now time.Duration) time.Duration {
	free := width
	for priority, rate := range s.arrivals {
		if priority <= item.Priority {
			free -= rate.valueAt(now)
		}
	}
	free = max(free, minFreeShare*width)
	start := max(now+time.Duration(float64(backlog)/width), earliest)
	work := item.Work
	at := start + time.Duration(float64(work)/free)
	for _, r := range s.reserved {
		if r.at > at {
			break
		}
		if r.priority <= item.Priority {
			work += r.work
			at = start + time.Duration(float64(work)/free)
		}
	}
	return at
}

// insert adds a reservation.
func (s *returnSchedule) insert(r reservation) {
	i, _ := slices.BinarySearchFunc(s.reserved, r.at, func(r reservation, at time.Duration) int { return cmp.Compare(r.at, at) })
	s.reserved = slices.Insert(s.reserved, i, r)
}
