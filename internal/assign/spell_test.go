package assign

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// spell is a time in which few adjacent keys get a large part of the traffic, as the hot spells of large fleets do.
type spell struct {
	servers int
	// hotKeys adjacent keys get the share of the requests.
	hotKeys int
	share   float64
	// utilization is the mean load of the servers relative to what they take.
	utilization float64
	// ratePerServer is the mean number of requests per second for each server.
	ratePerServer float64
}

const (
	// roundsPerSpell is the number of rounds of moves in a spell of 5.5 s: one each rebalance interval of 0.6 s.
	roundsPerSpell = 9
	// slowReleases is the share of the releases that take more than one round, since long requests are running.
	slowReleases = 0.1
)

// replay replays the spell round by round and returns the part of the requests, in each round, that is beyond what their servers
// take, and the number of moves. A range that is moving serves nobody, so its requests count as well.
func (sp spell) replay(seed uint64) (beyond []float64, moves int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	snapshot := testSnapshot(testServers(sp.servers))
	assignments, _ := Reconcile(nil, snapshot, 1)
	total := int(sp.ratePerServer * float64(sp.servers))
	hot := int(float64(total) * sp.share)
	first := keyrange.Key(rng.IntN(keyrange.Count - sp.hotKeys))
	takes := sp.ratePerServer / sp.utilization
	for round := range roundsPerSpell {
		snapshot.Load = sampledLoad(rng, total-hot, hot, first, sp.hotKeys)
		beyond = append(beyond, unserved(assignments, snapshot.Load, takes))
		snapshot.Proofs = make(map[keyrange.Key]Proof)
		for _, a := range assignments {
			if a.Phase == Releasing && rng.Float64() >= slowReleases {
				snapshot.Proofs[a.First] = Proof{Fence: a.Fence, Handover: "h"}
			}
		}
		snapshot.Rebalance = true
		before := releasing(assignments)
		assignments, _ = Reconcile(assignments, snapshot, Fence(2*round+2))
		moves += max(0, releasing(assignments)-before)
	}
	return beyond, moves
}

// releasing returns the number of ranges that are being released.
func releasing(assignments []Assignment) int {
	n := 0
	for _, a := range assignments {
		if a.Phase == Releasing {
			n++
		}
	}
	return n
}

// unserved returns the part of the load that is on ranges without an owner, or beyond what its servers take.
func unserved(assignments []Assignment, load *keyrange.Load, takes float64) float64 {
	loads := make(map[string]float64)
	lost := 0.0
	for _, a := range assignments {
		if a.Phase == Held {
			loads[a.Server.ID] += load.Of(a.Range)
		} else {
			lost += load.Of(a.Range)
		}
	}
	for _, serverLoad := range loads {
		lost += max(0, serverLoad-takes)
	}
	return lost / load.Total()
}

// mean returns the mean of the replays of a spell with several seeds.
func (sp spell) mean(seeds int) (beyond []float64, total, moves float64) {
	beyond = make([]float64, roundsPerSpell)
	for seed := range seeds {
		rounds, n := sp.replay(uint64(seed))
		for i, part := range rounds {
			beyond[i] += part / float64(seeds)
			total += part / float64(seeds) / roundsPerSpell
		}
		moves += float64(n) / float64(seeds)
	}
	return beyond, total, moves
}

// TestHotKeysOfALargeFleetSpreadWithinTheSpell replays hot spells on fleets of several sizes. It guards against keys that leave
// a full server by halves, a few servers in a round, so that they are spread only when the spell is over. Moving them must
// save callers half of what would be lost if they stayed.
func TestHotKeysOfALargeFleetSpreadWithinTheSpell(t *testing.T) {
	for name, test := range map[string]spell{
		"20 servers":  {20, 60, 0.35, 0.55, 10},
		"64 servers":  {64, 100, 0.35, 0.55, 10},
		"328 servers": {328, 200, 0.35, 0.55, 5.4},
	} {
		t.Run(name, func(t *testing.T) {
			beyond, total, moves := test.mean(5)
			t.Logf("beyond what servers take, by round: %.2f; %.3f of all; %.0f moves", beyond, total, moves)
			assert.Assert(t, total <= beyond[0]/2, "%.3f of all requests, %.3f if no key moved", total, beyond[0])
		})
	}
}
