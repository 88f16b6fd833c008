package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// testServers returns servers of equal capacity.
func testServers(n int) []Candidate {
	var servers []Candidate
	for i := range n {
		servers = append(servers, Candidate{
			Server:   Server{ID: fmt.Sprintf("s%02d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "zlin", Born: 1},
			Capacity: 4,
		})
	}
	return servers
}

func testWorld(ready []Candidate) World {
	world := World{Ready: ready, Lives: make(map[string]Server), Proofs: make(map[keyrange.Key]Proof), Rebalance: true}
	for _, c := range ready {
		world.Lives[c.ID] = c.Server
	}
	return world
}

// settleAll lets all releases succeed at once.
func settleAll(assignments []Assignment, world *World) {
	for _, a := range assignments {
		if a.Phase == Releasing {
			world.Proofs[a.First] = Proof{Fence: a.Fence, Handover: "h"}
		}
	}
}

// sampledLoad draws the requests of a second: some over all keys, some on a few adjacent ones.
func sampledLoad(rng *rand.Rand, all, hot int, first keyrange.Key, keys int) *keyrange.Load {
	rates := make(map[keyrange.Key]keyrange.CentiRate)
	for range all {
		rates[keyrange.Key(rng.IntN(keyrange.Count))] += 100
	}
	for range hot {
		rates[first+keyrange.Key(rng.IntN(keys))] += 100
	}
	return keyrange.NewLoad([]map[keyrange.Key]keyrange.CentiRate{rates})
}

// worstShare returns the load of the busiest server in relation to its fair share.
func worstShare(assignments []Assignment, load *keyrange.Load, servers int) float64 {
	loads := make(map[string]float64)
	for _, a := range assignments {
		loads[a.Server.ID] += load.Of(a.Range)
	}
	worst := 0.0
	for _, l := range loads {
		worst = max(worst, l)
	}
	return worst / (load.Total() / float64(servers))
}

// TestHotKeysAreSpread replays a hot spell of Moravia: of some 190 requests a second for 22
// servers, 86 more go to a few adjacent keys. The spell is spread in a few steps and few moves.
func TestHotKeysAreSpread(t *testing.T) {
	for _, keys := range []int{60, 200} {
		t.Run(fmt.Sprint(keys), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			world := testWorld(testServers(22))
			assignments, _ := Step(nil, world, 1)
			fence, moves := Fence(1), 0
			for range 3 {
				world.Load = sampledLoad(rng, 190, 86, 53371, keys)
				for range 2 {
					fence++
					assignments, _ = Step(assignments, world, fence)
					for _, a := range assignments {
						if a.Phase == Releasing && a.Fence == fence {
							moves++
						}
					}
					settleAll(assignments, &world)
				}
			}
			truth := sampledLoad(rng, 190*50, 86*50, 53371, keys)
			share := worstShare(assignments, truth, 22)
			t.Logf("%d keys: worst share %.2f after %d moves, %d ranges", keys, share, moves, len(assignments))
			assert.Assert(t, share < 2.2, "worst share %.2f", share)
			assert.Assert(t, moves <= 30, "%d moves", moves)
			assert.Assert(t, covers(assignments))
		})
	}
}

// TestCalmLoadMovesNothing states that chance alone moves no keys.
func TestCalmLoadMovesNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	world := testWorld(testServers(22))
	assignments, _ := Step(nil, world, 1)
	moves := 0
	for fence := Fence(2); fence < 42; fence++ {
		world.Load = sampledLoad(rng, 290, 0, 0, 1)
		next, changed := Step(assignments, world, fence)
		if changed {
			moves++
		}
		assignments = next
		settleAll(assignments, &world)
	}
	assert.Assert(t, moves <= 4, "%d changes in 40 looks", moves)
}

// TestKeysBesideAHotOneAreMoved states that a server whose load is one key keeps that one and
// gives the others away, in one piece and not key by key.
func TestKeysBesideAHotOneAreMoved(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	world := testWorld(testServers(4))
	assignments, _ := Step(nil, world, 1)
	moves := 0
	for fence := Fence(2); fence < 12; fence++ {
		world.Load = sampledLoad(rng, 60, 60, 53371, 1)
		assignments, _ = Step(assignments, world, fence)
		for _, a := range assignments {
			if a.Phase == Releasing && a.Fence == fence {
				moves++
				assert.Assert(t, a.Width() > 1 || a.Contains(53371), "a key without load is moved: %v", a.Range)
			}
		}
		settleAll(assignments, &world)
	}
	hot := Plan{Services: map[string][]Assignment{"s": assignments}}
	holder, _ := hot.Lookup("s", 53371)
	width := 0
	for _, a := range assignments {
		if a.Server.ID == holder.Server.ID {
			width += a.Width()
		}
	}
	assert.Assert(t, width < keyrange.Count/10, "the holder of the hot key keeps %d keys", width)
	assert.Assert(t, moves <= 6, "%d moves", moves)
}
