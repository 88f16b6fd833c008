package balance

import (
	"math"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

const (
	// latencyDecay is the time in which an old latency loses most of its weight.
	latencyDecay = 2 * time.Second
	// reportDecay is the age at which a load report counts for about a third.
	reportDecay = 500 * time.Millisecond
	// failurePenalty is the latency that a failed try counts for at least.
	failurePenalty = time.Second
)

// targetState is what one host has observed of one target.
type targetState struct {
	Target
	// started holds the start times of the tries in flight, oldest first.
	started []time.Duration
	// latency is the moving average in seconds; zero where nothing is known.
	latency float64
	// sampled is when latency last changed.
	sampled time.Duration

	report   backend.LoadReport
	reported time.Duration

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
	state.observe(now, latency, result)
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
	state.reported = now - time.Duration(report.AgeMS)*time.Millisecond
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
	state.latency = 0
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

// observe adds a finished try to the moving average. A latency above the
// average replaces it at once; one below lowers it by its weight.
func (s *targetState) observe(now, latency time.Duration, result Result) {
	sample := latency.Seconds()
	switch result {
	case Refused, Failure:
		sample = max(sample, failurePenalty.Seconds())
	case Cancelled:
		if sample <= s.latency {
			return
		}
	}
	if sample >= s.latency {
		s.latency = sample
	} else {
		keep := math.Exp(-(now - s.sampled).Seconds() / latencyDecay.Seconds())
		s.latency = s.latency*keep + sample*(1-keep)
	}
	s.sampled = now
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
