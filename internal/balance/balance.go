// Package balance chooses a target for requests of services that are not
// divided by key.
//
// Policies are pure decisions: the caller passes the time, and the random
// source is given when a policy is made. A policy belongs to one goroutine. It
// knows only what its own host sent, so every host balances by its own
// observations. Of a load report it uses the incarnation and the draining
// mark; the load in it is too old when it arrives.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

// Target is an address at which a backend server takes requests.
type Target struct {
	Addr string
	Zone string
	// Slots is the number of requests that the server executes at a time; at least 1.
	Slots int
}

// Result is what a try on a target came to, as far as balancing is concerned.
type Result int

const (
	// Success means that the target answered.
	Success Result = iota
	// Refused means that the target refused the request because it was busy or draining.
	Refused
	// Failure means that the target could not be reached, timed out or broke off.
	Failure
	// Cancelled means that the host gave the try up; its latency is only a lower bound.
	Cancelled
)

// Policy chooses targets. Times are readings of one monotonic clock and never
// decrease from call to call.
type Policy interface {
	// Pick returns the target for the next try. It never returns an excluded
	// one, and false where no other target is left, or none but targets in cold
	// start that take no more.
	Pick(now time.Duration, exclude ...string) (addr string, ok bool)
	// Started notes that a try was sent to the target.
	Started(addr string, now time.Duration)
	// Finished notes the end of a try that took latency.
	Finished(addr string, now, latency time.Duration, result Result)
	// Report notes a load report that arrived at now.
	Report(addr string, now time.Duration, report backend.LoadReport)
	// Restarted notes that the target is a new incarnation in cold start.
	Restarted(addr string, now time.Duration)
	// SetTargets replaces the targets. What is known of those that stay is kept.
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

// Names lists all policies, baselines first.
func Names() []Name {
	return []Name{Random, RoundRobin, LeastInFlight, TwoChoices, PeakEWMA, Adaptive}
}

// DefaultColdStart is how long a restarted target takes to reach its full share
// where Options set none.
const DefaultColdStart = 5 * time.Second

// Options are what a policy needs besides its targets.
type Options struct {
	// Zone is the host's own availability zone.
	Zone string
	// Rand is the policy's random source.
	Rand *rand.Rand
	// ColdStart is how long a restarted target takes to reach its full share.
	ColdStart time.Duration
	// ColdStartSlots is the number of slots of a target that has just restarted; at least 1.
	ColdStartSlots int
	// MayWarm says whether this host sends to the target while that is in cold
	// start. It is asked at every pick; see WarmingHost. Without it every host
	// sends its share, and together they may send more than the target bears.
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
