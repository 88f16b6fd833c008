// Package load sends a seeded, open-loop load to hosts and records what became
// of every request.
//
// Requests start at times drawn before the run, whatever the answers do, and
// latency counts from the intended start, so that a slow answer does not hide
// the requests that waited behind it. A run is bounded in count, time and
// concurrency, and goes to loopback addresses only.
package load

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a run.
const (
	MaxRate        = 50_000
	MaxRequests    = 1_000_000
	MaxConcurrency = 4096
	MaxDuration    = 10 * time.Minute
	MaxBodyBytes   = 1 << 20
	MaxRepeats     = 5
)

// Distribution names how keys are drawn.
type Distribution string

// Distributions of keys.
const (
	Uniform Distribution = "uniform"
	Zipf    Distribution = "zipf"
)

// Config describes a run.
type Config struct {
	// Targets are the addresses, IP and port, that take the requests in turn.
	Targets []string
	// Direct says that the targets are backend servers and not hosts.
	Direct  bool
	Service string

	Seed uint64
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// Requests bounds the count of requests; zero leaves only the duration.
	Requests    int
	Concurrency int
	Timeout     time.Duration

	Keys         int
	Distribution Distribution
	// ZipfExponent is above 1; larger values make few keys hotter.
	ZipfExponent float64
	// HotShare is the share of requests that go to a hot set of HotKeys keys.
	// Every HotMoves another set turns hot.
	HotShare float64
	HotKeys  int
	HotMoves time.Duration

	// WriteShare is the share of POST requests; the others are GET.
	WriteShare float64
	// BodyBytes is the length of a POST request's body, at least 1.
	BodyBytes int
	// Repeats is how often a request with an unknown outcome is sent again,
	// each time to the next target.
	Repeats int
}

// DefaultConfig returns a run of ten seconds at 200 requests a second.
func DefaultConfig() Config {
	return Config{
		Seed:         1,
		Rate:         200,
		Duration:     10 * time.Second,
		Concurrency:  256,
		Timeout:      5 * time.Second,
		Keys:         1000,
		Distribution: Uniform,
		ZipfExponent: 1.1,
		HotKeys:      1,
		HotMoves:     2 * time.Second,
		WriteShare:   0.2,
		BodyBytes:    256,
	}
}

// Check returns the first fault of the configuration.
func (c Config) Check() error {
	if len(c.Targets) == 0 {
		return errors.New("load: no targets")
	}
	for _, target := range c.Targets {
		if err := checkLoopback(target); err != nil {
			return err
		}
	}
	if c.Service == "" {
		return errors.New("load: no service")
	}
	checks := []struct {
		holds bool
		fault string
	}{
		{c.Rate > 0 && c.Rate <= MaxRate, "rate must be above 0 and at most 50000 requests per second"},
		{c.Duration > 0 && c.Duration <= MaxDuration, "duration must be above 0 and at most 10m"},
		{c.Requests >= 0 && c.Requests <= MaxRequests, "requests must be 0 to 1000000"},
		{c.Concurrency > 0 && c.Concurrency <= MaxConcurrency, "concurrency must be 1 to 4096"},
		{c.Timeout > 0 && c.Timeout <= MaxDuration, "timeout must be above 0 and at most 10m"},
		{c.Keys > 0, "keys must be at least 1"},
		{c.Distribution == Uniform || c.Distribution == Zipf, "distribution must be uniform or zipf"},
		{c.Distribution != Zipf || c.ZipfExponent > 1, "zipf exponent must be above 1"},
		{isShare(c.HotShare), "hot share must be 0 to 1"},
		{c.HotShare == 0 || (c.HotKeys > 0 && c.HotMoves > 0), "a hot set needs keys and a time after which it moves"},
		{isShare(c.WriteShare), "write share must be 0 to 1"},
		{c.BodyBytes > 0 && c.BodyBytes <= MaxBodyBytes, "body must be 1 to 1048576 bytes"},
		{c.Repeats >= 0 && c.Repeats <= MaxRepeats, "repeats must be 0 to 5"},
	}
	for _, check := range checks {
		if !check.holds {
			return errors.Newf("load: %s", check.fault)
		}
	}
	return nil
}

func isShare(x float64) bool {
	return x >= 0 && x <= 1
}

func checkLoopback(target string) error {
	addr, err := netip.ParseAddrPort(target)
	if err != nil {
		return errors.Wrapf(err, "load: target %q is not IP:port", target)
	}
	if !addr.Addr().IsLoopback() {
		return errors.Newf("load: target %q is not a loopback address", target)
	}
	return nil
}
