package balance

import (
	"math"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

const (
	// peakDecay is the time in which an old peak loses most of its weight.
	peakDecay = 2 * time.Second
	// meanWeight is the weight of a new latency in a target's mean.
	meanWeight = 0.1
	// failurePenalty is the latency that a failed try counts for at least.
	failurePenalty = time.Second
)

// targetState is what one host has observed of one target.
type targetState struct {
	Target
	// started holds the start times of the tries in flight, oldest first.
	started []time.Duration
	// mean is the moving average of the latency in seconds; zero where nothing is known.
	mean float64
	// peak follows a higher latency at once and a lower one slowly. It last
	// changed at sampled.
	peak    float64
	sampled time.Duration

	report backend.LoadReport

	// cold says that the target restarted at coldSince.
	cold      bool
	coldSince time.Duration
}

// targetTable holds the observations that all policies share.
type targetTable struct {
	options Options
	targets []*targetState
	byAddr  map[string]*targetState
	filled  bool
	// typical is the moving average of the latency over all targets, in seconds.
	typical float64
	// candidates is reused between picks.
	candidates []*targetState
}

func newTargetTable(options Options) *targetTable {
	return &targetTable{options: options, byAddr: map[string]*targetState{}}
}

// SetTargets implements Policy. A target that is added later than the first
// call starts cold.
func (t *targetTable) SetTargets(now time.Duration, targets []Target) {
	former := t.byAddr
	t.byAddr = make(map[string]*targetState, len(targets))
	t.targets = t.targets[:0]
	for _, target := range targets {
		if t.byAddr[target.Addr] != nil {
			continue
		}
		state := former[target.Addr]
		if state == nil {
			state = &targetState{cold: t.filled, coldSince: now}
		}
		target.Slots = max(target.Slots, 1)
		state.Target = target
		t.byAddr[target.Addr] = state
		t.targets = append(t.targets, state)
	}
	t.filled = true
}

// Started implements Policy.
func (t *targetTable) Started(addr string, now time.Duration) {
	if state := t.byAddr[addr]; state != nil {
		state.started = append(state.started, now)
	}
}

// Finished implements Policy.
func (t *targetTable) Finished(addr string, now, latency time.Duration, result Result) {
	state := t.byAddr[addr]
	if state == nil {
		return
	}
	state.removeStarted(now - latency)
	if state.cold && result == Failure {
		// The target has not started yet, or again.
		state.coldSince = now
	}
	sample, known := state.sample(latency, result)
	if !known {
		return
	}
	state.observe(now, sample)
	t.typical = average(t.typical, sample)
}

// Report implements Policy.
func (t *targetTable) Report(addr string, now time.Duration, report backend.LoadReport) {
	t.noteReport(addr, now, report)
}

// noteReport keeps the report and says whether it shows a new incarnation.
func (t *targetTable) noteReport(addr string, now time.Duration, report backend.LoadReport) (restarted bool) {
	state := t.byAddr[addr]
	if state == nil {
		return false
	}
	former := state.report.Incarnation
	restarted = former != "" && report.Incarnation != "" && report.Incarnation != former
	if restarted {
		t.Restarted(addr, now)
	}
	state.report = report
	return restarted
}

// Restarted implements Policy.
func (t *targetTable) Restarted(addr string, now time.Duration) {
	state := t.byAddr[addr]
	if state == nil {
		return
	}
	state.cold = true
	state.coldSince = now
	state.mean = 0
	state.peak = 0
	state.report = backend.LoadReport{}
}

// eligible returns the targets that are neither excluded nor draining. Where
// all are draining it returns them all the same. The slice is valid until the next call.
func (t *targetTable) eligible(exclude []string) []*targetState {
	t.candidates = t.candidates[:0]
	for _, state := range t.targets {
		if !slices.Contains(exclude, state.Addr) && !state.report.Draining {
			t.candidates = append(t.candidates, state)
		}
	}
	if len(t.candidates) > 0 {
		return t.candidates
	}
	for _, state := range t.targets {
		if !slices.Contains(exclude, state.Addr) {
			t.candidates = append(t.candidates, state)
		}
	}
	return t.candidates
}

// warmth is the share of its full load that a target takes, above 0 and at most 1.
func (t *targetTable) warmth(state *targetState, now time.Duration) float64 {
	if !state.cold {
		return 1
	}
	passed := float64(now-state.coldSince) / float64(t.options.ColdStart)
	if passed >= 1 {
		state.cold = false
		return 1
	}
	first := min(float64(t.options.ColdStartSlots)/float64(state.Slots), 1)
	return first + (1-first)*max(passed, 0)
}

// removeStarted removes the try in flight whose start is nearest to start.
func (s *targetState) removeStarted(start time.Duration) {
	nearest := -1
	var nearestGap time.Duration
	for i, at := range s.started {
		gap := (at - start).Abs()
		if nearest < 0 || gap < nearestGap {
			nearest, nearestGap = i, gap
		}
	}
	if nearest >= 0 {
		s.started = slices.Delete(s.started, nearest, nearest+1)
	}
}

// sample is the latency in seconds that a finished try counts for. A cancelled
// try counts only where it shows that the target is slower than its mean.
func (s *targetState) sample(latency time.Duration, result Result) (sample float64, known bool) {
	sample = latency.Seconds()
	switch result {
	case Refused, Failure:
		return max(sample, failurePenalty.Seconds()), true
	case Cancelled:
		return sample, sample > s.mean
	}
	return sample, true
}

// observe adds a sample to the target's averages.
func (s *targetState) observe(now time.Duration, sample float64) {
	s.mean = average(s.mean, sample)
	if sample >= s.peak {
		s.peak = sample
	} else {
		keep := math.Exp(-(now - s.sampled).Seconds() / peakDecay.Seconds())
		s.peak = s.peak*keep + sample*(1-keep)
	}
	s.sampled = now
}

// average adds a sample to a moving average; zero means that there is none yet.
func average(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + meanWeight*(sample-mean)
}

// inFlight is the number of this host's tries on the target.
func (s *targetState) inFlight() int {
	return len(s.started)
}

// oldestAge is the age in seconds of the oldest try in flight.
func (s *targetState) oldestAge(now time.Duration) float64 {
	if len(s.started) == 0 {
		return 0
	}
	return (now - s.started[0]).Seconds()
}
