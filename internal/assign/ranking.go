package assign

import (
	"slices"
	"sync"
)

// maxRankings bounds the rankings that are kept for a zone. One takes two bytes for each host of the zone. Objects beyond it are
// ranked at each call.
const maxRankings = 2048

// rankings finds the order of a plan's hosts for each object: of the hosts of each zone, and of all hosts. All copies of
// the plan share it. It is safe for concurrent use.
type rankings struct {
	order HostOrder
	// all holds all hosts, and zones those of each zone. A zone may have the empty name.
	all   *rankedGroup
	zones map[string]*rankedGroup
}

// rankedGroup is a group of hosts with their order for each object.
type rankedGroup struct {
	// indices holds the indices in the plan of the hosts that are not retired, and members what their order depends on.
	indices []uint16
	members []rankedMember
	orders  *groupOrders
}

// rankedMember is what the order of a host depends on.
type rankedMember struct {
	name   string
	weight uint64
}

// groupOrders keeps the order of a group's members for each object. It holds positions in the group, so plans with the
// same members share it. It is safe for concurrent use.
type groupOrders struct {
	mu   sync.RWMutex
	byID map[string][]uint16
}

// newRankings returns the rankings of a plan. It keeps what former, which may be nil, knows of groups that are the same.
func newRankings(plan Plan, former *rankings) *rankings {
	r := &rankings{order: plan.Order, all: &rankedGroup{}, zones: make(map[string]*rankedGroup)}
	for i, host := range plan.Hosts {
		if host.Retired {
			continue
		}
		zone := r.zones[host.Zone]
		if zone == nil {
			zone = &rankedGroup{}
			r.zones[host.Zone] = zone
		}
		zone.add(i, host)
		r.all.add(i, host)
	}
	if former == nil || former.order != plan.Order {
		former = &rankings{}
	}
	r.all.keepOrders(former.all)
	for name, zone := range r.zones {
		zone.keepOrders(former.zones[name])
	}
	return r
}

// add adds a host with its index in the plan.
func (g *rankedGroup) add(index int, host Host) {
	g.indices = append(g.indices, uint16(index))
	g.members = append(g.members, rankedMember{host.Name, host.weight()})
}

// keepOrders takes over the orders of a former group, which may be nil, if its members are the same. Otherwise it begins with none.
func (g *rankedGroup) keepOrders(former *rankedGroup) {
	if former != nil && slices.Equal(former.members, g.members) {
		g.orders = former.orders
		return
	}
	g.orders = &groupOrders{byID: make(map[string][]uint16)}
}

// ranking returns the positions of the group's members in the order of preference for an object, and computes it if it is
// not known yet. The caller must not change it.
func (g *rankedGroup) ranking(order HostOrder, id string) []uint16 {
	g.orders.mu.RLock()
	ranking, ok := g.orders.byID[id]
	g.orders.mu.RUnlock()
	if ok {
		return ranking
	}
	ranking = rankMembers(g.members, order, id)
	g.orders.mu.Lock()
	defer g.orders.mu.Unlock()
	if len(g.orders.byID) < maxRankings {
		g.orders.byID[id] = ranking
	}
	return ranking
}

// WithRankings returns the plan with a memory of rankings. Its hosts and its order must not change afterwards. It keeps
// what the former plan knows of zones whose hosts have not changed.
func (p Plan) WithRankings(former Plan) Plan {
	p.rankings = newRankings(p, former.rankings)
	return p
}
