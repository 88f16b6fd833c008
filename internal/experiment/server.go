package experiment

import (
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/balance"
)

// job is one try at a server.
type job struct {
	demand time.Duration
	// done is called once with the server's answer.
	done func(balance.Result)
	// lost says that the server stopped while it ran the try.
	lost bool
}

// modelServer is a backend server with slots and a queue.
type modelServer struct {
	clock *clock
	slots int

	running []*job
	queue   []*job
	down    bool
	// slow multiplies service times.
	slow float64
	// frozenUntil is the time before which nothing ends.
	frozenUntil time.Duration
	// coldUntil is the end of the cold start.
	coldUntil time.Duration

	tries int
	busy  time.Duration
	// overshoot is the most running tries beyond what the cold server bore.
	overshoot float64
}

// take accepts, queues or refuses a try.
func (s *modelServer) take(j *job) {
	s.tries++
	switch {
	case s.down:
		j.done(balance.Failure)
	case len(s.running) < s.slots:
		s.start(j)
	case len(s.queue) < queueLimit:
		s.queue = append(s.queue, j)
	default:
		j.done(balance.Refused)
	}
}

func (s *modelServer) start(j *job) {
	s.running = append(s.running, j)
	s.noteOvershoot()
	took := time.Duration(float64(j.demand) * s.factor())
	var end func()
	end = func() {
		if frozen := s.frozenUntil - s.clock.now; frozen > 0 {
			s.clock.after(frozen, end)
		} else if !j.lost {
			s.finish(j, took)
		}
	}
	s.clock.after(took, end)
}

func (s *modelServer) finish(j *job, took time.Duration) {
	s.running = slices.DeleteFunc(s.running, func(each *job) bool { return each == j })
	s.busy += took
	j.done(balance.Success)
	if len(s.queue) > 0 && len(s.running) < s.slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.start(next)
	}
}

// factor is how much longer than its demand a try takes that starts now. A
// cold server that runs more than it bears slows down.
func (s *modelServer) factor() float64 {
	factor := s.slow
	if float64(len(s.running)) > s.bears() {
		factor *= coldFactor
	}
	return factor
}

// bears is the number of tries that the server can run at full speed.
func (s *modelServer) bears() float64 {
	left := s.coldUntil - s.clock.now
	if left <= 0 {
		return float64(s.slots)
	}
	warm := 1 - float64(left)/float64(coldStart)
	share := coldCapacity + (1-coldCapacity)*warm
	return max(1, share*float64(s.slots))
}

func (s *modelServer) noteOvershoot() {
	beyond := float64(len(s.running)) - s.bears()
	s.overshoot = max(s.overshoot, beyond)
}

// restart loses what the server has and begins a cold start.
func (s *modelServer) restart() {
	s.stop()
	s.down = false
	s.coldUntil = s.clock.now + coldStart
}

// stop ends the server; its tries fail.
func (s *modelServer) stop() {
	s.down = true
	lost := slices.Concat(s.running, s.queue)
	s.running = nil
	s.queue = nil
	for _, j := range lost {
		j.lost = true
		j.done(balance.Failure)
	}
}

func (s *modelServer) report() backend.LoadReport {
	return backend.LoadReport{
		InFlight: len(s.running),
		Queued:   len(s.queue),
		Slots:    s.slots,
		Load:     float64(len(s.running)) / float64(s.slots),
		Warm:     s.bears() / float64(s.slots),
	}
}
