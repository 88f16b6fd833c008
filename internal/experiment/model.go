package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarcroft/poplarcroft/internal/balance"
)

const (
	histogramMaxUS  = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
	// hostsStream is the first random stream of the hosts; the lower ones are the model's.
	hostsStream = 100
	// arrivalStream, demandStream and faultStream are the model's random streams.
	arrivalStream = 1
	demandStream  = 2
	faultStream   = 3
)

// modelHost is one host with its own policy.
type modelHost struct {
	zone   string
	policy balance.Policy
}

// model is one run.
type model struct {
	clock
	config  Config
	hosts   []*modelHost
	servers map[string]*modelServer
	targets []balance.Target

	arrivals, demands, faults *rand.Rand

	latency *hdrhistogram.Histogram
	// started and tries count all requests and tries, counted and lost those
	// that arrived after the warm-up.
	started, tries, counted, lost int
}

// request is one arrival on its way through a host.
type request struct {
	host    *modelHost
	arrived time.Duration
	demand  time.Duration
	tried   []string
}

func newModel(config Config) (*model, error) {
	m := &model{
		config:   config,
		servers:  map[string]*modelServer{},
		arrivals: rand.New(rand.NewPCG(config.Seed, arrivalStream)),
		demands:  rand.New(rand.NewPCG(config.Seed, demandStream)),
		faults:   rand.New(rand.NewPCG(config.Seed, faultStream)),
		latency:  hdrhistogram.New(1, histogramMaxUS, histogramDigits),
	}
	site := config.Site
	for i := range site.Servers {
		addr := fmt.Sprintf("server-%d", i)
		zone := site.Zones[i%len(site.Zones)]
		m.targets = append(m.targets, balance.Target{Addr: addr, Zone: zone, Slots: site.Slots})
		m.servers[addr] = &modelServer{clock: &m.clock, slots: site.Slots, slow: 1}
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
		if config.OneWarms {
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

// Run runs the model once.
func Run(config Config) (Result, error) {
	if err := config.Check(); err != nil {
		return Result{}, err
	}
	m, err := newModel(config)
	if err != nil {
		return Result{}, err
	}
	m.planArrival()
	for _, target := range m.targets {
		m.planReport(target)
	}
	m.planFault()
	// Requests that arrived before the end finish or time out.
	m.run(config.Duration + deadline + time.Second)
	return m.result(), nil
}

// planArrival plans the next arrival. All random draws of a request happen
// here, so that the policies do not change them.
func (m *model) planArrival() {
	site := m.config.Site
	rate := m.config.Load * float64(site.Servers*site.Slots) / site.Service.Seconds()
	gap := seconds(m.arrivals.ExpFloat64() / rate)
	host := m.hosts[m.arrivals.IntN(len(m.hosts))]
	demand := seconds(m.demands.ExpFloat64() * site.Service.Seconds())
	m.after(gap, func() {
		if m.now >= m.config.Duration {
			return
		}
		m.planArrival()
		m.started++
		m.try(&request{host: host, arrived: m.now, demand: demand})
	})
}

// try sends the request to the target that its host's policy picks.
func (m *model) try(r *request) {
	policy := r.host.policy
	addr, ok := policy.Pick(m.now, r.tried...)
	if !ok {
		m.finish(r, false)
		return
	}
	m.tries++
	r.tried = append(r.tried, addr)
	policy.Started(addr, m.now)
	sent := m.now
	travel := m.travel(r.host, addr)
	over := false
	answer := func(result balance.Result) {
		if over {
			return
		}
		over = true
		policy.Finished(addr, m.now, m.now-sent, result)
		m.answered(r, result)
	}
	m.after(travel, func() {
		m.servers[addr].take(&job{demand: r.demand, done: func(result balance.Result) {
			m.after(travel, func() { answer(result) })
		}})
	})
	m.after(r.arrived+deadline-m.now, func() { answer(balance.Cancelled) })
}

// answered ends the request, or tries it again elsewhere where time is left.
func (m *model) answered(r *request, result balance.Result) {
	switch {
	case result == balance.Success:
		m.finish(r, true)
	case result == balance.Cancelled || len(r.tried) >= maxTries:
		m.finish(r, false)
	default:
		m.try(r)
	}
}

// finish counts a request. One that was not served counts as if it had taken
// its whole deadline, so that refusing does not look like speed.
func (m *model) finish(r *request, served bool) {
	if r.arrived < m.config.Warmup {
		return
	}
	m.counted++
	latency := m.now - r.arrived
	if !served {
		m.lost++
		latency = deadline
	}
	us := min(latency.Microseconds(), histogramMaxUS)
	// The value is within the range, so the histogram takes it.
	_ = m.latency.RecordValue(us)
}

// travel is the time one way between the host and the target.
func (m *model) travel(host *modelHost, addr string) time.Duration {
	for _, target := range m.targets {
		if target.Addr == addr && target.Zone != host.zone {
			return m.config.Site.ZoneLatency
		}
	}
	return localLatency
}

// planReport sends the target's load report to every host, late, again and again.
func (m *model) planReport(target balance.Target) {
	report := m.servers[target.Addr].report()
	m.after(reportDelay, func() {
		for _, host := range m.hosts {
			host.policy.Report(target.Addr, m.now, report)
		}
	})
	m.after(reportInterval, func() { m.planReport(target) })
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
