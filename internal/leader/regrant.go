package leader

import (
	"maps"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/renew"
)

// fillConnections fills in what the hosts have reported of their connections to servers. The caller holds the lock.
func (l *Leader) fillConnections(hosts []assign.Host) {
	for i := range hosts {
		hosts[i].Connections = max(hosts[i].Connections, l.incarnations.seen[idOf(hosts[i])].connections)
	}
}

// forgetLost forgets the lost grants that the plan no longer contains. The caller holds the lock.
func (l *Leader) forgetLost(plan assign.Plan) {
	maps.DeleteFunc(l.lost, func(id renew.Lost, _ bool) bool {
		a, found := plan.Lookup(id.Service, id.First)
		return !found || a.Phase != assign.Held || a.Fence != id.Fence
	})
}

// regrantRule says which ranges of a plan need a new fencing token.
type regrantRule struct {
	// all is set if the leader is new or the log has been restored: all ranges do.
	all bool
	// next is the next plan if its hosts are others, or nil. Ranges of servers in zones with a new host (a host renews no grants older
	// than itself) do, and ranges that get another renewer.
	next *assign.Plan
	// lost is set if the ranges do whose grant a host can't renew any more.
	lost bool
}

// rangesToRegrant returns the first keys of the ranges of a service that need a new fencing token. The caller holds the lock.
func (l *Leader) rangesToRegrant(service string, plan assign.Plan, rule regrantRule) map[keyrange.Key]bool {
	zonesWithNewHosts := make(map[string]bool)
	if rule.next != nil {
		for _, host := range rule.next.Hosts {
			if host.Since > plan.Version {
				zonesWithNewHosts[host.Zone] = true
			}
		}
	}
	keys := make(map[keyrange.Key]bool)
	for _, a := range plan.Services[service] {
		isLost := rule.lost && a.Phase == assign.Held && l.lost[renew.Lost{Service: service, First: a.First, Fence: a.Fence}]
		if isLost {
			l.regrantedAt = l.Clock()
		}
		if rule.all || isLost || zonesWithNewHosts[a.Server.Zone] || rule.next != nil && getsRenewer(plan, *rule.next, a) {
			keys[a.First] = true
		}
	}
	return keys
}

// getsRenewer reports whether a host renews the grant of the assignment by the next plan that does not by the present one, if the
// next plan issues a new one: a host renews no grant that is older than itself.
func getsRenewer(plan, next assign.Plan, a assign.Assignment) bool {
	before := plan.Renewers(a)
	a.Fence = assign.MaxFence
	return slices.ContainsFunc(next.Renewers(a), func(host assign.Host) bool { return !slices.ContainsFunc(before, host.SameIncarnation) })
}
