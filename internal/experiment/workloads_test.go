package experiment

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// seedCount is the number of seeds over which the tests take means.
	seedCount = 8
	// tolerance is the random error that remains in such a mean of Worth or Served.
	tolerance = 0.005
)

// TestQueueBeatsFIFO checks that the router's queue yields more worth and less wasted waiting than a FIFO queue whenever
// requests have to wait (burst, hot range, slow server), and no less worth in calm times.
func TestQueueBeatsFIFO(t *testing.T) {
	results := CompareWaiting(5 * seedCount)
	for i := 0; i < len(results); i += len(WaitingPolicies) {
		queue, fifo := results[i], results[i+1]
		t.Run(queue.Load, func(t *testing.T) {
			assert.Assert(t, queue.Worth >= fifo.Worth-tolerance, "queue %v, fifo %v", queue, fifo)
			if queue.Load != WaitingLoads[0].Name {
				assert.Assert(t, queue.Worth > fifo.Worth+tolerance, "queue %v, fifo %v", queue, fifo)
				assert.Assert(t, queue.WastedWait < fifo.WastedWait, "queue %v, fifo %v", queue, fifo)
			}
			// "booking" is the more urgent kind.
			assert.Assert(t, queue.Served["booking"] >= queue.Served["lookup"]-tolerance, "%v", queue)
		})
	}
}

// TestFleetIsNoWorseThanBaselines checks that the router's choice of servers yields at least the worth of each baseline
// under every load: bursts, and servers that are slow, noisy or fail part of their requests.
func TestFleetIsNoWorseThanBaselines(t *testing.T) {
	results := ComparePlacing(seedCount / 2)
	for i := 0; i < len(results); i += len(PlacingPolicies) {
		fleet := results[i]
		t.Run(fleet.Load, func(t *testing.T) {
			for _, baseline := range results[i+1 : i+len(PlacingPolicies)] {
				assert.Assert(t, fleet.Worth >= baseline.Worth-tolerance, "fleet %+v, baseline %+v", fleet, baseline)
			}
		})
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	load := PlacingLoads[len(PlacingLoads)-1]
	assert.DeepEqual(t, RunPlacing(load, PolicyFleet, 3), RunPlacing(load, PolicyFleet, 3))
	assert.DeepEqual(t, RunWaiting(WaitingLoads[1], WaitingQueue, 3), RunWaiting(WaitingLoads[1], WaitingQueue, 3))
}

func TestTablesContainAllLoads(t *testing.T) {
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
