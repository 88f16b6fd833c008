package fleet

import (
	"math"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Ending is how one try at a server ended.
type Ending int

const (
	// Answered means that the server ran the request and its whole answer came.
	Answered Ending = iota
	// Failed means that the server answered with a failure, or its answer was not usable.
	Failed
	// Shed means that the server refused the request because it is full.
	Shed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Cancelled means that the try tells nothing of the server.
	Cancelled
)

const (
	// sampleWeight is the weight of a new observation in a moving average.
	sampleWeight = 0.25
	// forgetAfter is the time in which the speed of a server, as it is reported, fades to 1/e.
	forgetAfter = 3 * time.Second
	// choiceFadesAfter is the same for the opinion by which servers are chosen: machines that servers share
	// with others change within half a second.
	choiceFadesAfter = 500 * time.Millisecond
	// reportFadesAfter is the time in which a load report fades to 1/e.
	reportFadesAfter = 250 * time.Millisecond
	// firstPause and maxPause bound the time for which a server that could not be reached is left out.
	firstPause = 150 * time.Millisecond
	maxPause   = time.Second
	// shedPause is how long a server that was full is passed over.
	shedPause = 60 * time.Millisecond
	// failureWeight is how many times a server that always fails is thought to be slower.
	failureWeight = 8.0
	// maxRatio bounds one observation of latency in relation to the usual.
	maxRatio = 12.0
)

// Server is what one host knows of one life of a backend server. It is safe for concurrent use.
type Server struct {
	Target *transport.Target

	mu    sync.Mutex
	entry Entry
	// coldUntil is the host's clock at the end of the cold time.
	coldUntil time.Duration
	bucket    bucket
	inFlight  int
	// others is the number of requests of other hosts at the last report, at reported.
	others   float64
	reported time.Duration
	// slowness and recent are moving averages of latency in relation to the route's usual one, failures of the
	// share of failures. Slowness is the lasting speed, recent and failures are what the choice goes by.
	slowness, recent, failures fading
	// sampled is when a try last told of the slowness.
	sampled time.Duration
	// pauseUntil leaves the server out for a while; misses counts failed connections in a row.
	pauseUntil time.Duration
	misses     int
}

func newServer(entry Entry, target *transport.Target, now time.Duration) *Server {
	return &Server{
		Target: target, sampled: now - 2*forgetAfter, entry: entry, coldUntil: now + entry.ColdFor,
		slowness: fading{value: 1, rest: 1, after: forgetAfter, at: now},
		recent:   fading{value: 1, rest: 1, after: choiceFadesAfter, at: now},
		failures: fading{after: choiceFadesAfter, at: now},
	}
}

// update takes a newer entry of the same life.
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

// Chill notes that the server is cold for at least the given time from now on.
func (s *Server) Chill(d, now time.Duration) {
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

// Begin notes that a request is about to be sent. It returns false where the
// server is cold and this host's share of its allowance is used up.
func (s *Server) Begin(allowance Allowance, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.coldUntil && !s.bucket.take(allowance, now) {
		return false
	}
	s.inFlight++
	return true
}

// End notes how a try ended. Ratio is its latency in relation to the usual one of its
// route, zero where it tells nothing.
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
			s.sampled = now
			s.slowness.sample(min(ratio, maxRatio), now)
			s.recent.sample(min(ratio, maxRatio), now)
		}
		s.failures.sample(0, now)
		s.misses = 0
	case Failed:
		s.failures.sample(1, now)
	case Shed:
		s.pauseUntil = now + shedPause
	case Unreachable:
		s.misses++
		s.pauseUntil = now + min(firstPause<<min(s.misses-1, 8), maxPause)
	}
}

// Report takes the load that came with an answer.
func (s *Server) Report(report LoadReport, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The request that was answered counts in the server's figure no longer.
	s.others = max(0, float64(report.Running+report.Waiting-(s.inFlight-1)))
	s.reported = now
}

// Occupancy returns the requests that the server is thought to have, in relation to its slots.
func (s *Server) Occupancy(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.occupancy(now)
}

func (s *Server) occupancy(now time.Duration) float64 {
	others := s.others * math.Exp(-float64(now-s.reported)/float64(reportFadesAfter))
	return (others + float64(s.inFlight)) / float64(max(s.entry.Slots, 1))
}

// Paused reports whether the server is left out for a while.
func (s *Server) Paused(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.pauseUntil
}

// Slowness returns the moving average of latency in relation to the usual.
func (s *Server) Slowness(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowness.now(now)
}

// judgement returns the slowness, and false where no try has told of it of late.
func (s *Server) judgement(now time.Duration) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.sampled > forgetAfter {
		return 1, false
	}
	return s.slowness.value, true
}

// cost is the expected time of a request at the server in relation to the usual time.
func (s *Server) cost(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := max(0, s.occupancy(now)+1/float64(max(s.entry.Slots, 1))-1)
	return s.recent.now(now)*(1+wait+0.2*s.occupancy(now)) + failureWeight*s.failures.now(now)
}
