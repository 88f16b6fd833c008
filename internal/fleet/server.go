package fleet

import (
	"math"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Ending is how one attempt at a server ended.
type Ending int

const (
	// Answered means that the server executed the request and its complete answer arrived.
	Answered Ending = iota
	// Failed means that the server answered with a failure or gave no usable answer.
	Failed
	// Shed means that the server refused the request because it is full.
	Shed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Cancelled means that the attempt says nothing about the server's health.
	Cancelled
)

// Refusal says why a server may get no request now.
type Refusal int

const (
	// NotRefused means that the request may be sent.
	NotRefused Refusal = iota
	// RefusedCold means that the server is cold and this host's allowance for it is used up.
	RefusedCold
	// RefusedLimit means that the server has named a limit and this host's share of it is used up, or that it
	// has asked this host for a pause.
	RefusedLimit
)

const (
	// sampleWeight is the weight of a new observation in a moving average.
	sampleWeight = 0.25
	// slownessDecay is the time constant of the slowness that is reported to the leader.
	slownessDecay = 3 * time.Second
	// selectionDecay is the time constant of the estimates by which servers are chosen. It is short
	// because the load of machines that servers share with others changes within half a second.
	selectionDecay = 500 * time.Millisecond
	// loadReportDecay is the time in which a load report's weight falls to 1/e.
	loadReportDecay = 250 * time.Millisecond
	// minSkip and maxSkip are the shortest and longest time for which an unreachable server is
	// skipped. The time doubles with each failed connection in a row.
	minSkip = 150 * time.Millisecond
	maxSkip = time.Second
	// shedSkip is how long a server that was full is skipped.
	shedSkip = 60 * time.Millisecond
	// failureWeight is the cost that is added for a server that always fails, in multiples of the
	// route's baseline latency.
	failureWeight = 8.0
	// maxRatio caps the relative latency of one sample.
	maxRatio = 12.0
)

// Server holds one host's estimates of the load and health of one incarnation of a backend
// server. It is safe for concurrent use.
type Server struct {
	// Target holds this host's connections to the server.
	Target *transport.Target

	mu    sync.Mutex
	entry Entry
	// coldUntil is the end of the cold time by the host's clock. Until then, bucket limits the
	// requests to the server.
	coldUntil time.Duration
	bucket    bucket
	// limit is the limit that the server names in its answers, and leaving says that an answer has
	// announced its shutdown.
	limit   serverLimit
	leaving bool
	// pausedUntil is the end of the pause for which the server has asked this host.
	pausedUntil time.Duration
	// inFlight is the number of this host's requests at the server.
	inFlight int
	// otherRequests is the number of other hosts' requests at the server as of reportedAt, the time
	// of the last load report.
	otherRequests float64
	reportedAt    time.Duration
	// slowness and recentSlowness are averages of the latency divided by the route's baseline;
	// failures is the average share of failed attempts. Slowness changes slowly and is reported to
	// the leader. The other two decide which server is chosen.
	slowness, recentSlowness, failures decayingAverage
	// sampledAt is the time of the last sample of the slowness.
	sampledAt time.Duration
	// Until skipUntil the server is skipped. connectFailures counts failed connections in a row.
	skipUntil       time.Duration
	connectFailures int
}

func newServer(entry Entry, target *transport.Target, now time.Duration) *Server {
	return &Server{
		Target: target, sampledAt: now - 2*slownessDecay, entry: entry, coldUntil: now + entry.ColdFor,
		slowness:       decayingAverage{value: 1, resting: 1, timeConstant: slownessDecay, updatedAt: now},
		recentSlowness: decayingAverage{value: 1, resting: 1, timeConstant: selectionDecay, updatedAt: now},
		failures:       decayingAverage{timeConstant: selectionDecay, updatedAt: now},
	}
}

// update replaces the entry by a newer one of the same incarnation.
func (s *Server) update(entry Entry, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.Sequence != s.entry.Sequence {
		s.coldUntil = now + entry.ColdFor
	}
	s.entry = entry
}

// Entry returns the newest entry.
func (s *Server) Entry() Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

// Leaving reports whether the server is shutting down, by its entry or by one of its answers.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || s.entry.Draining
}

// MarkLeaving records that the server has announced its shutdown in an answer. It returns
// true if that is news.
func (s *Server) MarkLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := !s.leaving
	s.leaving = true
	return news
}

// MarkCold marks the server as cold for at least the given time from now on.
func (s *Server) MarkCold(d, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = max(s.coldUntil, now+d)
}

// Cold reports whether the server is cold.
func (s *Server) Cold(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.coldUntil
}

// Begin counts a request that is about to be sent; End must follow. It counts nothing if it
// returns a refusal.
func (s *Server) Begin(allowance Allowance, share Share, now time.Duration) Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open(share, now) {
		return RefusedLimit
	}
	if now < s.coldUntil && !s.bucket.take(allowance, now) {
		return RefusedCold
	}
	s.limit.take(share, now)
	s.inFlight++
	return NotRefused
}

