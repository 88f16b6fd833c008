package experiment

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/balance"
)

// Fault names the fault that is injected into a run.
type Fault string

// Faults.
const (
	// FaultNone injects no fault.
	FaultNone Fault = "none"
	// FaultSlow slows one server in five by slowFactor from FaultAt to the end.
	FaultSlow Fault = "slow"
	// FaultMoving slows one server in five from FaultAt on, and others after every slowInterval.
	FaultMoving Fault = "moving"
	// FaultCold restarts one server in five at FaultAt; each then goes through a cold start.
	FaultCold Fault = "cold"
	// FaultCrash stops one server in five at FaultAt; each restarts after crashDuration, with a cold start.
	FaultCrash Fault = "crash"
	// FaultFreeze freezes one server in five at FaultAt for freezeDuration; then each resumes its work.
	FaultFreeze Fault = "freeze"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{FaultNone, FaultSlow, FaultMoving, FaultCold, FaultCrash, FaultFreeze}
}

// Site is the size of one service of a user of the router.
type Site struct {
	Name    string
	Zones   []string
	Servers int
	// Slots is the number of requests that each server runs at a time.
	Slots int
	Hosts int
	// ZoneLatency is the one-way latency between zones.
	ZoneLatency time.Duration
	// Service is the mean service time.
	Service time.Duration
}

// Sites lists the users' services without keys, for which any server may take a request.
func Sites() []Site {
	return []Site{
		{
			Name:        "archiv",
			Zones:       []string{"brno-sever", "brno-jih", "olomouc", "zlin"},
			Servers:     15,
			Slots:       4,
			Hosts:       12,
			ZoneLatency: time.Millisecond,
			Service:     20 * time.Millisecond,
		},
		{
			Name:        "fairguide",
			Zones:       []string{"riga-a", "riga-b", "riga-c"},
			Servers:     10,
			Slots:       2,
			Hosts:       9,
			ZoneLatency: 500 * time.Microsecond,
			Service:     10 * time.Millisecond,
		},
	}
}

// Config describes one run of the queueing model.
type Config struct {
	Site   Site
	Policy balance.Name
	// SingleWarmingHost lets only one host send to a server in cold start. Only
	// the adaptive policy observes it.
	SingleWarmingHost bool
	Fault             Fault
	Seed              uint64
	// Load is the mean utilization of all slots, above 0 and at most 1.
	Load float64
	// Duration is the time in which requests arrive.
	Duration time.Duration
	// Warmup is the time at the start whose arrivals are not counted.
	Warmup time.Duration
	// FaultAt is when the fault begins.
	FaultAt time.Duration
}

// Parameters of the model that all runs share.
const (
	// localLatency is the one-way latency within a zone.
	localLatency = 100 * time.Microsecond
	// reportInterval is the time between two load reports of a server, and
	// reportDelay the time until a report reaches the hosts.
	reportInterval = 500 * time.Millisecond
	reportDelay    = time.Second
	// deadline is the time after which the caller of a request gives up.
	deadline    = 2 * time.Second
	maxAttempts = 3
	// queueLimit is the length of a server's queue.
	queueLimit = 64
	// slowFactor multiplies the service times of a slowed server.
	slowFactor   = 10
	slowInterval = 10 * time.Second
	coldStart    = 5 * time.Second
	// coldFactor multiplies the service time of an attempt that exceeds a cold
	// server's capacity.
	coldFactor     = 4
	crashDuration  = 3 * time.Second
	freezeDuration = 20 * time.Second
	// serversPerFault is the number of servers of which one gets the fault.
	serversPerFault = 5
	// coldCapacity is the share of its slots that a server can use without
	// slowing down at the beginning of a cold start.
	coldCapacity = 0.25
)

// DefaultConfig returns a run of one minute at half load, without a site.
func DefaultConfig() Config {
	return Config{
		Policy:            balance.Adaptive,
		SingleWarmingHost: true,
		Fault:             FaultNone,
		Seed:              1,
		Load:              0.5,
		Duration:          time.Minute,
		Warmup:            10 * time.Second,
		FaultAt:           10 * time.Second,
	}
}

// Check returns an error for the first invalid value of the configuration.
func (c Config) Check() error {
	switch {
	case c.Load <= 0 || c.Load > 1:
		return errors.New("experiment: load must be above 0 and at most 1")
	case c.Duration <= c.Warmup || c.Duration > 10*time.Minute:
		return errors.Newf("experiment: duration must be above %s and at most 10m", c.Warmup)
	}
	return nil
}
