package leader

import (
	"fmt"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// injectFault injects one random fault, which ends after a random time.
func (sim *simulation) injectFault() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	host := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	server := sim.servers[sim.rng.IntN(len(sim.servers))]
	length := time.Duration(1+sim.rng.IntN(8)) * time.Second
	until := sim.now() + length
	kind := sim.rng.IntN(8)
	sim.faults = append(sim.faults, fmt.Sprintf("%v kind %d host %s server %s for %v", sim.now(), kind, host.self.Name, server.ID, length))
	switch kind {
	case 0: // the host cannot reach one server
		sim.partitions[[2]string{host.self.Name, server.ID}] = until
	case 1: // the host cannot reach the store
		sim.partitions[[2]string{host.self.Name, "store"}] = until
	case 2: // the host cannot reach the other hosts
		for _, other := range sim.hosts {
			if other != host {
				sim.partitions[[2]string{host.self.Name, other.self.Name}] = until
			}
		}
	case 3: // the host stops and restarts as a new incarnation
		sim.restart(host, length/4)
	case 4: // the server crashes and restarts
		sim.crash(server, sim.drawDowntime())
	case 5: // the server drains and comes back
		server.draining = true
		time.AfterFunc(length, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			server.draining = false
		})
	case 7: // the host and the server can reach only each other
		sim.isolate(host, server, until)
	case 6: // no host can reach the store
		for _, h := range sim.hosts {
			sim.partitions[[2]string{h.self.Name, "store"}] = until
		}
	}
}

// injectFaultOr injects one random fault, or, with the given probability, another one.
func (sim *simulation) injectFaultOr(probability float64, other func()) {
	sim.mu.Lock()
	chosen := sim.chance(probability)
	sim.mu.Unlock()
	if chosen {
		other()
		return
	}
	sim.injectFault()
}

// restart stops a host and starts it after the given time as a new incarnation.
func (sim *simulation) restart(host *simHost, after time.Duration) {
	if host.stop == nil {
		return
	}
	host.stop()
	host.stop = nil
	time.AfterFunc(after, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		next := host.self
		next.Incarnation += "'"
		sim.start(host.index, next)
	})
}

// restore makes the log unreachable for a moment, and replaces it by a copy from some seconds ago. At
// times, all hosts restart meanwhile, or one that then becomes the leader and knows only the copy.
func (sim *simulation) restore() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	away := time.Duration(100+sim.rng.IntN(1500)) * time.Millisecond
	age := time.Duration(200+sim.rng.IntN(5000)) * time.Millisecond
	restarts := sim.chance(0.3)
	newLeader := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	if restarts || sim.chance(0.5) {
		newLeader = nil
	}
	sim.restoreCopy(away, age, restarts, newLeader)
}

// restoreCopy makes the log unreachable for a time, and replaces it by a copy of the given age. If restarts is set, all hosts
// restart meanwhile; otherwise newLeader does, if there is one, and becomes the leader. The caller holds sim.mu.
func (sim *simulation) restoreCopy(away, age time.Duration, restarts bool, newLeader *simHost) {
	sim.faults = append(sim.faults, fmt.Sprintf("%v restore after %v, copy %v old, all hosts restart: %v, a new leader: %v", sim.now(), away, age, restarts, newLeader != nil))
	for _, host := range sim.hosts {
		until := max(sim.partitions[[2]string{host.self.Name, "store"}], sim.now()+away)
		sim.partitions[[2]string{host.self.Name, "store"}] = until
		if restarts || host == newLeader {
			sim.restart(host, away/2)
		}
	}
	if newLeader != nil {
		sim.elected = newLeader.self.Name
		sim.members[sim.elected] = sim.now()
	}
	copied := sim.now() - age
	time.AfterFunc(away-time.Millisecond, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		kept := 0
		for kept < len(sim.written) && sim.written[kept] <= copied {
			kept++
		}
		sim.records, sim.written = sim.records[:kept:kept], sim.written[:kept:kept]
		sim.era++
	})
}

