package balance

import (
	"math"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/outlier"
)

const (
	// farPenalty is the share of the expected latency by which a target in
	// another zone must be better than one in the host's own.
	farPenalty = 0.5
	// choices is the number of targets drawn for each pick, per zone class.
	choices = 3
	// maxDraws bounds the draws for one pick where cold targets are passed over.
	maxDraws = 16
	// minLatency is the expected latency in seconds where nothing is known yet.
	minLatency = 1e-6
)

// adaptivePolicy draws a few targets near and far and picks the one that is
// expected to answer first. Outliers get probes only.
type adaptivePolicy struct {
	*targetTable
	outliers *outlier.Detector
	// healthy, near and far are reused between picks.
	healthy, near, far []*targetState
}

func newAdaptivePolicy(targets *targetTable) *adaptivePolicy {
	return &adaptivePolicy{targetTable: targets, outliers: outlier.New(outlier.Options{})}
}

// SetTargets implements Policy.
func (p *adaptivePolicy) SetTargets(now time.Duration, targets []Target) {
	p.targetTable.SetTargets(now, targets)
	addrs := make([]string, len(targets))
	for i, target := range targets {
		addrs[i] = target.Addr
	}
	p.outliers.SetServers(addrs)
}

// Finished implements Policy.
func (p *adaptivePolicy) Finished(addr string, now, latency time.Duration, result Result) {
	p.targetTable.Finished(addr, now, latency, result)
	switch result {
	case Success:
		p.outliers.Succeeded(addr, now, latency)
	case Failure:
		p.outliers.Failed(addr, now)
	case Cancelled:
		p.outliers.GaveUp(addr, now, latency)
	}
}

// Report implements Policy.
func (p *adaptivePolicy) Report(addr string, now time.Duration, report backend.LoadReport) {
	if p.noteReport(addr, now, report) {
		p.outliers.Forget(addr)
	}
}

// Restarted implements Policy.
func (p *adaptivePolicy) Restarted(addr string, now time.Duration) {
	p.targetTable.Restarted(addr, now)
	p.outliers.Forget(addr)
}

// Pick implements Policy.
func (p *adaptivePolicy) Pick(now time.Duration, exclude ...string) (string, bool) {
	candidates := p.withoutColdOfOthers(p.eligible(exclude), now)
	if len(candidates) == 0 {
		return "", false
	}
	probe, due := p.outliers.Probe(now)
	if due && contains(candidates, probe) {
		return probe, true
	}
	p.split(p.withoutOutliers(candidates))
	near, nearScore := p.best(p.near, now)
	far, farScore := p.best(p.far, now)
	if near == nil || (far != nil && farScore*(1+farPenalty) < nearScore) {
		near = far
	}
	return near.Addr, true
}

// withoutColdOfOthers removes the cold targets that another host warms, and
// those that this host warms and that run as many tries as they bear.
func (p *adaptivePolicy) withoutColdOfOthers(candidates []*targetState, now time.Duration) []*targetState {
	if p.options.MayWarm == nil {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(state *targetState) bool {
		warmth := p.warmth(state, now)
		if warmth >= 1 {
			return false
		}
		full := float64(state.inFlight()+1) > warmth*float64(state.Slots)
		return full || !p.options.MayWarm(state.Addr)
	})
}

// withoutOutliers removes the ejected targets, unless that leaves none.
func (p *adaptivePolicy) withoutOutliers(candidates []*targetState) []*targetState {
	if p.outliers.Count() == 0 {
		return candidates
	}
	p.healthy = p.healthy[:0]
	for _, state := range candidates {
		if !p.outliers.Ejected(state.Addr) {
			p.healthy = append(p.healthy, state)
		}
	}
	if len(p.healthy) == 0 {
		return candidates
	}
	return p.healthy
}

func contains(states []*targetState, addr string) bool {
	return slices.ContainsFunc(states, func(state *targetState) bool { return state.Addr == addr })
}

// split sorts the candidates into those of the host's own zone and the others.
func (p *adaptivePolicy) split(candidates []*targetState) {
	p.near = p.near[:0]
	p.far = p.far[:0]
	for _, state := range candidates {
		if state.Zone == p.options.Zone {
			p.near = append(p.near, state)
		} else {
			p.far = append(p.far, state)
		}
	}
}

// best draws from the group, passing a cold target over in proportion to its
// cold start, and returns the drawn target with the lowest score.
func (p *adaptivePolicy) best(group []*targetState, now time.Duration) (*targetState, float64) {
	if len(group) == 0 {
		return nil, 0
	}
	var best *targetState
	bestScore := math.Inf(1)
	drawn := 0
	for try := 0; drawn < choices && try < maxDraws; try++ {
		state := group[p.options.Rand.IntN(len(group))]
		if p.passesOver(state, now) {
			continue
		}
		drawn++
		if score := p.expectedLatency(state, now); best == nil || score < bestScore {
			best, bestScore = state, score
		}
	}
	if best == nil {
		best = group[p.options.Rand.IntN(len(group))]
		bestScore = p.expectedLatency(best, now)
	}
	return best, bestScore
}

// passesOver says that a draw of a cold target does not count, so that all
// hosts together send it its share. A warming host needs no such draw.
func (p *adaptivePolicy) passesOver(state *targetState, now time.Duration) bool {
	return p.options.MayWarm == nil && p.options.Rand.Float64() >= p.warmth(state, now)
}

// expectedLatency estimates in seconds how long the target's next try takes. A
// try that is still in flight counts with its age. Load reports have no part
// in it: all hosts would follow the same late report at once.
func (p *adaptivePolicy) expectedLatency(state *targetState, now time.Duration) float64 {
	latency := state.mean
	if latency == 0 {
		latency = p.typical
	}
	latency = max(latency, state.oldestAge(now), minLatency)
	return latency * float64(state.inFlight()+1)
}
