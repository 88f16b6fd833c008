package leader

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// snapshot collects what this host knows about a service. Servers that are leaving or in an
// evacuated zone are no candidates for keys. The caller holds the lock.
func (l *Leader) snapshot(service string, table *routetable.Table, now time.Duration) assign.Snapshot {
	snapshot := assign.Snapshot{
		NewestByID: make(map[string]assign.Server),
		Proofs:     l.proofs[service],
		Load:       l.load(service, now),
	}
	snapshot.NewestByAddr, snapshot.TakenAddrs = l.newestByAddr(service, table)
	usual := l.speeds.usual(l.Fleet.Servers(service), now)
	observed := l.observations(now)
	for _, server := range l.Fleet.Servers(service) {
		entry := server.Entry()
		known := assign.ServerOf(entry)
		snapshot.NewestByID[known.ID] = known
		if server.Leaving() || l.ZoneEvacuated(entry.Zone) {
			continue
		}
		snapshot.Candidates = append(snapshot.Candidates, assign.Candidate{
			Server:   known,
			Capacity: float64(max(entry.Slots, 1)) / l.slownessOf(known, observed[known.ID], usual, now),
			Limit:    observed[known.ID].limit,
			Cold:     server.Cold(now),
		})
	}
	return snapshot
}

// newestByAddr returns the newest incarnation of the service's servers at each address, and the
// addresses whose newest server belongs to another service that the configuration names, with the start time of that server
// in Unix milliseconds. Entries of services that it does not name are none of servers.
func (l *Leader) newestByAddr(service string, table *routetable.Table) (servers map[string]assign.Server, taken map[string]int64) {
	servers = make(map[string]assign.Server)
	newest := make(map[string]fleet.Entry)
	for name := range table.Services {
		for _, server := range l.Fleet.Servers(name) {
			entry := server.Entry()
			if known, ok := newest[entry.Addr]; !ok || known.Born < entry.Born {
				newest[entry.Addr] = entry
			}
		}
	}
	taken = make(map[string]int64)
	for addr, entry := range newest {
		if entry.Service == service {
			servers[addr] = assign.ServerOf(entry)
		} else {
			taken[addr] = entry.Born
		}
	}
	return servers, taken
}

// addrTaken reports whether a server of another service has registered at the server's address later.
func (l *Leader) addrTaken(service string, server assign.Server) bool {
	table := l.Table()
	if table == nil {
		return false
	}
	_, taken := l.newestByAddr(service, table)
	return taken[server.Addr] > server.Born
}
