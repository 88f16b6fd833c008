// Package load is an open-loop load generator. It sends requests to hosts, or
// directly to backend servers, records the outcome of every attempt ([Record])
// and summarizes the run ([Summary]). The command "poplarctl load" and the
// measurements in package capacity call it.
//
// The start times of the requests are drawn from the seed and do not depend on
// the answers. Latency counts from the intended start, so that a slow answer
// does not hide the delay of the requests that waited behind it (coordinated
// omission). If all workers are busy, requests start late; Summary.StartDelay
// shows this.
//
// A run is bounded in requests, time and concurrency, and only loopback
// addresses are accepted as targets.
package load

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Upper bounds of the values of Config. MaxRate is in requests per second.
const (
	MaxRate        = 50_000
	MaxRequests    = 1_000_000
	MaxConcurrency = 4096
	MaxDuration    = 10 * time.Minute
	MaxBodyBytes   = 1 << 20
	MaxRetries     = 5
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
	// Targets are the addresses (IP:port) to which the requests go round-robin.
	Targets []string
	// Direct is set if the targets are backend servers instead of hosts.
	Direct  bool
	Service string

	Seed uint64
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// Requests is the maximum number of requests, or zero if only Duration limits the run.
	Requests int
	// Concurrency is the maximum number of requests in flight.
	Concurrency int
	// Timeout is the timeout of each attempt, which is also sent to the target.
	Timeout time.Duration

	Keys         int
	Distribution Distribution
	// ZipfExponent is the exponent of the Zipf distribution, above 1. The larger it
	// is, the more requests go to the most frequent keys.
	ZipfExponent float64
	// HotShare is the share of requests that go to the hot set, which has HotKeys
	// keys. After every HotSetInterval another set of keys becomes hot.
	HotShare       float64
	HotKeys        int
	HotSetInterval time.Duration

	// WriteShare is the share of POST requests. The others are GET requests.
	WriteShare float64
	// BodyBytes is the length of the body of a POST request, at least 1.
	BodyBytes int
	// Retries is the maximum number of retries of a request whose outcome is
	// unknown. Each goes to the next target.
	Retries int
}

// DefaultConfig returns a run of ten seconds at 200 requests per second, without
// targets and service.
func DefaultConfig() Config {
	return Config{
		Seed:           1,
		Rate:           200,
		Duration:       10 * time.Second,
		Concurrency:    256,
		Timeout:        5 * time.Second,
		Keys:           1000,
		Distribution:   Uniform,
		ZipfExponent:   1.1,
		HotKeys:        1,
		HotSetInterval: 2 * time.Second,
		WriteShare:     0.2,
		BodyBytes:      256,
	}
}

// Check returns an error for the first invalid value of the configuration.
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
		valid   bool
		message string
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
		{c.HotShare == 0 || (c.HotKeys > 0 && c.HotSetInterval > 0), "a hot set needs at least 1 key and an interval above 0"},
		{isShare(c.WriteShare), "write share must be 0 to 1"},
		{c.BodyBytes > 0 && c.BodyBytes <= MaxBodyBytes, "body must be 1 to 1048576 bytes"},
		{c.Retries >= 0 && c.Retries <= MaxRetries, "repeats must be 0 to 5"},
	}
	for _, check := range checks {
		if !check.valid {
			return errors.Newf("load: %s", check.message)
		}
	}
	return nil
}

func isShare(x float64) bool {
	return x >= 0 && x <= 1
}

// checkLoopback returns an error if the target is not an IP:port on the loopback interface.
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
