package balance

import (
	"math"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

const (
	// peakDecayTime is the time constant with which an old peak latency decays.
	peakDecayTime = 2 * time.Second
	// meanWeight is the weight of a new latency in a moving average.
	meanWeight = 0.1
	// failureLatency is the minimum latency that a failed or rejected attempt counts for.
	failureLatency = time.Second
)

// targetState holds this host's observations of one target.
type targetState struct {
	Target
	// started holds the start times of the attempts in flight, oldest first.
	started []time.Duration
	// meanLatency is the moving average of the latency in seconds, or zero if none is known.
	meanLatency float64
	// peakLatency is a decaying peak of the latency in seconds: it follows a higher
	// sample at once and a lower one slowly. lastSampleAt is the time of its last update.
	peakLatency  float64
	lastSampleAt time.Duration

	report backend.LoadReport

	// cold means that the target is in the cold start that began at coldSince.
	cold      bool
	coldSince time.Duration
}

// targetTable holds the targets and the observations of them. All policies embed it.
type targetTable struct {
	options Options
	targets []*targetState
	byAddr  map[string]*targetState
	// initialized means that SetTargets has been called.
	initialized bool
	// overallMean is the moving average of the latency over all targets, in seconds.
	overallMean float64
	// candidates is a buffer reused between picks.
	candidates []*targetState
}

func newTargetTable(options Options) *targetTable {
	return &targetTable{options: options, byAddr: map[string]*targetState{}}
}

// SetTargets implements Policy. A target that is added after the first call is cold,
// since it has probably just started.
func (t *targetTable) SetTargets(now time.Duration, targets []Target) {
	previous := t.byAddr
	t.byAddr = make(map[string]*targetState, len(targets))
	t.targets = t.targets[:0]
	for _, target := range targets {
		if t.byAddr[target.Addr] != nil {
			continue
		}
		state := previous[target.Addr]
		if state == nil {
			state = &targetState{cold: t.initialized, coldSince: now}
		}
		target.Slots = max(target.Slots, 1)
		state.Target = target
		t.byAddr[target.Addr] = state
		t.targets = append(t.targets, state)
	}
	t.initialized = true
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
		// The target has not finished its start, or has crashed again.
		state.coldSince = now
	}
	sample, known := state.sample(latency, result)
	if !known {
		return
	}
	state.observe(now, sample)
	t.overallMean = movingAverage(t.overallMean, sample)
}

// Report implements Policy.
func (t *targetTable) Report(addr string, now time.Duration, report backend.LoadReport) {
	t.recordReport(addr, now, report)
}

// recordReport keeps the report and reports whether it shows a new incarnation.
func (t *targetTable) recordReport(addr string, now time.Duration, report backend.LoadReport) (restarted bool) {
	state := t.byAddr[addr]
	if state == nil {
		return false
	}
	previous := state.report.Incarnation
	restarted = previous != "" && report.Incarnation != "" && report.Incarnation != previous
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
	state.meanLatency = 0
	state.peakLatency = 0
	state.report = backend.LoadReport{}
}

// eligible returns the targets that are neither excluded nor draining. If that leaves
// none, it returns those that are not excluded. The slice is valid until the next call.
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

// loadShare returns the share of its full load that a target takes now, above 0 and at
// most 1. It rises linearly during the cold start.
func (t *targetTable) loadShare(state *targetState, now time.Duration) float64 {
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

// removeStarted removes the attempt in flight whose start time is nearest to start.
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

// sample returns the latency in seconds that a finished attempt counts for, or false if
// it does not count. A cancelled attempt counts only if it took longer than the average,
// because its latency is a lower bound.
func (s *targetState) sample(latency time.Duration, result Result) (sample float64, known bool) {
	sample = latency.Seconds()
	switch result {
	case Rejected, Failure:
		return max(sample, failureLatency.Seconds()), true
	case Cancelled:
		return sample, sample > s.meanLatency
	}
	return sample, true
}

// observe adds a sample to the target's averages.
func (s *targetState) observe(now time.Duration, sample float64) {
	s.meanLatency = movingAverage(s.meanLatency, sample)
	if sample >= s.peakLatency {
		s.peakLatency = sample
	} else {
		keep := math.Exp(-(now - s.lastSampleAt).Seconds() / peakDecayTime.Seconds())
		s.peakLatency = s.peakLatency*keep + sample*(1-keep)
	}
	s.lastSampleAt = now
}

// movingAverage returns the average with a sample added. A zero mean has no samples yet.
func movingAverage(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + meanWeight*(sample-mean)
}

// inFlight returns the number of this host's attempts in flight on the target.
func (s *targetState) inFlight() int {
	return len(s.started)
}

// oldestAge returns the age in seconds of the oldest attempt in flight, or zero.
func (s *targetState) oldestAge(now time.Duration) float64 {
	if len(s.started) == 0 {
		return 0
	}
	return (now - s.started[0]).Seconds()
}