// loseMove drains a server, so that its cells move to others, and then restores the log from a copy that is older than the
// move. A host that knows of the move goes on renewing for one of the new owners, out of reach of the other hosts;
// the leader restarts and knows only the copy. It returns after the restore.
func (sim *simulation) loseMove() {
	const moveTime, away, isolated = 3 * time.Second, 200 * time.Millisecond, 8 * time.Second
	sim.mu.Lock()
	defer sim.mu.Unlock()
	drained := sim.servers[sim.rng.IntN(len(sim.servers))]
	held := slices.Clone(drained.grantedUntil[:])
	began := sim.now()
	drained.draining = true
	sim.mu.Unlock()
	time.Sleep(moveTime)
	sim.mu.Lock()
	drained.draining = false
	for cell, until := range held {
		owner := sim.owner(cell)
		if until <= began || owner == nil || owner == drained {
			continue
		}
		renewer := sim.hosts[slices.IndexFunc(sim.hosts, func(h *simHost) bool { return h.self.Zone == owner.Zone })]
		leader := sim.hosts[slices.IndexFunc(sim.hosts, func(h *simHost) bool { return h != renewer })]
		sim.faults = append(sim.faults, fmt.Sprintf("%v cell %d has moved from %s to %s, only %s reaches that", sim.now(), cell, drained.ID, owner.ID, renewer.self.Name))
		sim.isolate(renewer, owner, sim.now()+isolated)
		sim.restoreCopy(away, sim.now()-began, false, leader)
		break
	}
	sim.mu.Unlock()
	time.Sleep(isolated)
	sim.mu.Lock()
}

// owner returns the server that holds a cell, or nil. The caller holds sim.mu.
func (sim *simulation) owner(cell int) *simServer {
	i := slices.IndexFunc(sim.servers, func(s *simServer) bool { return s.up && s.grantedUntil[cell] > sim.now() })
	if i < 0 {
		return nil
	}
	return sim.servers[i]
}

// isolate partitions a host and a server from everything but each other. The server's entry in
// the service discovery expires.
func (sim *simulation) isolate(host *simHost, server *simServer, until time.Duration) {
	sim.partitions[[2]string{host.self.Name, "store"}] = until
	for _, other := range sim.hosts {
		if other != host {
			sim.partitions[[2]string{host.self.Name, other.self.Name}] = until
			sim.partitions[[2]string{other.self.Name, server.ID}] = until
		}
	}
	if !server.up {
		return
	}
	server.listed = false
	time.AfterFunc(until-sim.now(), func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		server.listed = server.up
	})
}

// injectUpgrade replaces a host by another build, which knows the weighted order if the former one does not, and the reverse.
func (sim *simulation) injectUpgrade() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	host := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	if host.stop == nil {
		return
	}
	sim.faults = append(sim.faults, fmt.Sprintf("%v host %s gets another build", sim.now(), host.self.Name))
	if host.self.KnownOrder == "" {
		host.self.KnownOrder, host.self.Weight = assign.OrderByWeight, 1+5*sim.rng.Float64()
	} else {
		host.self.KnownOrder, host.self.Weight = "", 0
	}
	sim.restart(host, 500*time.Millisecond)
}

// injectRestarts kills a host twice within a second or two, and then cuts it off from everything but a server of its zone.
// The registration of the first new incarnation is carried out late.
func (sim *simulation) injectRestarts() {
	const down, up, listed, cut = 300 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Second
	sim.mu.Lock()
	index := sim.rng.IntN(len(sim.hosts))
	name := sim.hosts[index].self.Name
	sim.faults = append(sim.faults, fmt.Sprintf("%v host %s is killed twice and cut off for %v", sim.now(), name, cut))
	sim.restart(sim.hosts[index], down)
	sim.lateRegistration = name
	sim.mu.Unlock()
	time.Sleep(down + up)
	sim.mu.Lock()
	sim.restart(sim.hosts[index], down)
	sim.mu.Unlock()
	time.Sleep(down + listed)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	host := sim.hosts[index]
	server := slices.IndexFunc(sim.servers, func(s *simServer) bool { return s.Zone == host.self.Zone })
	sim.isolate(host, sim.servers[server], sim.now()+cut)
}
