package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

const (
	// overloadRatio is the load of a server relative to its fair share above which keys are moved
	// away from it. An allowance for noise is added; see noiseSigmas.
	overloadRatio = 1.35
	// receiverRatio is the load of a server relative to its fair share up to which it is given more, and minRoomRatio the least
	// part of the fair share that it is given.
	receiverRatio = 1.2
	minRoomRatio  = 0.2
	// noiseSigmas is the allowance for random variation, in standard deviations of the number of
	// requests in one second (Poisson: the square root of the rate).
	noiseSigmas = 1.5
	// minMovesPerStep and serversPerMove bound the moves that one call of Reconcile starts to balance the load: one for each
	// serversPerMove servers, and at least minMovesPerStep.
	minMovesPerStep = 8
	serversPerMove  = 4
	// minMoveRatio and maxMoveRatio bound the load of a moved range relative to the load to be moved.
	minMoveRatio = 0.25
	maxMoveRatio = 1.3
	// limitedLoadRatio is the load of a server relative to its limit above which keys are moved away from it,
	// and limitTargetRatio the load that it keeps. What it keeps tells when the limit ends.
	limitedLoadRatio = 0.75
	limitTargetRatio = 0.5
	// minRebalanceLoad is the load of the service, in requests per second, below which nothing is rebalanced.
	minRebalanceLoad = 5.0
)

// rebalance moves load from overloaded servers to the least loaded ones. A range that is still moving counts for the server that will
// get it, so no round waits for the moves of the last one, of which some take as long as the longest request.
func (rc *reconciler) rebalance() {
	if rc.snapshot.Load == nil || rc.snapshot.Load.Total() < minRebalanceLoad {
		return
	}
	loads := rc.relativeLoads()
	for range max(minMovesPerStep, len(rc.snapshot.Candidates)/serversPerMove) {
		to, ok := leastLoaded(rc.receivers(), loads, 0)
		if !ok {
			return
		}
		m, ok := rc.moveFromOverLimit(to, loads)
		if !ok {
			m, ok = rc.moveFromOverloaded(to, loads)
		}
		if !ok {
			return
		}
		rc.splitAndRelease(m.at, m.keys, m.to.ID)
		loads[m.from.ID] -= m.load / m.from.Capacity
		loads[m.to.ID] += m.load / m.to.Capacity
	}
}

// move is all or part of a range, considered for a move. at is the index of the assignment.
type move struct {
	from, to Candidate
	at       int
	keys     keyrange.Range
	load     float64
}

// receivers returns the candidates to which keys may be moved to balance the load: those that name no
// limit or, if all do, all.
func (rc *reconciler) receivers() []Candidate {
	unlimited := slices.DeleteFunc(slices.Clone(rc.snapshot.Candidates), func(c Candidate) bool { return c.Limit > 0 })
	if len(unlimited) == 0 {
		return rc.snapshot.Candidates
	}
	return unlimited
}

// moveFromOverLimit returns a move to the given server from one that has more load than its limit allows. It returns false if
// there is none that has a suitable range.
func (rc *reconciler) moveFromOverLimit(to Candidate, loads map[string]float64) (move, bool) {
	if to.Limit > 0 {
		return move{}, false
	}
	for _, from := range rc.byLoad(loads) {
		load := loads[from.ID] * from.Capacity
		if from.Limit == 0 || load <= limitedLoadRatio*from.Limit {
			continue
		}
		if m, ok := rc.bestMove(from, to, load-limitTargetRatio*from.Limit); ok {
			return m, true
		}
	}
	return move{}, false
}

// moveFromOverloaded returns a move to the given server from the most loaded one that has a suitable range. It returns
// false if no overloaded server has one.
func (rc *reconciler) moveFromOverloaded(to Candidate, loads map[string]float64) (move, bool) {
	fair := rc.fairLoad()
	for _, from := range rc.byLoad(loads) {
		most := loads[from.ID]
		if from.Limit > 0 {
			continue
		}
		if most < overloadRatio*fair+noiseSigmas*math.Sqrt(most*from.Capacity)/from.Capacity {
			return move{}, false
		}
		if m, ok := rc.bestMove(from, to, rc.wantedLoad(from, to, loads, fair)); ok {
			return m, true
		}
	}
	return move{}, false
}

// wantedLoad returns how much load to move from an overloaded server to another one: not so much that this one becomes
// overloaded in its turn. Otherwise the load would spread only by halves, from each of the receivers again.
func (rc *reconciler) wantedLoad(from, to Candidate, loads map[string]float64, fair float64) float64 {
	excess := min((loads[from.ID]-loads[to.ID])/2, loads[from.ID]-fair) * min(from.Capacity, to.Capacity)
	room := (receiverRatio*fair - loads[to.ID]) * to.Capacity
	return min(excess, max(room, minRoomRatio*fair*to.Capacity))
}

// bestMove returns the part of a server's ranges whose load is closest to the wanted one. A
// single key cannot be split: if it carries most of the load, the keys beside it are moved instead.
func (rc *reconciler) bestMove(from, to Candidate, wanted float64) (move, bool) {
	best, found := move{}, false
	for i, a := range rc.next {
		if a.Phase != Held || a.Server.ID != from.ID {
			continue
		}
		for _, keys := range rc.movableParts(a.Range, wanted) {
			load := rc.loadOf(keys)
			if load < minMoveRatio*wanted || load > maxMoveRatio*wanted {
				continue
			}
			if !found || math.Abs(load-wanted) < math.Abs(best.load-wanted) {
				best, found = move{from: from, to: to, at: i, keys: keys, load: load}, true
			}
		}
	}
	return best, found
}

// movableParts returns the whole range and, if the service may have more ranges, the parts at both
// ends of it that carry approximately the wanted load.
func (rc *reconciler) movableParts(r keyrange.Range, wanted float64) []keyrange.Range {
	parts := []keyrange.Range{r}
	if len(rc.next) >= rangesPerServer*max(len(rc.snapshot.Candidates), 1) {
		return parts
	}
	if key, ok := rc.snapshot.Load.SplitPoint(r, wanted); ok {
		left, _ := r.SplitAfter(key)
		parts = append(parts, left)
	}
	if key, ok := rc.snapshot.Load.SplitPoint(r, rc.loadOf(r)-wanted); ok {
		_, right := r.SplitAfter(key)
		parts = append(parts, right)
	}
	return parts
}

// splitAndRelease splits a part off the assignment at index i and starts its release to another server.
func (rc *reconciler) splitAndRelease(i int, keys keyrange.Range, to string) {
	whole := rc.next[i]
	var parts []Assignment
	if keys.First > whole.First {
		left := whole
		left.Last = keys.First - 1
		parts = append(parts, left)
	}
	moved := whole
	moved.Range = keys
	rc.startRelease(&moved, to)
	parts = append(parts, moved)
	if keys.Last < whole.Last {
		right := whole
		right.First = keys.Last + 1
		parts = append(parts, right)
	}
	rc.next = slices.Replace(rc.next, i, i+1, parts...)
}

// fairLoad returns the load relative to capacity that each server would have if the load were
// balanced perfectly.
func (rc *reconciler) fairLoad() float64 {
	capacity := 0.0
	for _, c := range rc.snapshot.Candidates {
		capacity += c.Capacity
	}
	return rc.loadOf(keyrange.All) / capacity
}

// byLoad returns the candidates, the most loaded first.
func (rc *reconciler) byLoad(loads map[string]float64) []Candidate {
	servers := slices.Clone(rc.snapshot.Candidates)
	slices.SortFunc(servers, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(loads[b.ID], loads[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return servers
}
