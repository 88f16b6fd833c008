package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Placing emulates the servers of a service without keys under the loads at which days were lost, and hosts
// that choose among them by a policy. Arrivals, work and faults are drawn from the seed, and are the same for all policies.

// PlacingPolicy chooses a server for each request.
type PlacingPolicy string

const (
	// PolicyFleet is the product's own choice (package fleet).
	PolicyFleet PlacingPolicy = "fleet"
	// PolicyRandom and PolicyLeast are plain baselines: any server, and the one with the fewest own requests in flight.
	PolicyRandom PlacingPolicy = "random"
	PolicyLeast  PlacingPolicy = "least in flight"
)

// PlacingPolicies are all policies.
var PlacingPolicies = []PlacingPolicy{PolicyFleet, PolicyLeast, PolicyRandom}

// PlacingLoad is a pattern of load.
type PlacingLoad struct {
	Name string
	// Burst multiplies the rate from second 10 to 20.
	Burst float64
	// Slow multiplies the work at SlowServers servers from second 10 on.
	Slow        float64
	SlowServers int
	// Grey is the share of requests that fail at once at GreyServers servers from second 10 on.
	Grey        float64
	GreyServers int
	// Noise multiplies the work at a fifth of the servers, drawn anew each 400 ms.
	Noise float64
}

// PlacingLoads are the loads that the users' site files name.
var PlacingLoads = []PlacingLoad{
	{Name: "calm"},
	{Name: "burst", Burst: 1.7},
	{Name: "slow", Slow: 6, SlowServers: 3},
	{Name: "grey", Grey: 0.6, GreyServers: 2},
	{Name: "noise", Noise: 3},
	{Name: "noise and burst", Noise: 3, Burst: 1.7},
}

// placingKind is a kind of request.
type placingKind struct {
	rate           float64
	work           time.Duration
	goal, deadline time.Duration
	worth, late    float64
}

// placingKinds, and the numbers of hosts, servers, slots and places, are those of the Moravian archive.
var placingKinds = []placingKind{
	{rate: 71, work: 300 * time.Millisecond, goal: 800 * time.Millisecond, deadline: 5 * time.Second, worth: 1, late: 0.3},
	{rate: 55, work: 48 * time.Millisecond, goal: 150 * time.Millisecond, deadline: time.Second, worth: 2, late: 0.6},
}

const (
	placingHosts   = 12
	placingServers = 14
	placingSlots   = 4
	placingQueue   = 16
	placingTime    = 30 * time.Second
	placingTries   = 3
	// noiseEvery is how often the servers that are held up change.
	noiseEvery = 400 * time.Millisecond
	placingHop = time.Millisecond
)

var placingSpeeds = []float64{0.6, 1, 1, 1.4}

