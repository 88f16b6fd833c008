package admission

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

const (
	// minHosts is the number of hosts in the plan from which on pools are used. With fewer, a host sees enough of a
	// server's requests to judge its load.
	minHosts = 20
	// maxSlotsPerHost is the number of slots of a service per host of the zone below which pools are used. With more, a
	// host's choices seldom meet those of others.
	maxSlotsPerHost = 2.5
	// layoutFor is how long a layout is used before it is computed again.
	layoutFor = 200 * time.Millisecond
)

// String returns the name of the pool, by which its dispatcher is chosen.
func (p Pool) String() string {
	return fmt.Sprintf("%s/%s/%d", p.Service, p.Zone, p.Part)
}

// inZone returns the servers of a service in a zone, sorted by ID.
func inZone(f *fleet.Fleet, service, zone string) []*fleet.Server {
	var servers []*fleet.Server
	for _, server := range f.Servers(service) {
		if server.Entry().Zone == zone {
			servers = append(servers, server)
		}
	}
	return servers
}

// parts returns the number of pools of a service with the given number of servers in a zone.
func parts(servers int) int {
	return (servers + poolSize - 1) / poolSize
}

// partOf returns the servers of a pool. The servers of a service and zone are divided evenly.
func partOf(f *fleet.Fleet, name Pool) []*fleet.Server {
	servers := inZone(f, name.Service, name.Zone)
	count := parts(len(servers))
	if name.Part < 0 || name.Part >= count {
		return nil
	}
	return servers[name.Part*len(servers)/count : (name.Part+1)*len(servers)/count]
}

// zonePools are the pools of a service in one zone.
type zonePools struct {
	zone  string
	parts int
	slots int
}

// layout is where the pools of a service are, as one host sees it: those of its own zone first, then by slots.
type layout struct {
	zones []zonePools
	at    time.Duration
}

// layouts keeps the layout of each service. It is safe for concurrent use.
type layouts struct {
	mu       sync.Mutex
	services map[string]layout
}

// get returns the layout of a service, or false if requests for it use no pool.
func (l *layouts) get(f *fleet.Fleet, plan assign.Plan, service, zone string, now time.Duration) (layout, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.services[service]
	if !ok || now-known.at > layoutFor {
		known = newLayout(f, plan, service, zone)
		known.at = now
		if l.services == nil {
			l.services = make(map[string]layout)
		}
		l.services[service] = known
	}
	return known, len(known.zones) > 0
}

// newLayout computes the layout of a service. It is empty if the first zone that a host uses has enough slots for
// its hosts, or if the plan has few hosts.
func newLayout(f *fleet.Fleet, plan assign.Plan, service, zone string) layout {
	hosts, total := hostsByZone(plan)
	if total < minHosts {
		return layout{}
	}
	byZone := make(map[string]*zonePools)
	for _, server := range f.Servers(service) {
		entry := server.Entry()
		z := byZone[entry.Zone]
		if z == nil {
			z = &zonePools{zone: entry.Zone}
			byZone[entry.Zone] = z
		}
		z.parts++
		if f.Usable(server) {
			z.slots += max(entry.Slots, 1)
		}
	}
	var zones []zonePools
	for _, z := range byZone {
		z.parts = parts(z.parts)
		if z.slots > 0 {
			zones = append(zones, *z)
		}
	}
	slices.SortFunc(zones, func(a, b zonePools) int { return compareZones(a, b, zone) })
	if len(zones) == 0 || float64(zones[0].slots) >= maxSlotsPerHost*float64(hosts[zones[0].zone]) {
		return layout{}
	}
	return layout{zones: zones}
}

// compareZones orders a host's own zone first, then those with more slots.
func compareZones(a, b zonePools, own string) int {
	switch {
	case a.zone == own:
		return -1
	case b.zone == own:
		return 1
	case a.slots != b.slots:
		return b.slots - a.slots
	}
	return strings.Compare(a.zone, b.zone)
}

// hostsByZone returns the numbers of hosts that are not retired, by zone and in all.
func hostsByZone(plan assign.Plan) (byZone map[string]int, total int) {
	byZone = make(map[string]int)
	for _, host := range plan.Hosts {
		if !host.Retired {
			byZone[host.Zone]++
			total++
		}
	}
	return byZone, total
}

// rankings keeps the order of the hosts for each pool under one plan. It is safe for concurrent use.
type rankings struct {
	mu      sync.Mutex
	version assign.Fence
	byPool  map[Pool][]assign.Host
}

// get returns the hosts of the pool's zone in the order in which they are its dispatcher. Those that reach no server are
// included.
func (r *rankings) get(plan assign.Plan, pool Pool) []assign.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byPool == nil || r.version != plan.Version {
		r.byPool = make(map[Pool][]assign.Host)
		r.version = plan.Version
	}
	ranked, ok := r.byPool[pool]
	if !ok {
		ranked = plan.RankedInZone(pool.Zone, pool.String())
		r.byPool[pool] = ranked
	}
	return ranked
}
