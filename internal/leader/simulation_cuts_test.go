package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/grants"
)

// isCutOff reports whether a host is believed to reach no server.
func (sim *simulation) isCutOff(host string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.now() < sim.cutOff[host]
}

// cutFromServers cuts a host off from all servers. The caller holds sim.mu.
func (sim *simulation) cutFromServers(host *simHost, until time.Duration) {
	for _, server := range sim.servers {
		sim.partitions[[2]string{host.self.Name, server.ID}] = until
	}
}

// injectCut cuts hosts off from all servers, or has them believed to be.
func (sim *simulation) injectCut() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	length := time.Duration(1+sim.rng.IntN(12)) * time.Second
	noticed := time.Duration(sim.rng.IntN(2000)) * time.Millisecond
	kind := sim.rng.IntN(4)
	share := sim.rng.Float64()
	for _, host := range sim.hosts {
		if !sim.chance(share) {
			continue
		}
		sim.faults = append(sim.faults, fmt.Sprintf("%v host %s reaches no server (3: wrongly believed, 2: not noticed): %d for %v, noticed after %v", sim.now(), host.self.Name, kind, length, noticed))
		if kind != 3 {
			sim.cutFromServers(host, sim.now()+length)
		}
		if kind == 2 {
			continue
		}
		time.AfterFunc(noticed, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.cutOff[host.self.Name] = sim.now() + length
		})
	}
}

// TestOneOwnerWhileHostsAreCutOff has hosts among the faults that reach no server, are believed to reach none, or both.
func TestOneOwnerWhileHostsAreCutOff(t *testing.T) {
	checkOneOwner(t, func(sim *simulation) { sim.injectFaultOr(0.5, sim.injectCut) })
}

// TestKeysStayHeldWhileAZoneReachesNoServer is a regression test (RECOVER on Riga): the hosts of a zone reached no server,
// and since no other host renewed the grants of the zone's servers, all their keys lapsed.
func TestKeysStayHeldWhileAZoneReachesNoServer(t *testing.T) {
	const length, known, settled = 12 * time.Second, time.Second, 4500 * time.Millisecond
	for seed := range uint64(10) {
		lapsed, injected := 0, false
		simulate(t, seed, grants.DefaultTiming(), func(sim *simulation) {
			if injected {
				return
			}
			injected = true
			time.Sleep(2 * time.Second)
			sim.mu.Lock()
			for _, host := range sim.hosts {
				if host.self.Zone == sim.hosts[0].self.Zone {
					sim.cutFromServers(host, sim.now()+length)
				}
			}
			sim.mu.Unlock()
			time.Sleep(known)
			sim.mu.Lock()
			for _, host := range sim.hosts {
				if host.self.Zone == sim.hosts[0].self.Zone {
					sim.cutOff[host.self.Name] = sim.now() + length
				}
			}
			sim.mu.Unlock()
			time.Sleep(settled)
			for range 12 {
				time.Sleep(500 * time.Millisecond)
				sim.mu.Lock()
				if held := sim.heldCells(); held < simServers {
					lapsed++
				}
				sim.mu.Unlock()
			}
		})
		assert.Assert(t, injected)
		assert.Equal(t, lapsed, 0, "seed %d: half seconds in which a cell had no owner", seed)
	}
}
