package assign

import "sync"

// maxRankings bounds the rankings that are kept for a plan. One takes two bytes for each host. Objects beyond it are
// ranked at each call.
const maxRankings = 2048

// rankings keeps, for one plan, the order of the hosts for each object. All copies of the plan share it. It is safe for
// concurrent use.
type rankings struct {
	mu   sync.RWMutex
	byID map[string][]uint16
}

func newRankings() *rankings {
	return &rankings{byID: make(map[string][]uint16)}
}

// get returns the ranking for an ID, and computes it if it is not known yet. The caller must not change it.
func (r *rankings) get(plan Plan, id string) []uint16 {
	if r == nil {
		return rankHosts(plan.Hosts, plan.Order, id)
	}
	r.mu.RLock()
	ranking, ok := r.byID[id]
	r.mu.RUnlock()
	if ok {
		return ranking
	}
	ranking = rankHosts(plan.Hosts, plan.Order, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byID) < maxRankings {
		r.byID[id] = ranking
	}
	return ranking
}

// WithRankings returns the plan with an empty memory of rankings. Its hosts and its order must not change afterwards.
func (p Plan) WithRankings() Plan {
	p.rankings = newRankings()
	return p
}
