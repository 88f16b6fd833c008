package experiment

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// replays is the number of seeds of a replay; chance is what they leave of it in a mean.
const (
	replays = 8
	chance  = 0.005
)

// TestQueueIsWorthMoreThanTheOrderOfArrival replays the loads at which requests wait: burst, hot range, slow server.
func TestQueueIsWorthMoreThanTheOrderOfArrival(t *testing.T) {
	results := CompareWaiting(5 * replays)
	for i := 0; i < len(results); i += len(WaitingPolicies) {
		queue, inOrder := results[i], results[i+1]
		t.Run(queue.Load, func(t *testing.T) {
			assert.Assert(t, queue.Worth >= inOrder.Worth-chance, "%v, in order %v", queue, inOrder)
			if queue.Load != WaitingLoads[0].Name {
				assert.Assert(t, queue.Worth > inOrder.Worth+chance, "%v, in order %v", queue, inOrder)
				assert.Assert(t, queue.HeldInVain < inOrder.HeldInVain, "%v, in order %v", queue, inOrder)
			}
			// The more urgent kind is never served worse than the less urgent one.
			assert.Assert(t, queue.Served["booking"] >= queue.Served["lookup"]-chance, "%v", queue)
		})
	}
}

// TestFleetIsWorthMoreThanPlainChoices replays the loads at which servers differ: slow, grey and noisy ones, and bursts.
func TestFleetIsWorthMoreThanPlainChoices(t *testing.T) {
	results := ComparePlacing(replays / 2)
	for i := 0; i < len(results); i += len(PlacingPolicies) {
		own := results[i]
		t.Run(own.Load, func(t *testing.T) {
			for _, other := range results[i+1 : i+len(PlacingPolicies)] {
				assert.Assert(t, own.Worth >= other.Worth-chance, "%+v, %+v", own, other)
			}
		})
	}
}

func TestReplaysAreTheSameEachTime(t *testing.T) {
	load := PlacingLoads[len(PlacingLoads)-1]
	assert.DeepEqual(t, RunPlacing(load, PolicyFleet, 3), RunPlacing(load, PolicyFleet, 3))
	assert.DeepEqual(t, RunWaiting(WaitingLoads[1], WaitingQueue, 3), RunWaiting(WaitingLoads[1], WaitingQueue, 3))
}

func TestTablesNameAllLoads(t *testing.T) {
	var text strings.Builder
	assert.NilError(t, PrintPlacing(&text, ComparePlacing(1)))
	assert.NilError(t, PrintWaiting(&text, CompareWaiting(1)))
	for _, load := range PlacingLoads {
		assert.Assert(t, strings.Contains(text.String(), load.Name))
	}
	for _, load := range WaitingLoads {
		assert.Assert(t, strings.Contains(text.String(), load.Name))
	}
}
