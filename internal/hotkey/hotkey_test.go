package hotkey

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/poplarcroft/poplarcroft/internal/placement"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

func TestSketchBoundsCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		keys := rapid.SliceOf(rapid.IntRange(0, 20)).Draw(t, "keys")
		sketch := NewSketch(capacity)
		exact := map[string]int{}
		for _, key := range keys {
			sketch.Add(fmt.Sprint(key))
			exact[fmt.Sprint(key)]++
		}
		top := sketch.Top(capacity)
		assert.Assert(t, len(top) <= capacity)
		kept := map[string]bool{}
		for _, entry := range top {
			kept[entry.Key] = true
			count := float64(exact[entry.Key])
			assert.Assert(t, entry.Count >= count && entry.Count-entry.Error <= count)
		}
		for key, count := range exact {
			assert.Assert(t, kept[key] || count*capacity <= len(keys), "key %s was added %d times and is missing", key, count)
		}
	})
}

func TestSketchDecayForgetsOldKeys(t *testing.T) {
	sketch := NewSketch(2)
	for range 100 {
		sketch.Add("old")
	}
	sketch.Decay(0.01)
	sketch.Add("new")
	sketch.Add("new")
	assert.Equal(t, sketch.Top(1)[0].Key, "new")
}

func TestRatesFollowLoad(t *testing.T) {
	rates := NewRates(2)
	for second := 1; second <= 60; second++ {
		rates.Add(1, 100)
		rates.Add(7, 100)
		rates.Update(time.Duration(second) * time.Second)
	}
	last := rates.Update(time.Minute)
	assert.Equal(t, last[0], 0.0)
	assert.Assert(t, last[1] > 99 && last[1] <= 100)
}

// evenLoads returns slices with the given rates, assigned evenly to the servers.
func evenLoads(rates []float64, servers []placement.Server) []SliceLoad {
	owners := placement.Assign(len(rates), servers, nil)
	loads := make([]SliceLoad, len(rates))
	for slice, rate := range rates {
		loads[slice] = SliceLoad{Slice: slice, Owner: owners[slice], Rate: rate}
	}
	return loads
}

func ownersOf(loads []SliceLoad) []record.SessionID {
	owners := make([]record.SessionID, len(loads))
	for i, load := range loads {
		owners[i] = load.Owner
	}
	return owners
}

// largestLoad returns the largest load per weight.
func largestLoad(loads []SliceLoad, servers []placement.Server) float64 {
	serverLoads, _ := newServerLoads(loads, servers)
	return mostLoaded(serverLoads).loadPerWeight()
}

func TestPlanLowersLoadWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := make([]placement.Server, rapid.IntRange(1, 8).Draw(t, "servers"))
		for i := range servers {
			servers[i] = placement.Server{
				ID:     record.SessionID(i + 1),
				Zone:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")),
			}
		}
		rates := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 40).Draw(t, "rates")
		loads := evenLoads(rates, servers)
		fixed := rapid.IntRange(0, len(rates)-1).Draw(t, "fixed")
		loads[fixed].Fixed = true
		before := largestLoad(loads, servers)
		moves := Plan(loads, servers, Options{})
		assert.DeepEqual(t, moves, Plan(loads, servers, Options{}))
		assert.Assert(t, len(moves) <= Defaults().MaxMoves)
		for _, move := range moves {
			assert.Assert(t, move.Slice != fixed)
			assert.Equal(t, loads[move.Slice].Owner, move.From)
			loads[move.Slice].Owner = move.To
		}
		if len(moves) > 0 {
			assert.Assert(t, largestLoad(loads, servers) <= before)
		}
		owners := ownersOf(loads)
		assert.DeepEqual(t, placement.Assign(len(owners), servers, owners), owners)
	})
}

func TestPlanSpreadsHotSlices(t *testing.T) {
	servers := []placement.Server{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}
	rates := make([]float64, 32)
	for slice := range rates {
		rates[slice] = 1
	}
	loads := evenLoads(rates, servers)
	for slice := range loads {
		if loads[slice].Owner == 1 {
			loads[slice].Rate = 4
		}
	}
	before := largestLoad(loads, servers)
	moves := Plan(loads, servers, Options{MaxMoves: 16})
	for _, move := range moves {
		loads[move.Slice].Owner = move.To
	}
	after := largestLoad(loads, servers)
	assert.Equal(t, before, 32.0)
	assert.Assert(t, after <= 1.2*14, "largest load per weight: %v", after)
}

func TestPlanIsEmptyForEvenLoad(t *testing.T) {
	servers := []placement.Server{{ID: 1}, {ID: 2}, {ID: 3, Leaving: true}}
	loads := evenLoads([]float64{5, 4, 6, 5, 5, 5}, servers)
	assert.Equal(t, len(Plan(loads, servers, Options{})), 0)
	assert.Equal(t, len(Plan(loads, nil, Options{})), 0)
	assert.Equal(t, len(Plan(nil, servers, Options{})), 0)
}
