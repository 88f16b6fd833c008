package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

const (
	// firstHeartbeat is the time from the start of a server to its first entry in the service discovery.
	firstHeartbeat = 300 * time.Millisecond
	// entryTTL is how long the entry of a server that is down stays.
	entryTTL = 2600 * time.Millisecond
	// leastDowntimeBefore is the downtime on which the build before relies.
	leastDowntimeBefore = 2 * time.Second
)

// drawDowntime draws how long a server is down, from 0.1 to 5 s, or longer beside the build before. The caller holds sim.mu.
func (sim *simulation) drawDowntime() time.Duration {
	down := 100*time.Millisecond + time.Duration(sim.rng.IntN(4900))*time.Millisecond
	if sim.leadersBefore {
		down += leastDowntimeBefore
	}
	return down
}

// crash ends an incarnation of a server. The server restarts after the given time, without any
// grants or fencing tokens, and writes its first entry some time later.
func (sim *simulation) crash(s *simServer, down time.Duration) {
	if !s.up {
		return
	}
	s.up = false
	sim.endConns(s)
	born := s.Born
	time.AfterFunc(entryTTL, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if s.entryBorn == born {
			s.listed = false
		}
	})
	time.AfterFunc(down, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		s.up = true
		s.Born++
		s.seenFence = [simServers]assign.Fence{}
		s.grantedUntil = [simServers]time.Duration{}
		sim.heartbeat(s, firstHeartbeat)
	})
}

// heartbeat writes the entry of a server after the given time, if its present incarnation still runs then. The caller holds sim.mu.
func (sim *simulation) heartbeat(s *simServer, after time.Duration) {
	incarnation := s.incarnation()
	time.AfterFunc(after, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if s.runs(incarnation) {
			s.entryBorn, s.listed = s.Born, true
		}
	})
}

// injectQuickRestarts lets a server go down and up several times within seconds. At times it drains before that, so that its keys are on
// their way to others, and at times the log does not answer a host of its zone meanwhile.
func (sim *simulation) injectQuickRestarts() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	server := sim.servers[sim.rng.IntN(len(sim.servers))]
	count := 1 + sim.rng.IntN(4)
	drains, silent := sim.chance(0.5), sim.chance(0.6)
	sim.faults = append(sim.faults, fmt.Sprintf("%v server %s restarts %d times; drains: %v, the log is silent: %v", sim.now(), server.ID, count, drains, silent))
	if silent {
		sim.silenceLog(server.Zone, time.Duration(1+sim.rng.IntN(9))*time.Second)
		sim.pause(time.Duration(sim.rng.IntN(1500)) * time.Millisecond)
	}
	if drains {
		server.draining = true
		sim.pause(time.Duration(100+sim.rng.IntN(900)) * time.Millisecond)
	}
	for range count {
		down := 100*time.Millisecond + time.Duration(sim.rng.IntN(900))*time.Millisecond
		sim.crash(server, down)
		sim.pause(down + time.Duration(50+sim.rng.IntN(1500))*time.Millisecond)
	}
	server.draining = false
}

// silenceLog keeps the log from answering one host of a zone. The caller holds sim.mu.
func (sim *simulation) silenceLog(zone string, length time.Duration) {
	var hosts []*simHost
	for _, host := range sim.hosts {
		if host.self.Zone == zone {
			hosts = append(hosts, host)
		}
	}
	host := hosts[sim.rng.IntN(len(hosts))]
	sim.partitions[[2]string{host.self.Name, "store"}] = sim.now() + length
}

// pause lets the simulation run for a time. The caller holds sim.mu, which is released meanwhile.
func (sim *simulation) pause(length time.Duration) {
	sim.mu.Unlock()
	time.Sleep(length)
	sim.mu.Lock()
}

// TestOneOwnerAcrossQuickRestarts has servers among the faults that go down and up again at once, several times in a row, also while their
// keys move and while the log does not answer a host: a renewal by an older plan must not reach a later life (review, cases 10 and 12).
func TestOneOwnerAcrossQuickRestarts(t *testing.T) {
	checkOneOwner(t, func(sim *simulation) { sim.injectFaultOr(0.5, sim.injectQuickRestarts) })
}
