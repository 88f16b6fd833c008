package experiment

import (
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/balance"
)

// job is one attempt at a server.
type job struct {
	// demand is the service time at a server that is not slowed.
	demand time.Duration
	// done is called once with the server's answer.
	done func(balance.Result)
	// aborted is set if the server stopped before the job ended.
	aborted bool
}

// modelServer is a backend server that runs up to slots jobs at a time and queues more.
type modelServer struct {
	clock *clock
	slots int

	running []*job
	queue   []*job
	down    bool
	// slowdown multiplies service times; 1 is normal speed.
	slowdown float64
	// frozenUntil is the time before which no job ends.
	frozenUntil time.Duration
	// coldUntil is the end of the cold start.
	coldUntil time.Duration

	attempts int
	// busy is the total service time of the jobs that ended.
	busy time.Duration
	// overshoot is the largest number of running jobs beyond the server's capacity.
	overshoot float64
}

// accept starts, queues or rejects a job. A server that is down fails it.
func (s *modelServer) accept(j *job) {
	s.attempts++
	switch {
	case s.down:
		j.done(balance.Failure)
	case len(s.running) < s.slots:
		s.start(j)
	case len(s.queue) < queueLimit:
		s.queue = append(s.queue, j)
	default:
		j.done(balance.Rejected)
	}
}

// start runs a job in a free slot. A job that would end while the server is
// frozen ends with the freeze.
func (s *modelServer) start(j *job) {
	s.running = append(s.running, j)
	s.recordOvershoot()
	serviceTime := time.Duration(float64(j.demand) * s.slowdownFactor())
	var end func()
	end = func() {
		if frozen := s.frozenUntil - s.clock.now; frozen > 0 {
			s.clock.schedule(frozen, end)
		} else if !j.aborted {
			s.finish(j, serviceTime)
		}
	}
	s.clock.schedule(serviceTime, end)
}

// finish answers a job and starts the next one of the queue.
func (s *modelServer) finish(j *job, serviceTime time.Duration) {
	s.running = slices.DeleteFunc(s.running, func(each *job) bool { return each == j })
	s.busy += serviceTime
	j.done(balance.Success)
	if len(s.queue) > 0 && len(s.running) < s.slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.start(next)
	}
}

// slowdownFactor returns the factor by which a job that starts now takes longer
// than its demand. A cold server slows down when it runs more jobs than its
// capacity.
func (s *modelServer) slowdownFactor() float64 {
	factor := s.slowdown
	if float64(len(s.running)) > s.capacity() {
		factor *= coldFactor
	}
	return factor
}

// capacity returns the number of jobs that the server can run without slowing
// down. During a cold start it grows linearly to the number of slots.
func (s *modelServer) capacity() float64 {
	left := s.coldUntil - s.clock.now
	if left <= 0 {
		return float64(s.slots)
	}
	progress := 1 - float64(left)/float64(coldStart)
	share := coldCapacity + (1-coldCapacity)*progress
	return max(1, share*float64(s.slots))
}

func (s *modelServer) recordOvershoot() {
	beyond := float64(len(s.running)) - s.capacity()
	s.overshoot = max(s.overshoot, beyond)
}

// restart fails all jobs of the server and begins a cold start.
func (s *modelServer) restart() {
	s.stop()
	s.down = false
	s.coldUntil = s.clock.now + coldStart
}

// stop takes the server down. Its running and queued jobs fail.
func (s *modelServer) stop() {
	s.down = true
	aborted := slices.Concat(s.running, s.queue)
	s.running = nil
	s.queue = nil
	for _, j := range aborted {
		j.aborted = true
		j.done(balance.Failure)
	}
}

func (s *modelServer) report() backend.LoadReport {
	return backend.LoadReport{
		InFlight: len(s.running),
		Queued:   len(s.queue),
		Slots:    s.slots,
		Load:     float64(len(s.running)) / float64(s.slots),
		Warm:     s.capacity() / float64(s.slots),
	}
}
