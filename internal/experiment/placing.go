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

// The placing simulation models the servers of a service without keys, and hosts that choose a server for each request by
// a policy. Its loads, except "calm", are patterns that have cost users whole days of service. Arrivals, work and faults are
// drawn from the seed independently of the policy, with one exception: the failures of grey servers are drawn for each
// attempt from the same random stream, so under a load with GreyServers the arrivals differ between policies from second 10
// on.

// PlacingPolicy chooses a server for each request.
type PlacingPolicy string

const (
	// PolicyFleet is the choice of the router itself (package fleet).
	PolicyFleet PlacingPolicy = "fleet"
	// PolicyRandom and PolicyLeastInFlight are baselines: a random server, and the server with the fewest requests in
	// flight from this host.
	PolicyRandom        PlacingPolicy = "random"
	PolicyLeastInFlight PlacingPolicy = "least in flight"
)

// PlacingPolicies lists all policies, the one of the router first.
var PlacingPolicies = []PlacingPolicy{PolicyFleet, PolicyLeastInFlight, PolicyRandom}

// PlacingLoad is a pattern of load and faults. A factor of zero means no change.
type PlacingLoad struct {
	Name string
	// BurstFactor multiplies the arrival rate from second 10 to 20.
	BurstFactor float64
	// SlowFactor multiplies the service time at SlowServers servers from second 10 on.
	SlowFactor  float64
	SlowServers int
	// GreyFailureRate is the share of requests that fail immediately at GreyServers servers from second 10 on. Such a
	// server looks fast, because it answers failures sooner than results.
	GreyFailureRate float64
	GreyServers     int
	// NoiseFactor multiplies the service time at a fifth of the servers, drawn again every noiseInterval.
	NoiseFactor float64
}

// PlacingLoads lists the loads that the users' site files name.
var PlacingLoads = []PlacingLoad{
	{Name: "calm"},
	{Name: "burst", BurstFactor: 1.7},
	{Name: "slow", SlowFactor: 6, SlowServers: 3},
	{Name: "grey", GreyFailureRate: 0.6, GreyServers: 2},
	{Name: "noise", NoiseFactor: 3},
	{Name: "noise and burst", NoiseFactor: 3, BurstFactor: 1.7},
}

// placingKind is a kind of request.
type placingKind struct {
	// rate is in requests per second, work the mean service time at speed 1.
	rate float64
	work time.Duration
	// An answer within goal has the value worth, a later one within deadline the value lateWorth, any other none.
	goal, deadline   time.Duration
	worth, lateWorth float64
}

// placingKinds, and the numbers of hosts, servers, slots and queued requests, are those of the Moravian archive.
var placingKinds = []placingKind{
	{rate: 71, work: 300 * time.Millisecond, goal: 800 * time.Millisecond, deadline: 5 * time.Second, worth: 1, lateWorth: 0.3},
	{rate: 55, work: 48 * time.Millisecond, goal: 150 * time.Millisecond, deadline: time.Second, worth: 2, lateWorth: 0.6},
}

const (
	placingHosts   = 12
	placingServers = 14
	placingSlots   = 4
	// placingQueueLimit is the length of a server's queue.
	placingQueueLimit = 16
	// placingDuration is the time in which requests arrive.
	placingDuration    = 30 * time.Second
	placingMaxAttempts = 3
	// noiseInterval is the time after which other servers are slowed by noise.
	noiseInterval = 400 * time.Millisecond
	// placingLatency is the time that a request needs from its host to the server.
	placingLatency = time.Millisecond
)

// placingSpeeds are the speeds of the servers, in turn.
var placingSpeeds = []float64{0.6, 1, 1, 1.4}

// PlacingResult counts the requests of a run by how they ended.
type PlacingResult struct {
	Load   string        `json:"load"`
	Policy PlacingPolicy `json:"policy"`
	// GoalMet counts the requests that were answered within their goal.
	GoalMet int `json:"met"`
	// Late counts the requests that were answered after their goal and within their deadline.
	Late int `json:"late"`
	// Rejected counts the requests for which no server could be chosen or no attempt was left.
	Rejected int `json:"refused"`
	// Failed counts the requests that ended after their deadline or whose last attempt failed.
	Failed int `json:"failed"`
	// Worth is the value of all answers, divided by the value if every request had met its goal.
	Worth float64 `json:"worth"`
}

// placingRun is the state of one run.
type placingRun struct {
	clock   clock
	load    PlacingLoad
	rng     *rand.Rand
	servers []*placingServer
	hosts   []*placingHost
	result  PlacingResult
	// maxWorth is the value of all requests if answered within their goal, earned the value of the answers.
	maxWorth float64
	earned   float64
}

