// Package balance chooses the backend server for a request of a service that is not
// divided by key.
//
// Package route creates one Policy per service and reports every attempt to it. Policies
// read no clock: the caller passes the time, and the random source at creation. They are
// not safe for concurrent use.
//
// A policy knows only the attempts of its own host, so hosts balance independently. From
// a server's load report it uses only the incarnation and the draining flag, because the
// load in it is outdated when it arrives.
//
// Adaptive is the policy in use. It prefers the host's own zone, gives a server that has
// just started a growing share of the load, and ejects servers that are slow or fail
// (package outlier). The other policies are baselines to compare it with.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

// Target is a backend server that a request may be sent to.
type Target struct {
	Addr string
	Zone string
	// Slots is the number of requests that the server executes at a time. Values
	// below 1 count as 1.
	Slots int
}

// Result is how an attempt on a target ended.
type Result int

const (
	// Success means that the target answered.
	Success Result = iota
	// Rejected means that the target rejected the request because it was overloaded or draining.
	Rejected
	// Failure means that the target was unreachable, timed out or closed the connection.
	Failure
	// Cancelled means that the host abandoned the attempt; its latency is only a lower bound.
	Cancelled
)

// Policy chooses targets. Times are readings of one monotonic clock and never
// decrease from call to call.
type Policy interface {
	// Pick returns the target for the next attempt. It never returns an excluded
	// one. It returns false if no target is left, or only cold ones that may not
	// get more load from this host.
	Pick(now time.Duration, exclude ...string) (addr string, ok bool)
	// Started records that an attempt was sent to the target.
	Started(addr string, now time.Duration)
	// Finished records the end of an attempt that took latency.
	Finished(addr string, now, latency time.Duration, result Result)
	// Report records a load report that arrived at now.
	Report(addr string, now time.Duration, report backend.LoadReport)
	// Restarted records that the target has a new incarnation, which begins a cold start.
	Restarted(addr string, now time.Duration)
	// SetTargets replaces the targets. The observations of those that stay are kept.
	SetTargets(now time.Duration, targets []Target)
}

// Name names a policy.
type Name string

// Names of the policies.
const (
	Random        Name = "random"
	RoundRobin    Name = "round-robin"
	LeastInFlight Name = "least-in-flight"
	TwoChoices    Name = "two-choices"
	PeakEWMA      Name = "peak-ewma"
	Adaptive      Name = "adaptive"
)

// Names returns all policies, baselines first.
func Names() []Name {
	return []Name{Random, RoundRobin, LeastInFlight, TwoChoices, PeakEWMA, Adaptive}
}

// DefaultColdStart is the default of Options.ColdStart.
const DefaultColdStart = 5 * time.Second

// Options holds what a policy needs besides its targets.
type Options struct {
	// Zone is the host's own availability zone.
	Zone string
	// Rand is the policy's random source.
	Rand *rand.Rand
	// ColdStart is how long a restarted target takes to reach its full share of the
	// load (slow start).
	ColdStart time.Duration
	// ColdStartSlots is the number of slots of a target that has just restarted; at least 1.
	ColdStartSlots int
	// MayWarm reports whether this host may send to the target during the target's
	// cold start; see WarmingHost. Its result is not cached, because the hosts may
	// change between picks. Without it every host sends its share, and together they
	// may overload the target.
	MayWarm func(addr string) bool
}

// ErrUnknownPolicy reports a policy name that is not in Names.
var ErrUnknownPolicy = errors.New("balance: unknown policy")

// New returns the named policy, without targets.
func New(name Name, options Options) (Policy, error) {
	if options.ColdStart <= 0 {
		options.ColdStart = DefaultColdStart
	}
	options.ColdStartSlots = max(options.ColdStartSlots, 1)
	targets := newTargetTable(options)
	switch name {
	case Random:
		return &randomPolicy{targets}, nil
	case RoundRobin:
		return &roundRobinPolicy{targetTable: targets}, nil
	case LeastInFlight:
		return &leastInFlightPolicy{targets}, nil
	case TwoChoices:
		return &twoChoicesPolicy{targets, inFlightScore}, nil
	case PeakEWMA:
		return &twoChoicesPolicy{targets, latencyScore}, nil
	case Adaptive:
		return newAdaptivePolicy(targets), nil
	}
	return nil, errors.Wrapf(ErrUnknownPolicy, "%q", name)
}
