package balance

import "time"

// randomPolicy picks a target uniformly at random.
type randomPolicy struct{ *targetTable }

// Pick implements Policy.
func (p *randomPolicy) Pick(_ time.Duration, exclude ...string) (string, bool) {
	candidates := p.eligible(exclude)
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[p.options.Rand.IntN(len(candidates))].Addr, true
}

// roundRobinPolicy picks the targets in turn.
type roundRobinPolicy struct {
	*targetTable
	next int
}

// Pick implements Policy.
func (p *roundRobinPolicy) Pick(_ time.Duration, exclude ...string) (string, bool) {
	candidates := p.eligible(exclude)
	if len(candidates) == 0 {
		return "", false
	}
	p.next++
	return candidates[p.next%len(candidates)].Addr, true
}

// leastInFlightPolicy picks a target with the fewest attempts in flight per slot, at
// random among equal ones.
type leastInFlightPolicy struct{ *targetTable }

// Pick implements Policy.
func (p *leastInFlightPolicy) Pick(now time.Duration, exclude ...string) (string, bool) {
	candidates := p.eligible(exclude)
	if len(candidates) == 0 {
		return "", false
	}
	first := p.options.Rand.IntN(len(candidates))
	best := candidates[first]
	for i := range candidates {
		other := candidates[(first+i)%len(candidates)]
		if inFlightScore(other, now) < inFlightScore(best, now) {
			best = other
		}
	}
	return best.Addr, true
}

// twoChoicesPolicy draws two targets at random and picks the one with the lower score.
type twoChoicesPolicy struct {
	*targetTable
	score func(*targetState, time.Duration) float64
}

// Pick implements Policy.
func (p *twoChoicesPolicy) Pick(now time.Duration, exclude ...string) (string, bool) {
	candidates := p.eligible(exclude)
	switch len(candidates) {
	case 0:
		return "", false
	case 1:
		return candidates[0].Addr, true
	}
	i := p.options.Rand.IntN(len(candidates))
	j := p.options.Rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if p.score(candidates[j], now) < p.score(candidates[i], now) {
		return candidates[j].Addr, true
	}
	return candidates[i].Addr, true
}

// inFlightScore is the number of attempts in flight per slot.
func inFlightScore(state *targetState, _ time.Duration) float64 {
	return float64(state.inFlight()) / float64(state.Slots)
}

// latencyScore is the decaying peak latency times the attempts in flight, including the
// new one (peak EWMA).
func latencyScore(state *targetState, now time.Duration) float64 {
	return state.peakLatency * float64(state.inFlight()+1)
}
