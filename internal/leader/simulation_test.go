package leader

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/continuity"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/registry"
	"github.com/poplarcroft/poplarcroft/internal/relay"
	"github.com/poplarcroft/poplarcroft/internal/renew"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// The simulation runs the real leaders, renewers and relays of several hosts against simulated
// servers, a simulated store and a simulated network that fail at random, under a fake clock.
// Whenever a server accepts a grant, the simulation checks that no other server holds the keys
// and that fencing tokens rise.

const (
	simService = "revize"
	simHosts   = 4
	simServers = 4
	faultTime  = 60 * time.Second
)

// simRuns is the number of seeds of each test that looks for violations, and simFirst the first of them.
var (
	simRuns  = flag.Int("sim-runs", 25, "number of seeds")
	simFirst = flag.Int("sim-first", 0, "first seed")
)

// simLog receives the hosts' log lines if it is set, to debug a run.
var simLog io.Writer

// simulation is the state of one run of the simulation.
type simulation struct {
	mu  sync.Mutex
	rng *rand.Rand
	// storeRNG draws what becomes of writes to the log. The next registration of the host lateRegistration is carried out late.
	storeRNG         *rand.Rand
	lateRegistration string
	started          time.Time
	// assumed is what the leaders assume of the times that renewers keep.
	assumed grants.Timing

	// records is the topic of the plan and of the registrations, and written holds when each record was written. era counts the
	// restores of the log. The value of a plan's record is a key of plans, which also holds lost plans.
	records []follow.Record
	written []time.Duration
	era     follow.Era
	plans   map[string]assign.Plan
	// members holds when each host last called Join; elected is the host that is the leader.
	members map[string]time.Duration
	elected string
	hosts   []*simHost
	servers []*simServer
	// partitions holds the pairs that cannot reach each other, with the end of the partition.
	partitions map[[2]string]time.Duration
	// highestFence holds the highest fencing token granted for each cell, and highestFenceOwner the
	// server incarnation that got it.
	highestFence      [simServers]assign.Fence
	highestFenceOwner [simServers]string
	// cutOff holds the hosts that are believed to reach no server, rightly or not, with the end of that belief.
	cutOff map[string]time.Duration
	// overstated is how many more connections hosts report than they have opened.
	overstated continuity.Number
	// leadersBefore makes leaders that do not know the weighted order ones of the build before, which tells nothing of connections. Hosts
	// beside it rely on a server being down for leastDowntimeBefore.
	leadersBefore bool
	// hidePlans makes hosts answer that they have no newer plan.
	hidePlans bool
	// falseEnds makes calls to hosts that are out of reach be answered by another incarnation, as if they had ended.
	falseEnds bool
	// faults describes the injected faults; violation is the first violated invariant.
	faults    []string
	violation string
}

// simServer is a simulated backend server. The key space is divided into cells of equal
// width, as many as there are servers.
type simServer struct {
	assign.Server
	up bool
	// seenFence holds the highest fencing token seen for each cell, and grantedUntil when the grant
	// of the cell expires.
	seenFence    [simServers]assign.Fence
	grantedUntil [simServers]time.Duration
	// listed is set while the server has an entry in the service discovery, which names the start of the incarnation that wrote
	// it. The entry is removed some time after a crash.
	listed    bool
	entryBorn int64
	draining  bool
	// conns holds the hosts' connections to the present incarnation.
	conns []*simConn
}

func (s *simServer) incarnation() string { return fmt.Sprintf("%s/%d", s.ID, s.Born) }

// simHost is one incarnation of a simulated host. Only stop changes; sim.mu guards it.
type simHost struct {
	sim     *simulation
	index   int
	self    assign.Host
	current *assign.Current
	renewer *renew.Renewer
	// connections numbers the connections for grants and for callers' requests.
	connections *continuity.Connections
	leader      *Leader
	relay       *relay.Relay
	fleet       *fleet.Fleet
	stop        context.CancelFunc
	// registered holds the registrations that this host has read, and registration decides when it writes its own.
	registered   registry.Hosts
	registration *registry.Registration
	// next is the position after the last record that this host has read or written; sim.mu guards it.
	next follow.Position
}

func (sim *simulation) now() time.Duration { return time.Since(sim.started) }

