package leader

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// snapshot collects what this host knows about a service. Servers that are leaving or in an
// evacuated zone are no candidates for keys. The caller holds the lock.
func (l *Leader) snapshot(service string, now time.Duration) assign.Snapshot {
	snapshot := assign.Snapshot{
		NewestByID: make(map[string]assign.Server),
		Proofs:     l.proofs[service],
		Load:       l.load(service, now),
	}
	snapshot.NewestByAddr, snapshot.ReusedAddrs = l.newestByAddr(service)
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
// addresses whose newest server belongs to another service, with the start time of that server
// in Unix milliseconds.
func (l *Leader) newestByAddr(service string) (servers map[string]assign.Server, reused map[string]int64) {
	servers = make(map[string]assign.Server)
	newest := make(map[string]fleet.Entry)
	for _, name := range l.Fleet.Services() {
		for _, server := range l.Fleet.Servers(name) {
			entry := server.Entry()
			if known, ok := newest[entry.Addr]; !ok || known.Born < entry.Born {
				newest[entry.Addr] = entry
			}
		}
	}
	reused = make(map[string]int64)
	for addr, entry := range newest {
		if entry.Service == service {
			servers[addr] = assign.ServerOf(entry)
		} else {
			reused[addr] = entry.Born
		}
	}
	return servers, reused
}
