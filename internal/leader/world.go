package leader

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// world collects what is known about a service.
func (l *Leader) world(service string, now time.Duration) assign.World {
	world := assign.World{
		Lives:  make(map[string]assign.Server),
		Proofs: l.proofs[service],
		Load:   l.load(service, now),
	}
	world.AtAddr, world.Reused = l.atAddr(service)
	var cold []assign.Candidate
	for _, server := range l.Fleet.Servers(service) {
		entry := server.Entry()
		known := life(entry)
		world.Lives[known.ID] = known
		if entry.Draining || l.Closed(entry.Zone) {
			continue
		}
		candidate := assign.Candidate{Server: known, Capacity: float64(max(entry.Slots, 1)) / l.slowness(known.ID, now)}
		if server.Cold(now) {
			cold = append(cold, candidate)
		} else {
			world.Ready = append(world.Ready, candidate)
		}
	}
	if len(world.Ready) == 0 {
		world.Ready = cold
	}
	return world
}

// atAddr returns the newest life of the service's servers at each address, and the addresses
// at which a server of another service began later.
func (l *Leader) atAddr(service string) (lives map[string]assign.Server, reused map[string]int64) {
	lives = make(map[string]assign.Server)
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
			lives[addr] = life(entry)
		} else {
			reused[addr] = entry.Born
		}
	}
	return lives, reused
}

// life is the server of an entry.
func life(entry fleet.Entry) assign.Server {
	return assign.Server{ID: string(entry.ID), Addr: entry.Addr, Zone: entry.Zone, Born: entry.Born}
}