// set changes the simulation's rules while it runs.
func (sim *simulation) set(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// connected reports whether a and b can reach each other.
func (sim *simulation) connected(a, b string) bool {
	now := sim.now()
	return sim.partitions[[2]string{a, b}] <= now && sim.partitions[[2]string{b, a}] <= now
}

// cells returns the indexes of the cells in a range.
func cells(r keyrange.Range) []int {
	var found []int
	for i, cell := range keyrange.Even(simServers) {
		if r.Contains(cell.First) {
			found = append(found, i)
		}
	}
	return found
}

var errNoAnswer = errors.New("simulation: no answer")

// applyGrant applies a grant to a server, and checks the invariants. late says that the call had
// timed out at the host before.
func (sim *simulation) applyGrant(h *simHost, s *simServer, grant grants.Grant, sent time.Duration, late bool) error {
	now := sim.now()
	until := sent + time.Duration(float64(grant.TTL)*1.02)
	for _, cell := range cells(grant.Range) {
		if s.seenFence[cell] > grant.Fence {
			return grants.ErrFenced
		}
	}
	for _, cell := range cells(grant.Range) {
		s.seenFence[cell] = grant.Fence
		if until <= now {
			continue
		}
		sim.checkGrant(h, s, cell, grant.Fence, now, late)
		s.grantedUntil[cell] = max(s.grantedUntil[cell], until)
	}
	return nil
}

// checkGrant checks that no other server holds the cell, and that a new owner has a higher fencing
// token than all former ones.
func (sim *simulation) checkGrant(h *simHost, s *simServer, cell int, fence assign.Fence, now time.Duration, late bool) {
	for _, other := range sim.servers {
		if other != s && other.up && other.grantedUntil[cell] > now {
			sim.recordViolation("host %s/%s: cell %d granted to %s with fence %d while %s holds it (applied after timeout: %v)", h.self.Name, h.self.Incarnation, cell, s.incarnation(), fence, other.incarnation(), late)
		}
	}
	if sim.highestFenceOwner[cell] != s.incarnation() && fence <= sim.highestFence[cell] {
		sim.recordViolation("host %s/%s: cell %d granted to %s with fence %d, but %s had fence %d before (applied after timeout: %v)", h.self.Name, h.self.Incarnation, cell, s.incarnation(), fence, sim.highestFenceOwner[cell], sim.highestFence[cell], late)
	}
	if fence >= sim.highestFence[cell] {
		sim.highestFence[cell] = fence
		sim.highestFenceOwner[cell] = s.incarnation()
	}
}

// heldCells counts the cells that have an owner. The caller holds sim.mu.
func (sim *simulation) heldCells() int {
	held := 0
	for cell := range simServers {
		for _, s := range sim.servers {
			if s.up && s.grantedUntil[cell] > sim.now() {
				held++
			}
		}
	}
	return held
}

func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("%v: ", sim.now()) + fmt.Sprintf(format, args...)
	}
}

// Release implements grants.Granter for one host.
func (h *simHost) Release(ctx context.Context, server assign.Server, keys keyrange.Range, fence assign.Fence) (string, error) {
	sim := h.sim
	time.Sleep(time.Millisecond)
	sim.mu.Lock()
	target := sim.serverAt(server.Addr)
	if !target.up || !sim.connected(h.self.Name, target.ID) {
		sim.mu.Unlock()
		<-ctx.Done()
		return "", errNoAnswer
	}
	release := func() {
		for _, cell := range cells(keys) {
			target.seenFence[cell] = max(target.seenFence[cell], fence)
			target.grantedUntil[cell] = 0
		}
	}
	if sim.chance(0.03) {
		// The call times out, but the server carries it out later.
		incarnation := target.incarnation()
		time.AfterFunc(time.Duration(1+sim.rng.IntN(8))*time.Second, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			if target.up && target.incarnation() == incarnation {
				release()
			}
		})
		sim.mu.Unlock()
		<-ctx.Done()
		return "", errNoAnswer
	}
	release()
	lost := sim.chance(0.1)
	working := time.Duration(sim.rng.IntN(100)) * time.Millisecond
	sim.mu.Unlock()
	time.Sleep(working)
	if lost {
		<-ctx.Done()
		return "", errNoAnswer
	}
	return "handover", nil
}

func (sim *simulation) serverAt(addr string) *simServer {
	i := slices.IndexFunc(sim.servers, func(s *simServer) bool { return s.Addr == addr })
	return sim.servers[i]
}

// Join implements Elector with a lease of three seconds. The leader also changes at random.
func (h *simHost) Join(context.Context) (bool, error) {
	sim := h.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !sim.connected(h.self.Name, "store") {
		return false, errNoAnswer
	}
	now := sim.now()
	sim.members[h.self.Name] = now
	if sim.elected == "" || now-sim.members[sim.elected] > 3*time.Second || sim.chance(0.01) {
		sim.elected = h.self.Name
	}
	return sim.elected == h.self.Name, nil
}

// pollServers polls the service discovery and sends this host's reports to the leader.
func (h *simHost) pollServers(ctx context.Context) {
	for ctx.Err() == nil {
		h.sim.mu.Lock()
		var entries []fleet.Entry
		for _, s := range h.sim.servers {
			if s.listed {
				entries = append(entries, fleet.Entry{
					ID: fleet.ID(s.ID), Service: simService, Addr: s.Addr, Zone: s.Zone, Slots: 4, Born: s.entryBorn, Draining: s.draining,
				})
			}
		}
		connected := h.sim.connected(h.self.Name, "store")
		h.sim.mu.Unlock()
		if connected {
			h.fleet.Set(entries, h.sim.now())
		}
		h.renewer.Wake()
		h.report()
		time.Sleep(400 * time.Millisecond)
	}
}