// placingServer is a backend server that runs up to placingSlots requests at a time and queues more.
type placingServer struct {
	index int
	// speed divides service times, slowdown multiplies them.
	speed    float64
	slowdown float64
	running  int
	// queue holds functions that start the waiting requests.
	queue []func()
}

// placingHost is a host that chooses a server for each of its requests. It knows only its own requests.
type placingHost struct {
	run      *placingRun
	policy   PlacingPolicy
	rng      *rand.Rand
	fleet    *fleet.Fleet
	inFlight [placingServers]int
}

// RunPlacing simulates one load under one policy.
func RunPlacing(load PlacingLoad, policy PlacingPolicy, seed uint64) PlacingResult {
	p := &placingRun{load: load, rng: rand.New(rand.NewPCG(seed, 1)), result: PlacingResult{Load: load.Name, Policy: policy}}
	for i := range placingServers {
		p.servers = append(p.servers, &placingServer{index: i, speed: placingSpeeds[i%len(placingSpeeds)], slowdown: 1})
	}
	for i := range placingHosts {
		p.hosts = append(p.hosts, p.newHost(policy, rand.New(rand.NewPCG(seed, uint64(100+i)))))
	}
	for _, kind := range placingKinds {
		p.scheduleArrival(kind)
	}
	if load.NoiseFactor > 0 {
		p.moveNoise()
	}
	p.clock.runUntil(placingDuration + 10*time.Second)
	p.result.Worth = p.earned / p.maxWorth
	return p.result
}

func (p *placingRun) newHost(policy PlacingPolicy, rng *rand.Rand) *placingHost {
	h := &placingHost{run: p, policy: policy, rng: rng}
	h.fleet = fleet.New(fleet.Options{RandIntN: rng.IntN, Target: func(string) *transport.Target { return nil }})
	var entries []fleet.Entry
	for i := range placingServers {
		entries = append(entries, fleet.Entry{ID: placingID(i), Service: "archiv", Slots: placingSlots})
	}
	h.fleet.Set(entries, 0)
	return h
}

func placingID(i int) fleet.ID { return fleet.ID(fmt.Sprintf("%02d", i)) }

// faulty reports whether the faults, which begin at second 10, are active.
func (p *placingRun) faulty() bool { return p.clock.now >= 10*time.Second }

// scheduleArrival schedules the next request of a kind, which in turn schedules the one after it.
func (p *placingRun) scheduleArrival(kind placingKind) {
	rate := kind.rate
	if p.load.BurstFactor > 0 && p.faulty() && p.clock.now < 20*time.Second {
		rate *= p.load.BurstFactor
	}
	p.clock.schedule(drawGap(p.rng, rate), func() {
		if p.clock.now > placingDuration {
			return
		}
		work := drawWork(p.rng, kind.work)
		host := p.hosts[p.rng.IntN(len(p.hosts))]
		p.maxWorth += kind.worth
		host.attempt(&placingRequest{kind: kind, work: work, arrived: p.clock.now})
		p.scheduleArrival(kind)
	})
}

// moveNoise slows a fifth of the servers, lets the others recover, and schedules itself again.
func (p *placingRun) moveNoise() {
	for _, server := range p.servers {
		server.slowdown = 1
	}
	for _, i := range p.rng.Perm(placingServers)[:placingServers/5] {
		p.servers[i].slowdown = p.load.NoiseFactor
	}
	p.clock.schedule(noiseInterval, p.moveNoise)
}

// placingRequest is one request of a caller.
type placingRequest struct {
	kind     placingKind
	work     time.Duration
	arrived  time.Duration
	attempts int
	// excluded lists the servers of all attempts so far.
	excluded []fleet.ID
}