// ColdReady reports whether the server is cold and the allowance has a request left now.
func (s *Server) ColdReady(allowance Allowance, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.bucket
	return now < s.coldUntil && bucket.take(allowance, now)
}

// Limit returns the limit that the server names, in requests per second from all hosts together, or
// zero if it names none.
func (s *Server) Limit() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.perSecond
}

// freshLimit returns the limit, and false if there is none or it was last named longer than limitFreshFor
// ago. A server that has asked for a long pause counts as one with the lowest limit.
func (s *Server) freshLimit(now time.Duration) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.pausedUntil-minLongPause {
		return minLimit, true
	}
	return s.limit.perSecond, s.limit.perSecond > 0 && now-s.limit.namedAt <= limitFreshFor
}

// NameLimit records that an answer of the server has named a limit, in requests per second. It returns
// true if the limit changes.
func (s *Server) NameLimit(perSecond float64, share Share, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.name(perSecond, share, now)
}

// EndLimit records that an answer to a request that was sent at sentAt named no limit. It returns true
// if this ends the limit. An answer to a request that was sent before the limit was last named may
// be older than that.
func (s *Server) EndLimit(sentAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sentAt > s.limit.namedAt && s.limit.clear()
}

// ClearLimit records that another host has learned that the limit has ended. It returns true if there
// was one.
func (s *Server) ClearLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.clear()
}

// ReturnAfter returns the time after which a caller should come back that was refused with RefusedLimit.
func (s *Server) ReturnAfter(share Share, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.limit.returnAfter(share, now), s.pausedUntil-now)
}

// Restricted reports whether the server names a limit or has asked this host for a pause, so that Open has to
// be asked.
func (s *Server) Restricted(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.perSecond > 0 || now < s.pausedUntil
}

// Open reports whether the server takes a request of this host now, by the host's share of its limit.
func (s *Server) Open(share Share, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open(share, now)
}

// open is Open for callers that hold the lock.
func (s *Server) open(share Share, now time.Duration) bool {
	return now >= s.pausedUntil && s.limit.open(share, now)
}

// Pause records that the server has asked this host for a pause until the given time.
func (s *Server) Pause(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = max(s.pausedUntil, until)
}

// End updates the estimates with the end of an attempt. Ratio is its latency divided by the
// route's baseline, or zero if the latency is not meaningful.
func (s *Server) End(ending Ending, ratio float64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if ending == Cancelled {
		return
	}
	switch ending {
	case Answered:
		if ratio > 0 {
			s.sampledAt = now
			s.slowness.sample(min(ratio, maxRatio), now)
			s.recentSlowness.sample(min(ratio, maxRatio), now)
		}
		s.failures.sample(0, now)
		s.connectFailures = 0
	case Failed:
		s.failures.sample(1, now)
	case Shed:
		s.skipUntil = now + shedSkip
	case Unreachable:
		s.connectFailures++
		s.skipUntil = now + min(minSkip<<min(s.connectFailures-1, 8), maxSkip)
	}
}

// Report updates the estimate of other hosts' requests with the load that came with an answer.
func (s *Server) Report(report LoadReport, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The server no longer counts the answered request, but inFlight still does.
	s.otherRequests = max(0, float64(report.Running+report.Waiting-(s.inFlight-1)))
	s.reportedAt = now
}

// Occupancy returns the estimated number of requests at the server, divided by its slots.
func (s *Server) Occupancy(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.occupancy(now)
}

// occupancy is Occupancy for callers that hold the lock.
func (s *Server) occupancy(now time.Duration) float64 {
	others := s.otherRequests * math.Exp(-float64(now-s.reportedAt)/float64(loadReportDecay))
	return (others + float64(s.inFlight)) / float64(max(s.entry.Slots, 1))
}

// Skipped reports whether the server is to be skipped because it was unreachable or full.
func (s *Server) Skipped(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.skipUntil
}

// Slowness returns the average latency at the server divided by the routes' baselines; 1 is normal.
func (s *Server) Slowness(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowness.valueAt(now)
}

// freshSlowness returns the slowness as of the last sample, and false if that is older than
// slownessDecay.
func (s *Server) freshSlowness(now time.Duration) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.sampledAt > slownessDecay {
		return 1, false
	}
	return s.slowness.value, true
}

// cost estimates the time of a request at the server as a multiple of the route's baseline latency.
// It adds the expected wait for a slot, a little for every occupied slot, and a penalty for failures.
func (s *Server) cost(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := max(0, s.occupancy(now)+1/float64(max(s.entry.Slots, 1))-1)
	return s.recentSlowness.valueAt(now)*(1+wait+0.2*s.occupancy(now)) + failureWeight*s.failures.valueAt(now)
}