// PlacingResult counts the ends of the requests of a run.
type PlacingResult struct {
	Load   string        `json:"load"`
	Policy PlacingPolicy `json:"policy"`
	// Met counts the requests that met their goal.
	Met     int `json:"met"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Worth is the benefit in relation to what was owed.
	Worth float64 `json:"worth"`
}

// placing is one run.
type placing struct {
	clock   clock
	load    PlacingLoad
	rng     *rand.Rand
	servers []*placingServer
	hosts   []*placingHost
	result  PlacingResult
	owed    float64
	earned  float64
}

// placingServer is a server with slots and a queue.
type placingServer struct {
	index   int
	speed   float64
	held    float64
	running int
	queue   []func()
}

// placingHost chooses among the servers for its own requests.
type placingHost struct {
	run      *placing
	policy   PlacingPolicy
	rng      *rand.Rand
	fleet    *fleet.Fleet
	inFlight [placingServers]int
}

// RunPlacing emulates one load under one policy.
func RunPlacing(load PlacingLoad, policy PlacingPolicy, seed uint64) PlacingResult {
	p := &placing{load: load, rng: rand.New(rand.NewPCG(seed, 1)), result: PlacingResult{Load: load.Name, Policy: policy}}
	for i := range placingServers {
		p.servers = append(p.servers, &placingServer{index: i, speed: placingSpeeds[i%len(placingSpeeds)], held: 1})
	}
	for i := range placingHosts {
		p.hosts = append(p.hosts, p.newHost(policy, rand.New(rand.NewPCG(seed, uint64(100+i)))))
	}
	for _, kind := range placingKinds {
		p.arrivals(kind)
	}
	if load.Noise > 0 {
		p.noise()
	}
	p.clock.run(placingTime + 10*time.Second)
	p.result.Worth = p.earned / p.owed
	return p.result
}

func (p *placing) newHost(policy PlacingPolicy, rng *rand.Rand) *placingHost {
	h := &placingHost{run: p, policy: policy, rng: rng}
	h.fleet = fleet.New(fleet.Options{Chance: rng.IntN, Target: func(string) *transport.Target { return nil }})
	var entries []fleet.Entry
	for i := range placingServers {
		entries = append(entries, fleet.Entry{ID: placingID(i), Service: "archiv", Slots: placingSlots})
	}
	h.fleet.Set(entries, 0)
	return h
}

func placingID(i int) fleet.ID { return fleet.ID(fmt.Sprintf("%02d", i)) }

// faulty reports whether the faults from second 10 on are under way.
func (p *placing) faulty() bool { return p.clock.now >= 10*time.Second }

// arrivals makes the requests of a kind.
func (p *placing) arrivals(kind placingKind) {
	rate := kind.rate
	if p.load.Burst > 0 && p.faulty() && p.clock.now < 20*time.Second {
		rate *= p.load.Burst
	}
	p.clock.after(drawGap(p.rng, rate), func() {
		if p.clock.now > placingTime {
			return
		}
		work := drawWork(p.rng, kind.work)
		host := p.hosts[p.rng.IntN(len(p.hosts))]
		p.owed += kind.worth
		host.try(&placingRequest{kind: kind, work: work, arrived: p.clock.now})
		p.arrivals(kind)
	})
}

// noise holds up a fifth of the servers, others each time.
func (p *placing) noise() {
	for _, server := range p.servers {
		server.held = 1
	}
	for _, i := range p.rng.Perm(placingServers)[:placingServers/5] {
		p.servers[i].held = p.load.Noise
	}
	p.clock.after(noiseEvery, p.noise)
}

// placingRequest is one request of a caller.
type placingRequest struct {
	kind     placingKind
	work     time.Duration
	arrived  time.Duration
	tries    int
	excluded []fleet.ID
}

// choose returns a server, and false where none may be used.
func (h *placingHost) choose(r *placingRequest) (int, bool) {
	now := h.run.clock.now
	switch h.policy {
	case PolicyFleet:
		server, ok := h.fleet.Choose("archiv", r.excluded, now)
		if !ok || !server.Begin(fleet.Allowance{}, now) {
			return 0, false
		}
		var index int
		fmt.Sscanf(string(server.Entry().ID), "%d", &index)
		return index, true
	case PolicyLeast:
		best := h.rng.IntN(placingServers)
		for i := range placingServers {
			if h.inFlight[i] < h.inFlight[best] {
				best = i
			}
		}
		return best, true
	}
	return h.rng.IntN(placingServers), true
}

// try sends a request to a server.
func (h *placingHost) try(r *placingRequest) {
	index, ok := h.choose(r)
	if !ok || r.tries == placingTries {
		h.run.result.Refused++
		return
	}
	r.tries++
	r.excluded = append(r.excluded, placingID(index))
	h.inFlight[index]++
	h.run.clock.after(placingHop, func() { h.arrive(r, h.run.servers[index], h.run.clock.now) })
}

// arrive is a request at its server: it fails, is shed, runs or waits.
func (h *placingHost) arrive(r *placingRequest, server *placingServer, sent time.Duration) {
	p := h.run
	switch {
	case p.faulty() && server.index < p.load.GreyServers && p.rng.Float64() < p.load.Grey:
		h.end(r, server, fleet.Failed, sent)
	case server.running < placingSlots:
		p.start(server, r, func() { h.end(r, server, fleet.Answered, sent) })
	case len(server.queue) < placingQueue:
		server.queue = append(server.queue, func() {
			if p.clock.now-r.arrived > r.kind.deadline {
				h.end(r, server, fleet.Shed, sent)
				return
			}
			p.start(server, r, func() { h.end(r, server, fleet.Answered, sent) })
		})
	default:
		h.end(r, server, fleet.Shed, sent)
	}
}

// start runs a request in a slot.
func (p *placing) start(server *placingServer, r *placingRequest, done func()) {
	server.running++
	took := float64(r.work) * server.held / server.speed
	if p.faulty() && server.index < p.load.SlowServers {
		took *= p.load.Slow
	}
	p.clock.after(time.Duration(took), func() {
		server.running--
		done()
		for server.running < placingSlots && len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			next()
		}
	})
}

// end is the end of a try at its host.
func (h *placingHost) end(r *placingRequest, server *placingServer, ending fleet.Ending, sent time.Duration) {
	p := h.run
	h.inFlight[server.index]--
	if h.policy == PolicyFleet {
		h.learn(r, server, ending, sent)
	}
	took := p.clock.now - r.arrived
	switch {
	case ending == fleet.Answered && took <= r.kind.goal:
		p.result.Met++
		p.earned += r.kind.worth
	case ending == fleet.Answered && took <= r.kind.deadline:
		p.result.Late++
		p.earned += r.kind.late
	case ending == fleet.Answered || took > r.kind.deadline:
		p.result.Failed++
	case ending == fleet.Failed && r.tries == placingTries:
		p.result.Failed++
	default:
		h.try(r)
	}
}

// learn tells the fleet what the product learns from a try.
func (h *placingHost) learn(r *placingRequest, server *placingServer, ending fleet.Ending, sent time.Duration) {
	now := h.run.clock.now
	known, _ := h.fleet.Server(placingID(server.index))
	if ending == fleet.Answered {
		known.Report(fleet.LoadReport{Running: server.running, Waiting: len(server.queue)}, now)
	}
	known.End(ending, float64(now-sent)/float64(r.kind.work), now)
}

// PrintPlacing writes results as a table.
func PrintPlacing(w io.Writer, results []PlacingResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "load\tpolicy\tworth\tgoal met\tlate\trefused\tfailed")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%d\t%d\t%d\t%d\n", r.Load, r.Policy, r.Worth, r.Met, r.Late, r.Refused, r.Failed)
	}
	return table.Flush()
}

// ComparePlacing runs all loads under all policies and adds up the given number of seeds.
func ComparePlacing(runs int) []PlacingResult {
	var results []PlacingResult
	for _, load := range PlacingLoads {
		for _, policy := range PlacingPolicies {
			sum := PlacingResult{Load: load.Name, Policy: policy}
			for seed := range uint64(runs) {
				r := RunPlacing(load, policy, seed)
				sum.Met += r.Met
				sum.Late += r.Late
				sum.Refused += r.Refused
				sum.Failed += r.Failed
				sum.Worth += r.Worth / float64(runs)
			}
			results = append(results, sum)
		}
	}
	return results
}
