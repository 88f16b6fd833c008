package concurrency

import (
	"math"
	"slices"
	"time"
)

// learnedWidth is the policy of this package.
type learnedWidth struct {
	s   *replayServer
	now time.Duration
	q   bool
}

func (p *learnedWidth) ended(_, _, now time.Duration, _ int, queued bool) { p.now, p.q = now, queued }
func (p *learnedWidth) width() int {
	return p.s.host.learner.Width(Server{p.s.ID, 1}, p.s.slots, p.q, p.now)
}

// fixedWidth is a fixed width.
type fixedWidth int

func (p fixedWidth) ended(_, _, _ time.Duration, _ int, _ bool) {}
func (p fixedWidth) width() int                                 { return int(p) }

// gradientWidth follows the gradient of the latency: the ratio of its long-term to its short-term average.
type gradientWidth struct {
	slots       int
	long, short float64
	limit       float64
}

func (p *gradientWidth) ended(took, kindTime, _ time.Duration, running int, _ bool) {
	ratio := took.Seconds() / max(kindTime.Seconds(), 1e-3)
	if p.long == 0 {
		p.long, p.short, p.limit = ratio, ratio, float64(p.slots+1)
	}
	p.long += 0.002 * (ratio - p.long)
	p.short += 0.1 * (ratio - p.short)
	gradient := min(max(1.5*p.long/p.short, 0.5), 1)
	if float64(running) < p.limit/2 {
		return
	}
	p.limit += 0.2 * (p.limit*gradient + math.Sqrt(p.limit)/2 - p.limit)
	p.limit = min(max(p.limit, 1), float64(p.slots+1))
}
func (p *gradientWidth) width() int { return max(int(math.Round(p.limit)), 1) }

// vegasWidth estimates the queue at the server from the shortest latency.
type vegasWidth struct {
	slots  int
	limit  float64
	recent []float64
	lowest []float64
}

func (p *vegasWidth) ended(took, kindTime, _ time.Duration, running int, _ bool) {
	if p.limit == 0 {
		p.limit = float64(p.slots + 1)
	}
	p.recent = append(p.recent, took.Seconds()/max(kindTime.Seconds(), 1e-3))
	if len(p.recent) < 10 {
		return
	}
	m := median(p.recent)
	p.recent = p.recent[:0]
	p.lowest = append(p.lowest, m)
	if len(p.lowest) > 60 {
		p.lowest = p.lowest[1:]
	}
	queue := p.limit * (1 - slices.Min(p.lowest)/m)
	switch {
	case queue > 2.5:
		p.limit--
	case queue < 1.5 && float64(running) >= p.limit/2:
		p.limit++
	}
	p.limit = min(max(p.limit, 1), float64(p.slots+1))
}
func (p *vegasWidth) width() int {
	if p.limit == 0 {
		return p.slots + 1
	}
	return int(p.limit)
}

// lateWidth is additive increase and multiplicative decrease on answers that take several times as long as usual. The
// gate never sends so many requests that a server refuses one, so refusals are no signal.
type lateWidth struct {
	slots int
	limit float64
}

func (p *lateWidth) ended(took, kindTime, _ time.Duration, running int, _ bool) {
	if p.limit == 0 {
		p.limit = float64(p.slots + 1)
	}
	if took > 5*kindTime {
		p.limit *= 0.9
	} else if float64(running) >= p.limit/2 {
		p.limit += 0.1 / p.limit
	}
	p.limit = min(max(p.limit, 1), float64(p.slots+1))
}
func (p *lateWidth) width() int {
	if p.limit == 0 {
		return p.slots + 1
	}
	return max(int(math.Round(p.limit)), 1)
}

var replayPolicies = []struct {
	name    string
	policy  func(*replayServer) widthPolicy
	lasting bool
}{
	{"slots+1", func(s *replayServer) widthPolicy { return fixedWidth(s.slots + 1) }, false},
	{"slots", func(s *replayServer) widthPolicy { return fixedWidth(s.slots) }, false},
	{"slots+1, keys by speed", func(s *replayServer) widthPolicy { return fixedWidth(s.slots + 1) }, true},
	{"slots, keys by speed", func(s *replayServer) widthPolicy { return fixedWidth(s.slots) }, true},
	{"learned", func(s *replayServer) widthPolicy { return &learnedWidth{s: s} }, false},
	{"learned, keys by speed", func(s *replayServer) widthPolicy { return &learnedWidth{s: s} }, true},
	{"gradient, keys by speed", func(s *replayServer) widthPolicy { return &gradientWidth{slots: s.slots} }, true},
	{"vegas, keys by speed", func(s *replayServer) widthPolicy { return &vegasWidth{slots: s.slots} }, true},
	{"aimd, keys by speed", func(s *replayServer) widthPolicy { return &lateWidth{slots: s.slots} }, true},
}