// report sends the leader a heartbeat of this host and the grants that it has stopped renewing.
func (h *simHost) report() {
	h.sim.mu.Lock()
	i := slices.IndexFunc(h.sim.hosts, func(other *simHost) bool { return other.self.SameIncarnation(h.current.Plan().Leader) })
	var to *simHost
	if i >= 0 && h.sim.connected(h.self.Name, h.sim.hosts[i].self.Name) {
		to = h.sim.hosts[i]
	}
	h.sim.mu.Unlock()
	if to != nil {
		lost := h.renewer.Lost()
		h.sim.mu.Lock()
		overstated := h.sim.overstated
		h.sim.mu.Unlock()
		from := Reporter{Name: h.self.Name, Incarnation: h.self.Incarnation, Plan: h.current.Plan().Version, Connections: h.connections.Newest() + overstated}
		to.leader.Report(from, Report{}, lost)
	}
}

// start starts a new incarnation of a host. The caller holds sim.mu.
func (sim *simulation) start(index int, self assign.Host) {
	h := &simHost{sim: sim, index: index, self: self, registration: registry.NewRegistration(self)}
	sim.hosts[index] = h
	h.current = assign.NewCurrent()
	h.fleet = fleet.New(fleet.Options{Zone: h.self.Zone, Target: func(addr string) *transport.Target { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	log := eventlog.Discard()
	if simLog != nil {
		log = eventlog.New(simLog, "host", h.self.Name, "incarnation", h.self.Incarnation)
		go log.Run(ctx)
	}
	h.connections = continuity.New()
	h.renewer = renew.New(renew.Config{
		Self: h.self, Current: h.current, Granter: h, Timing: grants.DefaultTiming(), Connections: h.connections, Candidates: h.candidates,
		Clock: h.sim.now, Log: log,
	})
	table := routetable.New(routetable.Config{Services: map[string]routetable.Service{simService: {Keyed: true}}})
	h.leader = New(Config{
		Self: h.self, Current: h.current, Store: h, Elector: h, Peers: h, Granter: h, Timing: h.sim.assumed, Fleet: h.fleet,
		Table: func() *routetable.Table { return table }, Hosts: h.registered.List,
		OperatorOffset: func() uint64 { return 0 }, CutOff: h.sim.isCutOff,
		ZoneEvacuated: func(string) bool { return false }, ServersKnown: func() bool { return true }, Clock: h.sim.now, Log: log,
	})
	h.relay = relay.New(relay.Config{Hosts: h.zoneHosts, Others: h.otherHosts, MustReadDirectly: func(relay.Topic) bool { return h.leader.IsLeader() }, Ask: h.askRelay, Clock: h.sim.now, Log: log})
	h.stop = cancel
	for _, run := range []func(context.Context){h.followPlan, h.pollServers, h.reportConnections, h.sendRequests, h.renewer.Run, h.leader.RunElection, h.leader.Run} {
		go run(ctx)
	}
}

// simulate runs the simulation. inject injects one random fault. It returns the first violation with the faults that were injected,
// and the number of cells that are held at the end.
func simulate(t *testing.T, seed uint64, assumed grants.Timing, inject func(*simulation)) (violation string, held int) {
	synctest.Test(t, func(*testing.T) {
		sim := &simulation{
			rng: rand.New(rand.NewPCG(seed, 1)), storeRNG: rand.New(rand.NewPCG(seed, 2)), started: time.Now().Add(-time.Hour), assumed: assumed,
			era: 1, plans: make(map[string]assign.Plan),
			members: make(map[string]time.Duration), partitions: make(map[[2]string]time.Duration),
			cutOff: make(map[string]time.Duration),
		}
		zones := []string{"brno", "zlin"}
		for i := range simServers {
			sim.servers = append(sim.servers, &simServer{up: true, listed: true, entryBorn: 1, Server: assign.Server{
				ID: fmt.Sprintf("s%d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Zone: zones[i%2], Born: 1,
			}})
		}
		sim.hosts = make([]*simHost, simHosts)
		sim.mu.Lock()
		for i := range sim.hosts {
			sim.start(i, assign.Host{
				Name: fmt.Sprintf("h%d", i), Addr: fmt.Sprintf("10.0.1.%d:1", i), Zone: zones[i%2], Incarnation: "1", KnownOrder: assign.OrderByWeight, Weight: float64(1 + i%3),
			})
		}
		sim.mu.Unlock()
		time.Sleep(4 * time.Second)
		for sim.now() < time.Hour+faultTime {
			sim.mu.Lock()
			pause := time.Duration(sim.rng.IntN(2500)) * time.Millisecond
			sim.mu.Unlock()
			time.Sleep(pause)
			inject(sim)
		}
		time.Sleep(40 * time.Second)
		sim.mu.Lock()
		violation = sim.violation
		if violation != "" {
			violation += fmt.Sprintf("\n%v", sim.faults)
		}
		held = sim.heldCells()
		for _, h := range sim.hosts {
			if h.stop != nil {
				h.stop()
			}
		}
		sim.mu.Unlock()
		time.Sleep(time.Minute)
	})
	return violation, held
}
