package concurrency

import (
	"math"
	"slices"
	"time"
)

const (
	// widthInterval is the least time between two steps of the width along the latency curve.
	widthInterval = 500 * time.Millisecond
	// reportInterval is the least time between two reports of a server's width.
	reportInterval = 2 * time.Second
	// While requests wait and it is not known what one request less would change, the width is one less for probeFor in
	// each probeInterval.
	probeFor      = 300 * time.Millisecond
	probeInterval = 2400 * time.Millisecond
	// passingDecay is the time constant with which the passing slowness falls without samples, and passingSpan the one
	// with which samples count. It is longer than the noise, which lasts 0.4 s, so that noise moves few keys.
	// passingWeight is the largest weight of a sample, and the one of all samples in a slow time.
	passingDecay  = 3 * time.Second
	passingSpan   = 1500 * time.Millisecond
	passingWeight = 0.25
	// passingClip bounds the logarithm of one sample of the passing slowness.
	passingClip = 2.5
	// speedFreshFor is how long ago a server's last request may have ended for its speed to be reported.
	speedFreshFor = 3 * time.Second
	// slowWidthShare is the share of its slots that a server gets in a slow time. With a half, more requests are refused
	// (1.86 against 1.67 in 100 at 60% load) and none more are answered within their goal.
	slowWidthShare = 0.75
)

// server holds the estimates of one incarnation of a server.
type server struct {
	id      Server
	service string
	slots   int
	usedAt  time.Duration

	speed lastingSpeed
	curve *latencyCurve
	spell slowSpell
	// passing is the average logarithm of the times in relation to the lasting ones, as of passingAt.
	passing   float64
	passingAt time.Duration

	// present holds the requests at the server in the order in which they began. The first ones, as many as the server has
	// slots, run, and the others wait there.
	present []*Request
	// target is the width by the latency curve, and width the one that holds now.
	target, width int
	targetAt      time.Duration
	probedAt      time.Duration

	reported   Change
	reportedAt time.Duration
}

func newServer(id Server, service string, slots int, now time.Duration) *server {
	full := slots + extraWidth
	return &server{
		id: id, service: service, slots: slots, curve: newLatencyCurve(slots, now), target: full, width: full, probedAt: now - probeFor, targetAt: now,
		reported:   Change{Server: id, Service: service, Width: full, Full: full},
		reportedAt: now - reportInterval,
	}
}

// begin adds a request.
func (s *server) begin(r *Request, now time.Duration) {
	s.present = append(s.present, r)
	s.usedAt = now
	if len(s.present) <= s.slots {
		r.start(len(s.present), now)
	}
}

// end removes a request and returns the average number of requests that ran at the server meanwhile. A request that waits
// there gets the slot.
func (s *server) end(r *Request, now time.Duration) float64 {
	level := float64(r.level+min(len(s.present), s.slots)) / 2
	i := slices.Index(s.present, r)
	s.present = slices.Delete(s.present, i, i+1)
	if len(s.present) >= s.slots && !s.present[s.slots-1].started {
		s.present[s.slots-1].start(s.slots, now)
	}
	return level
}

// sample adds the time of a request, as the logarithm of its relation to the goal, without what is due to its kind.
func (s *server) sample(r *Request, level, logTime float64, now time.Duration) {
	if !s.spell.slow {
		s.curve.add(level, logTime, s.target, now)
	}
	s.speed.add(logTime-s.curve.sum(level), now)
	if lasting, ok := s.speed.value(); ok {
		ratio := min(max(logTime-s.curve.sum(level)-lasting, -passingClip), passingClip)
		weight := passingWeight
		if !s.spell.slow {
			weight = min(1-math.Exp(-float64(max(now-s.passingAt, 0))/float64(passingSpan)), passingWeight)
		}
		s.passing = s.currentPassing(now)
		s.passing += weight * (ratio - s.passing)
	}
	s.passingAt = max(now, s.passingAt)
	if r.expected > 0 {
		s.spell.add((now-r.startedAt).Seconds()/r.expected, now)
	}
}

// currentPassing returns the passing slowness, which falls without samples.
func (s *server) currentPassing(now time.Duration) float64 {
	return s.passing * math.Exp(-float64(max(now-s.passingAt, 0))/float64(passingDecay))
}

// currentSpeed returns the speed, and false if it is not known or the server has had no request lately.
func (s *server) currentSpeed(now time.Duration) (Speed, bool) {
	lasting, ok := s.speed.value()
	if !ok || now-s.passingAt > speedFreshFor {
		return Speed{}, false
	}
	return Speed{Lasting: math.Exp(lasting + s.curve.loss(s.slots)), Passing: math.Exp(s.currentPassing(now))}, true
}

// chooseWidth returns the width that holds now.
func (s *server) chooseWidth(slots int, queued bool, now time.Duration) int {
	if slots != s.slots {
		s.slots = slots
		s.curve = newLatencyCurve(slots, now)
		s.target = slots + extraWidth
	}
	s.spell.update(s.present, s.slots, now)
	s.stepTarget(now)
	s.width = s.target
	if s.spell.slow {
		s.width = min(s.width, max(int(math.Ceil(slowWidthShare*float64(s.slots))), 1))
	}
	if queued && s.probing(now) {
		return max(s.width-1, 1)
	}
	return s.width
}

// stepTarget moves the target by one towards the best width.
func (s *server) stepTarget(now time.Duration) {
	if now-s.targetAt < widthInterval {
		return
	}
	s.targetAt = now
	best := s.curve.best(s.slots, s.target)
	if best == s.slots {
		best = s.slots + extraWidth
	}
	switch {
	case best < s.target:
		s.target--
	case best > s.target:
		s.target++
	}
}

// probing reports whether the width is one less for a while, to learn what that changes.
func (s *server) probing(now time.Duration) bool {
	if now-s.probedAt >= probeInterval && s.curve.uncertain(min(s.target, s.slots)) {
		s.probedAt = now
	}
	return now-s.probedAt < probeFor
}
