package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Request is one request of the schedule.
type Request struct {
	// ID is unique among the requests of all runs: a random prefix of the run and
	// the index.
	ID    string
	Index int
	// At is the start time, counted from the start of the run.
	At     time.Duration
	Key    string
	Method string
}

// scheduler draws the requests of a run in the order of their start.
type scheduler struct {
	config Config
	rand   *rand.Rand
	zipf   *rand.Zipf
	prefix string
	index  int
	at     time.Duration
}

// newScheduler returns the scheduler of a run. Equal configurations give equal
// schedules except for the prefix of the IDs.
func newScheduler(config Config, prefix string) *scheduler {
	random := rand.New(rand.NewPCG(config.Seed, 0))
	s := &scheduler{config: config, rand: random, prefix: prefix}
	if config.Distribution == Zipf {
		s.zipf = rand.NewZipf(random, config.ZipfExponent, 1, uint64(config.Keys-1))
	}
	return s
}

// next returns the next request, or false at the end of the run. The gaps between
// requests are exponentially distributed (Poisson arrivals).
func (s *scheduler) next() (Request, bool) {
	gap := s.rand.ExpFloat64() / s.config.Rate
	s.at += time.Duration(gap * float64(time.Second))
	limitReached := s.config.Requests > 0 && s.index >= s.config.Requests
	if limitReached || s.index >= MaxRequests || s.at >= s.config.Duration {
		return Request{}, false
	}
	request := Request{
		ID:     fmt.Sprintf("%s-%d", s.prefix, s.index),
		Index:  s.index,
		At:     s.at,
		Key:    fmt.Sprintf("key-%d", s.drawKey()),
		Method: http.MethodGet,
	}
	if s.rand.Float64() < s.config.WriteShare {
		request.Method = http.MethodPost
	}
	s.index++
	return request, true
}

// drawKey draws the number of a key.
func (s *scheduler) drawKey() int {
	if s.rand.Float64() < s.config.HotShare {
		return s.drawHotKey()
	}
	if s.zipf != nil {
		return int(s.zipf.Uint64())
	}
	return s.rand.IntN(s.config.Keys)
}

// drawHotKey draws a key of the current hot set. A hot set is a range of HotKeys
// consecutive keys; its first key is drawn from the seed for each interval.
func (s *scheduler) drawHotKey() int {
	interval := uint64(s.at / s.config.HotSetInterval)
	first := rand.New(rand.NewPCG(s.config.Seed, interval+1)).IntN(s.config.Keys)
	return (first + s.rand.IntN(s.config.HotKeys)) % s.config.Keys
}
