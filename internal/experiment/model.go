package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarcroft/poplarcroft/internal/balance"
)

const (
	// histogramMaxUS is the largest recorded latency, in microseconds.
	histogramMaxUS = int64(time.Minute / time.Microsecond)
	// histogramDigits is the number of significant digits of a recorded latency.
	histogramDigits = 3
	// hostsStream is the random stream of the first host; each host has its own.
	hostsStream = 100
	// arrivalStream, demandStream and faultStream are the random streams of the
	// model itself. They are separate, so that a policy or fault does not change
	// the arrivals and demands.
	arrivalStream = 1
	demandStream  = 2
	faultStream   = 3
)

// modelHost is one host. Its policy sees only its own attempts and the load reports.
type modelHost struct {
	zone   string
	policy balance.Policy
}

// model is the state of one run: hosts, servers, random streams and counters.
type model struct {
	clock
	config  Config
	hosts   []*modelHost
	servers map[string]*modelServer
	targets []balance.Target

	arrivalRand, demandRand, faultRand *rand.Rand

	latency *hdrhistogram.Histogram
	// started and attempts count all requests and their attempts. counted and
	// unserved count only requests that arrived after the warm-up: the finished
	// ones, and those of them that no server answered.
	started, attempts, counted, unserved int
}

// request is one request from its arrival at a host to its end.
type request struct {
	host    *modelHost
	arrived time.Duration
	// demand is the service time at a server that is not slowed.
	demand time.Duration
	// tried lists the servers of all attempts so far.
	tried []string
}

func newModel(config Config) (*model, error) {
	m := &model{
		config:      config,
		servers:     map[string]*modelServer{},
		arrivalRand: rand.New(rand.NewPCG(config.Seed, arrivalStream)),
		demandRand:  rand.New(rand.NewPCG(config.Seed, demandStream)),
		faultRand:   rand.New(rand.NewPCG(config.Seed, faultStream)),
		latency:     hdrhistogram.New(1, histogramMaxUS, histogramDigits),
	}
	site := config.Site
	for i := range site.Servers {
		addr := fmt.Sprintf("server-%d", i)
		zone := site.Zones[i%len(site.Zones)]
		m.targets = append(m.targets, balance.Target{Addr: addr, Zone: zone, Slots: site.Slots})
		m.servers[addr] = &modelServer{clock: &m.clock, slots: site.Slots, slowdown: 1}
	}
	names := make([]string, site.Hosts)
	for i := range names {
		names[i] = fmt.Sprintf("host-%d", i)
	}
	for i, name := range names {
		zone := site.Zones[i%len(site.Zones)]
		options := balance.Options{
			Zone:      zone,
			Rand:      rand.New(rand.NewPCG(config.Seed, hostsStream+uint64(i))),
			ColdStart: coldStart,
		}
		if config.SingleWarmingHost {
			options.MayWarm = func(addr string) bool { return balance.WarmingHost(addr, names) == name }
		}
		policy, err := balance.New(config.Policy, options)
		if err != nil {
			return nil, err
		}
		policy.SetTargets(0, m.targets)
		m.hosts = append(m.hosts, &modelHost{zone: zone, policy: policy})
	}
	return m, nil
}

// Run runs the queueing model once. It returns an error if the configuration is invalid.
func Run(config Config) (Result, error) {
	if err := config.Check(); err != nil {
		return Result{}, err
	}
	m, err := newModel(config)
	if err != nil {
		return Result{}, err
	}
	m.scheduleArrival()
	for _, target := range m.targets {
		m.scheduleReport(target)
	}
	m.scheduleFault()
	// The extra time lets requests that arrived before the end finish or time out.
	m.runUntil(config.Duration + deadline + time.Second)
	return m.result(), nil
}

// scheduleArrival schedules the next arrival. It makes all random draws of the
// request, so that they are the same for every policy.
func (m *model) scheduleArrival() {
	site := m.config.Site
	rate := m.config.Load * float64(site.Servers*site.Slots) / site.Service.Seconds()
	gap := seconds(m.arrivalRand.ExpFloat64() / rate)
	host := m.hosts[m.arrivalRand.IntN(len(m.hosts))]
	demand := seconds(m.demandRand.ExpFloat64() * site.Service.Seconds())
	m.schedule(gap, func() {
		if m.now >= m.config.Duration {
			return
		}
		m.scheduleArrival()
		m.started++
		m.attempt(&request{host: host, arrived: m.now, demand: demand})
	})
}

// attempt sends the request to the target that its host's policy picks, and
// schedules its timeout. A request for which the policy has no target fails.
func (m *model) attempt(r *request) {
	policy := r.host.policy
	addr, ok := policy.Pick(m.now, r.tried...)
	if !ok {
		m.finish(r, false)
		return
	}
	m.attempts++
	r.tried = append(r.tried, addr)
	policy.Started(addr, m.now)
	sent := m.now
	latency := m.oneWayLatency(r.host, addr)
	ended := false
	answer := func(result balance.Result) {
		if ended {
			return
		}
		ended = true
		policy.Finished(addr, m.now, m.now-sent, result)
		m.handleResult(r, result)
	}
	m.schedule(latency, func() {
		m.servers[addr].accept(&job{demand: r.demand, done: func(result balance.Result) {
			m.schedule(latency, func() { answer(result) })
		}})
	})
	m.schedule(r.arrived+deadline-m.now, func() { answer(balance.Cancelled) })
}

// handleResult finishes the request, or starts another attempt if the last one
// failed and attempts are left.
func (m *model) handleResult(r *request, result balance.Result) {
	switch {
	case result == balance.Success:
		m.finish(r, true)
	case result == balance.Cancelled || len(r.tried) >= maxAttempts:
		m.finish(r, false)
	default:
		m.attempt(r)
	}
}

// finish counts a request. A request that was not served counts with the latency
// of its deadline, so that a policy does not look faster by rejecting requests.
func (m *model) finish(r *request, served bool) {
	if r.arrived < m.config.Warmup {
		return
	}
	m.counted++
	latency := m.now - r.arrived
	if !served {
		m.unserved++
		latency = deadline
	}
	us := min(latency.Microseconds(), histogramMaxUS)
	// The value is within the range, so the histogram takes it.
	_ = m.latency.RecordValue(us)
}

// oneWayLatency returns the one-way network latency between the host and the target.
func (m *model) oneWayLatency(host *modelHost, addr string) time.Duration {
	for _, target := range m.targets {
		if target.Addr == addr && target.Zone != host.zone {
			return m.config.Site.ZoneLatency
		}
	}
	return localLatency
}

// scheduleReport takes the target's load report now, delivers it to every host
// after reportDelay, and schedules itself again after reportInterval.
func (m *model) scheduleReport(target balance.Target) {
	report := m.servers[target.Addr].report()
	m.schedule(reportDelay, func() {
		for _, host := range m.hosts {
			host.policy.Report(target.Addr, m.now, report)
		}
	})
	m.schedule(reportInterval, func() { m.scheduleReport(target) })
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
