package experiment

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/balance"
)

// Fault names what goes wrong in a run.
type Fault string

// Faults.
const (
	// FaultNone lets every server work as it should.
	FaultNone Fault = "none"
	// FaultSlow slows one server in five by slowFactor from FaultAt to the end.
	FaultSlow Fault = "slow"
	// FaultMoving slows one server in five; every slowMoves other servers.
	FaultMoving Fault = "moving"
	// FaultCold restarts one server in five at FaultAt with a cold start.
	FaultCold Fault = "cold"
	// FaultCrash stops one server in five at FaultAt; each returns cold after crashTime.
	FaultCrash Fault = "crash"
	// FaultFreeze freezes one server in five at FaultAt for freezeTime; then each goes on.
	FaultFreeze Fault = "freeze"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{FaultNone, FaultSlow, FaultMoving, FaultCold, FaultCrash, FaultFreeze}
}

// Site is the size of a service at one of the users.
type Site struct {
	Name    string
	Zones   []string
	Servers int
	Slots   int
	Hosts   int
	// ZoneLatency is the time one way between zones.
	ZoneLatency time.Duration
	// Service is the mean service time.
	Service time.Duration
}

// Sites lists the users' services that are not divided by key.
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
	// OneWarms says that one host alone sends to a server in cold start. Only the adaptive policy heeds it.
	OneWarms bool
	Fault    Fault
	Seed     uint64
	// Load is the share of all slots that the requests need.
	Load     float64
	Duration time.Duration
	// Warmup is the time before which arrivals are not counted.
	Warmup time.Duration
	// FaultAt is when the fault begins.
	FaultAt time.Duration
}

// Parts of the model that all runs share.
const (
	localLatency   = 100 * time.Microsecond
	reportInterval = 500 * time.Millisecond
	reportDelay    = time.Second
	deadline       = 2 * time.Second
	maxTries       = 3
	queueLimit     = 64
	slowFactor     = 10
	slowMoves      = 10 * time.Second
	coldStart      = 5 * time.Second
	coldFactor     = 4
	crashTime      = 3 * time.Second
	freezeTime     = 20 * time.Second
	faultyShare    = 5
	// coldCapacity is the share of its slots that a server bears at the start of a cold start.
	coldCapacity = 0.25
)

// DefaultConfig returns a run of a minute at half load.
func DefaultConfig() Config {
	return Config{
		Policy:   balance.Adaptive,
		OneWarms: true,
		Fault:    FaultNone,
		Seed:     1,
		Load:     0.5,
		Duration: time.Minute,
		Warmup:   10 * time.Second,
		FaultAt:  10 * time.Second,
	}
}

// Check returns the first fault of the configuration.
func (c Config) Check() error {
	switch {
	case c.Load <= 0 || c.Load > 1:
		return errors.New("experiment: load must be above 0 and at most 1")
	case c.Duration <= c.Warmup || c.Duration > 10*time.Minute:
		return errors.Newf("experiment: duration must be above %s and at most 10m", c.Warmup)
	}
	return nil
}
