package experiment

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestHotRunIsDeterministic(t *testing.T) {
	for _, strategy := range Strategies() {
		config := DefaultHotConfig()
		config.Strategy = strategy
		assert.DeepEqual(t, RunHot(config), RunHot(config))
	}
}

// Checks that moving hot slices lowers the imbalance below that of consistent
// hashing with few more moves than needed when servers change.
func TestMovedSlicesBalanceBetterThanConsistentHashing(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		config := DefaultHotConfig()
		config.Seed = seed
		config.Strategy = ConsistentHashing
		baseline := RunHot(config)
		config.Strategy = MovedSlices
		moved := RunHot(config)
		assert.Equal(t, moved.Floor, baseline.Floor)
		assert.Assert(t, moved.SettledImbalance < baseline.SettledImbalance, "seed %d: %v against %v", seed, moved.SettledImbalance, baseline.SettledImbalance)
		assert.Assert(t, moved.LeaveChurn <= 1.1 && moved.JoinChurn <= 1.1)
	}
}

func TestInvalidHotConfigIsRejected(t *testing.T) {
	config := DefaultHotConfig()
	assert.NilError(t, config.Check())
	config.Slices = config.Servers
	assert.ErrorContains(t, config.Check(), "slices must be")
}
