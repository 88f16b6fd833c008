package balance

import (
	"math"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/outlier"
)

const (
	// otherZonePenalty is the share by which the expected latency of a target in
	// another zone is raised when it is compared with one in the host's own zone.
	otherZonePenalty = 0.5
	// drawsPerGroup is the number of targets that a pick draws at random from each of
	// two groups: the targets in the host's own zone and those in other zones.
	drawsPerGroup = 3
	// maxDraws bounds the draws per group and pick, including those skipped because
	// the target is cold.
	maxDraws = 16
	// minLatency is the lower bound of the expected latency, in seconds. It applies
	// where no latency is known yet.
	minLatency = 1e-6
)

// adaptivePolicy draws a few targets at random in the host's zone and in other zones,
// and picks the one with the lowest expected latency (power of d choices). Ejected
// outliers get only probes.
type adaptivePolicy struct {
	*targetTable
	outliers *outlier.Detector
	// healthy, sameZone and otherZones are buffers reused between picks.
	healthy, sameZone, otherZones []*targetState
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
		p.outliers.Cancelled(addr, now, latency)
	}
}

// Report implements Policy.
func (p *adaptivePolicy) Report(addr string, now time.Duration, report backend.LoadReport) {
	if p.recordReport(addr, now, report) {
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
	candidates := p.withoutUnavailableCold(p.eligible(exclude), now)
	if len(candidates) == 0 {
		return "", false
	}
	probe, due := p.outliers.Probe(now)
	if due && contains(candidates, probe) {
		return probe, true
	}
	p.splitByZone(p.withoutOutliers(candidates))
	chosen, chosenScore := p.bestOf(p.sameZone, now)
	other, otherScore := p.bestOf(p.otherZones, now)
	if chosen == nil || (other != nil && otherScore*(1+otherZonePenalty) < chosenScore) {
		chosen = other
	}
	return chosen.Addr, true
}

// withoutUnavailableCold removes the cold targets that another host warms up, and
// those that this host warms up and that already run as many attempts as their share
// of the slots allows.
func (p *adaptivePolicy) withoutUnavailableCold(candidates []*targetState, now time.Duration) []*targetState {
	if p.options.MayWarm == nil {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(state *targetState) bool {
		loadShare := p.loadShare(state, now)
		if loadShare >= 1 {
			return false
		}
		full := float64(state.inFlight()+1) > loadShare*float64(state.Slots)
		return full || !p.options.MayWarm(state.Addr)
	})
}

// withoutOutliers removes the ejected targets, unless no other target is left.
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

// splitByZone divides the candidates into sameZone and otherZones.
func (p *adaptivePolicy) splitByZone(candidates []*targetState) {
	p.sameZone = p.sameZone[:0]
	p.otherZones = p.otherZones[:0]
	for _, state := range candidates {
		if state.Zone == p.options.Zone {
			p.sameZone = append(p.sameZone, state)
		} else {
			p.otherZones = append(p.otherZones, state)
		}
	}
}

// bestOf draws targets from the group and returns the one with the lowest expected
// latency, together with that latency in seconds. It skips draws of a cold target
// with a probability that falls during its cold start.
func (p *adaptivePolicy) bestOf(group []*targetState, now time.Duration) (*targetState, float64) {
	if len(group) == 0 {
		return nil, 0
	}
	var best *targetState
	bestScore := math.Inf(1)
	drawn := 0
	for draws := 0; drawn < drawsPerGroup && draws < maxDraws; draws++ {
		state := group[p.options.Rand.IntN(len(group))]
		if p.skipsDraw(state, now) {
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

// skipsDraw decides at random whether a draw of a cold target is skipped, so that all
// hosts together send it its share of the load. With Options.MayWarm only one host
// sends to a cold target, and no draw is skipped.
func (p *adaptivePolicy) skipsDraw(state *targetState, now time.Duration) bool {
	return p.options.MayWarm == nil && p.options.Rand.Float64() >= p.loadShare(state, now)
}

// expectedLatency estimates the latency of the target's next attempt, in seconds. An
// attempt in flight for longer than the average raises the estimate to its age. Load
// reports are not used: they arrive late, and all hosts would react to the same report
// at once.
func (p *adaptivePolicy) expectedLatency(state *targetState, now time.Duration) float64 {
	latency := state.meanLatency
	if latency == 0 {
		latency = p.overallMean
	}
	latency = max(latency, state.oldestAge(now), minLatency)
	return latency * float64(state.inFlight()+1)
}
