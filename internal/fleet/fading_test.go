package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFadingTendsToRest(t *testing.T) {
	f := fading{value: 1, rest: 1, after: time.Second}
	f.sample(5, 0)
	assert.Equal(t, f.value, 1+4*sampleWeight)
	assert.Assert(t, f.now(10*time.Second) < 1.001)
}

// TestChoiceForgetsWhatSpeedRemembers states that a server on a busy machine is chosen again within a second, and that the
// leader still hears that it is slow.
func TestChoiceForgetsWhatSpeedRemembers(t *testing.T) {
	s := newServer(Entry{Slots: 4}, nil, 0)
	rested := s.cost(0)
	for range 8 {
		assert.Assert(t, s.Begin(Allowance{}, 0))
		s.End(Answered, 6, 0)
	}
	assert.Assert(t, s.cost(0) > 3*rested)
	assert.Assert(t, s.cost(2*time.Second) < 1.2*rested)
	assert.Assert(t, s.Slowness(2*time.Second) > 2)
}
