package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Request is one planned request.
type Request struct {
	// ID is unique within the run and, by the seed, among runs.
	ID     string
	Index  int
	At     time.Duration
	Key    string
	Method string
}

// scheduler draws the requests of a run one after the other.
type scheduler struct {
	config Config
	rand   *rand.Rand
	zipf   *rand.Zipf
	prefix string
	index  int
	at     time.Duration
}

// newScheduler returns the schedule of a run. Equal configurations give equal
// schedules, but for the prefix of the IDs.
func newScheduler(config Config, prefix string) *scheduler {
	random := rand.New(rand.NewPCG(config.Seed, 0))
	s := &scheduler{config: config, rand: random, prefix: prefix}
	if config.Distribution == Zipf {
		s.zipf = rand.NewZipf(random, config.ZipfExponent, 1, uint64(config.Keys-1))
	}
	return s
}

// next returns the next request, and false at the end of the run.
func (s *scheduler) next() (Request, bool) {
	gap := s.rand.ExpFloat64() / s.config.Rate
	s.at += time.Duration(gap * float64(time.Second))
	full := s.config.Requests > 0 && s.index >= s.config.Requests
	if full || s.index >= MaxRequests || s.at >= s.config.Duration {
		return Request{}, false
	}
	request := Request{
		ID:     fmt.Sprintf("%s-%d", s.prefix, s.index),
		Index:  s.index,
		At:     s.at,
		Key:    fmt.Sprintf("key-%d", s.key()),
		Method: http.MethodGet,
	}
	if s.rand.Float64() < s.config.WriteShare {
		request.Method = http.MethodPost
	}
	s.index++
	return request, true
}

func (s *scheduler) key() int {
	if s.rand.Float64() < s.config.HotShare {
		return s.hotKey()
	}
	if s.zipf != nil {
		return int(s.zipf.Uint64())
	}
	return s.rand.IntN(s.config.Keys)
}

// hotKey draws from the set that is hot now. Sets follow each other in an
// order that the seed gives.
func (s *scheduler) hotKey() int {
	period := uint64(s.at / s.config.HotMoves)
	first := rand.New(rand.NewPCG(s.config.Seed, period+1)).IntN(s.config.Keys)
	return (first + s.rand.IntN(s.config.HotKeys)) % s.config.Keys
}
