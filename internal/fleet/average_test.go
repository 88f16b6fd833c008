package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecayingAverageReturnsToItsRestingValue(t *testing.T) {
	a := decayingAverage{value: 1, resting: 1, timeConstant: time.Second}
	a.sample(5, 0)
	assert.Equal(t, a.value, 1+4*sampleWeight)
	assert.Assert(t, a.valueAt(10*time.Second) < 1.001)
}

// TestSelectionForgetsSlownessSoonerThanReports checks that two seconds after slow answers a
// server is chosen almost as before, while the slowness that is reported to the leader is still
// high.
func TestSelectionForgetsSlownessSoonerThanReports(t *testing.T) {
	s := newServer(Entry{Slots: 4}, nil, 0)
	restingCost := s.cost(0)
	for range 8 {
		assert.Equal(t, s.Begin(Allowance{}, SoleShare, 0), NotRefused)
		s.End(Answered, 6, 0)
	}
	assert.Assert(t, s.cost(0) > 3*restingCost)
	assert.Assert(t, s.cost(2*time.Second) < 1.2*restingCost)
	assert.Assert(t, s.Slowness(2*time.Second) > 2)
}
