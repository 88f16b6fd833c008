package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/balance"
)

func testConfig(fault Fault) Config {
	config := DefaultConfig()
	config.Site = Sites()[1]
	config.Fault = fault
	config.Duration = 30 * time.Second
	config.Warmup = 5 * time.Second
	config.FaultAt = 5 * time.Second
	return config
}

func mustRun(t *testing.T, config Config) Result {
	result, err := Run(config)
	assert.NilError(t, err)
	return result
}

func TestRunIsDeterministic(t *testing.T) {
	for _, fault := range Faults() {
		config := testConfig(fault)
		assert.DeepEqual(t, mustRun(t, config), mustRun(t, config))
	}
}

// Checks that the random draws of arrivals do not depend on the policy.
func TestPoliciesGetTheSameArrivals(t *testing.T) {
	config := testConfig(FaultSlow)
	config.Policy = balance.Random
	want := mustRun(t, config).Requests
	for _, policy := range balance.Names() {
		config.Policy = policy
		assert.Equal(t, mustRun(t, config).Requests, want, string(policy))
	}
}

// Checks that the adaptive policy avoids slowed servers: the p99 latency at most
// doubles, and every request is served.
func TestSlowServersAtMostDoubleTailLatency(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		config := testConfig(FaultNone)
		config.Seed = seed
		healthy := mustRun(t, config)
		config.Fault = FaultSlow
		slowed := mustRun(t, config)
		assert.Assert(t, slowed.P99MS <= 2*healthy.P99MS, "seed %d: %v ms against %v ms", seed, slowed.P99MS, healthy.P99MS)
		assert.Equal(t, slowed.NotServed, 0.0)
	}
}

// A host detects a frozen server only by a request that hangs, and later probes
// it with others, so some requests fail at every host. Their number must stay
// bounded.
func TestFrozenServersFailFewRequestsPerHost(t *testing.T) {
	const maxFailedPerHostAndServer = 3
	for seed := uint64(1); seed <= 3; seed++ {
		config := testConfig(FaultFreeze)
		config.Seed = seed
		result := mustRun(t, config)
		frozen := config.Site.Servers / serversPerFault
		bound := maxFailedPerHostAndServer * config.Site.Hosts * frozen
		failed := result.NotServed * float64(result.Requests)
		assert.Assert(t, failed <= float64(bound), "seed %d: %v requests, bound %d", seed, failed, bound)
	}
}

// Checks that no server gets more requests than its capacity during a cold start.
func TestColdServersAreNotOverloaded(t *testing.T) {
	for _, fault := range []Fault{FaultCold, FaultCrash} {
		for seed := uint64(1); seed <= 3; seed++ {
			config := testConfig(fault)
			config.Seed = seed
			assert.Equal(t, mustRun(t, config).ColdOvershoot, 0.0, "%s seed %d", fault, seed)
		}
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	config := testConfig(FaultNone)
	config.Load = 2
	_, err := Run(config)
	assert.ErrorContains(t, err, "load must be")
	config = testConfig(FaultNone)
	config.Duration = config.Warmup
	_, err = Run(config)
	assert.ErrorContains(t, err, "duration must be")
}