// choose returns the index of a server by the policy, and false if none is available. Only PolicyFleet avoids the servers
// of earlier attempts, and registers the new one at the fleet.
func (h *placingHost) choose(r *placingRequest) (int, bool) {
	now := h.run.clock.now
	switch h.policy {
	case PolicyFleet:
		server, ok := h.fleet.Choose("archiv", r.excluded, nil, now)
		if !ok || server.Begin(fleet.Allowance{}, fleet.SoleShare, now) != fleet.NotRefused {
			return 0, false
		}
		var index int
		fmt.Sscanf(string(server.Entry().ID), "%d", &index)
		return index, true
	case PolicyLeastInFlight:
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

// attempt sends a request to a server, or counts it as rejected if no server or no attempt is left.
func (h *placingHost) attempt(r *placingRequest) {
	index, ok := h.choose(r)
	if !ok || r.attempts == placingMaxAttempts {
		h.run.result.Rejected++
		return
	}
	r.attempts++
	r.excluded = append(r.excluded, placingID(index))
	h.inFlight[index]++
	h.run.clock.schedule(placingLatency, func() { h.arrive(r, h.run.servers[index], h.run.clock.now) })
}

// arrive handles a request at its server: it fails, starts, is queued, or is shed because the queue is full. A queued
// request whose deadline has passed is shed when its turn comes. arrivedAt is the time of the arrival at the server.
func (h *placingHost) arrive(r *placingRequest, server *placingServer, arrivedAt time.Duration) {
	p := h.run
	switch {
	case p.faulty() && server.index < p.load.GreyServers && p.rng.Float64() < p.load.GreyFailureRate:
		h.finishAttempt(r, server, fleet.Failed, arrivedAt)
	case server.running < placingSlots:
		p.start(server, r, func() { h.finishAttempt(r, server, fleet.Answered, arrivedAt) })
	case len(server.queue) < placingQueueLimit:
		server.queue = append(server.queue, func() {
			if p.clock.now-r.arrived > r.kind.deadline {
				h.finishAttempt(r, server, fleet.Shed, arrivedAt)
				return
			}
			p.start(server, r, func() { h.finishAttempt(r, server, fleet.Answered, arrivedAt) })
		})
	default:
		h.finishAttempt(r, server, fleet.Shed, arrivedAt)
	}
}

// start runs a request in a free slot, and afterwards starts requests from the queue.
func (p *placingRun) start(server *placingServer, r *placingRequest, done func()) {
	server.running++
	serviceTime := float64(r.work) * server.slowdown / server.speed
	if p.faulty() && server.index < p.load.SlowServers {
		serviceTime *= p.load.SlowFactor
	}
	p.clock.schedule(time.Duration(serviceTime), func() {
		server.running--
		done()
		for server.running < placingSlots && len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			next()
		}
	})
}

// finishAttempt handles the end of an attempt: it counts the request, or starts another attempt if the last one failed or
// was shed in time.
func (h *placingHost) finishAttempt(r *placingRequest, server *placingServer, ending fleet.Ending, arrivedAt time.Duration) {
	p := h.run
	h.inFlight[server.index]--
	if h.policy == PolicyFleet {
		h.reportToFleet(r, server, ending, arrivedAt)
	}
	latency := p.clock.now - r.arrived
	switch {
	case ending == fleet.Answered && latency <= r.kind.goal:
		p.result.GoalMet++
		p.earned += r.kind.worth
	case ending == fleet.Answered && latency <= r.kind.deadline:
		p.result.Late++
		p.earned += r.kind.lateWorth
	case ending == fleet.Answered || latency > r.kind.deadline:
		p.result.Failed++
	case ending == fleet.Failed && r.attempts == placingMaxAttempts:
		p.result.Failed++
	default:
		h.attempt(r)
	}
}

// reportToFleet reports the end of an attempt to the fleet, with the figures that a real host has: the server's load
// report with each answer, and the time at the server divided by the mean work of the request's kind.
func (h *placingHost) reportToFleet(r *placingRequest, server *placingServer, ending fleet.Ending, arrivedAt time.Duration) {
	now := h.run.clock.now
	state, _ := h.fleet.Server(placingID(server.index))
	if ending == fleet.Answered {
		state.Report(fleet.LoadReport{Running: server.running, Waiting: len(server.queue)}, now)
	}
	state.End(ending, float64(now-arrivedAt)/float64(r.kind.work), now)
}

// PrintPlacing writes the results as a table.
func PrintPlacing(w io.Writer, results []PlacingResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "load\tpolicy\tworth\tgoal met\tlate\trefused\tfailed")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%d\t%d\t%d\t%d\n", r.Load, r.Policy, r.Worth, r.GoalMet, r.Late, r.Rejected, r.Failed)
	}
	return table.Flush()
}

// ComparePlacing runs all loads under all policies with the given number of seeds. The counts are sums over the seeds,
// Worth is the mean.
func ComparePlacing(runs int) []PlacingResult {
	var results []PlacingResult
	for _, load := range PlacingLoads {
		for _, policy := range PlacingPolicies {
			sum := PlacingResult{Load: load.Name, Policy: policy}
			for seed := range uint64(runs) {
				r := RunPlacing(load, policy, seed)
				sum.GoalMet += r.GoalMet
				sum.Late += r.Late
				sum.Rejected += r.Rejected
				sum.Failed += r.Failed
				sum.Worth += r.Worth / float64(runs)
			}
			results = append(results, sum)
		}
	}
	return results
}
