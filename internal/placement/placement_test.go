package placement

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// drawServers draws up to 20 servers in three zones, some of them leaving.
func drawServers(t *rapid.T, label string) []Server {
	ids := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 40), 0, 20, rapid.ID).Draw(t, label)
	servers := make([]Server, len(ids))
	for i, id := range ids {
		servers[i] = Server{
			ID:      record.SessionID(id),
			Zone:    rapid.SampledFrom([]string{"riga-a", "riga-b", "riga-c"}).Draw(t, "zone"),
			Weight:  float64(rapid.IntRange(0, 4).Draw(t, "weight")),
			Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		}
	}
	return servers
}

func TestAssignIsFairAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 128).Draw(t, "slices")
		before := Assign(count, drawServers(t, "before"), nil)
		servers := drawServers(t, "after")
		after := Assign(count, servers, before)

		shuffled := rapid.Permutation(servers).Draw(t, "shuffled")
		assert.DeepEqual(t, after, Assign(count, shuffled, before))
		assert.DeepEqual(t, after, Assign(count, servers, after))

		eligible := eligibleServers(servers)
		owned := countOwned(count, after)
		assert.Assert(t, len(eligible) == 0 || owned[None] == 0)
		weight := 0.0
		for _, server := range eligible {
			weight += server.weight()
		}
		for _, server := range eligible {
			exact := float64(count) * server.weight() / weight
			assert.Assert(t, math.Abs(float64(owned[server.ID])-exact) < 1)
			delete(owned, server.ID)
		}
		delete(owned, None)
		assert.Equal(t, len(owned), 0)
	})
}

// equalServers returns servers of weight 1 in one zone.
func equalServers(ids ...int) []Server {
	servers := make([]Server, len(ids))
	for i, id := range ids {
		servers[i] = Server{ID: record.SessionID(id), Zone: "zlin"}
	}
	return servers
}

func TestAssignMovesAsFewSlicesAsPossible(t *testing.T) {
	ten := equalServers(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	cases := []struct {
		name   string
		after  []Server
		slices int
		moves  int
	}{
		{"no change", ten, 200, 0},
		{"one server lost", ten[:9], 200, 20},
		{"one server joins", append(slices.Clone(ten), equalServers(11)...), 220, 20},
		{"one server replaced", append(slices.Clone(ten[:9]), equalServers(11)...), 200, 20},
		{"uneven shares, one joins", append(slices.Clone(ten), equalServers(11)...), 64, 5},
	}
	for _, test := range cases {
		before := Assign(test.slices, ten, nil)
		after := Assign(test.slices, test.after, before)
		assert.Equal(t, Moves(before, after), test.moves, test.name)
	}
}

func TestAssignLimitsOwnerToItsShare(t *testing.T) {
	servers := equalServers(1, 2, 3)
	servers[0].Weight = 2
	after := Assign(6, servers, []record.SessionID{1, 1, 1, 1, 2, 3})
	assert.Equal(t, countOwned(6, after)[1], 3)
}

func TestAssignDrainsLeavingServer(t *testing.T) {
	servers := equalServers(1, 2, 3)
	before := Assign(30, servers, nil)
	servers[0].Leaving = true
	after := Assign(30, servers, before)
	assert.Equal(t, countOwned(30, after)[1], 0)
	assert.Equal(t, Moves(before, after), 10)
}

func TestSuccessorsAreValidSpreadAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t, "servers")
		zones := zoneByServer(servers)
		owners := Assign(rapid.IntRange(0, 128).Draw(t, "slices"), servers, nil)
		former := Successors(owners, drawServers(t, "former"), nil)
		successors := Successors(owners, servers, former)
		assert.DeepEqual(t, successors, Successors(owners, servers, successors))

		owned := countOwned(len(owners), owners)
		counts := map[ownerAndSuccessor]int{}
		for slice, owner := range owners {
			counts[ownerAndSuccessor{owner, successors[slice]}]++
		}
		for slice, owner := range owners {
			candidates := candidatesFor(owner, eligibleServers(servers), zones)
			if owner == None || len(candidates) == 0 {
				assert.Equal(t, successors[slice], None)
				continue
			}
			successor := successors[slice]
			index := slices.IndexFunc(candidates, func(s Server) bool { return s.ID == successor })
			assert.Assert(t, index >= 0)
			weight := 0.0
			for _, server := range candidates {
				weight += server.weight()
			}
			exact := float64(owned[owner]) * candidates[index].weight() / weight
			assert.Assert(t, counts[ownerAndSuccessor{owner, successor}] <= int(exact)+2)
		}
	})
}

func TestSuccessorsOfLeavingOwnerStayInItsZone(t *testing.T) {
	servers := []Server{
		{ID: 1, Zone: "brno-jih", Leaving: true},
		{ID: 2, Zone: "brno-jih"},
		{ID: 3, Zone: "olomouc"},
		{ID: 4, Zone: "olomouc"},
	}
	owners := []record.SessionID{1, 1, 2, 3, None}
	assert.DeepEqual(t, Successors(owners, servers, nil), []record.SessionID{2, 2, 3, 4, None})
}

func TestSuccessorsAreSpreadEvenly(t *testing.T) {
	servers := equalServers(1, 2, 3, 4, 5)
	owners := Assign(100, servers, nil)
	successors := Successors(owners, servers, nil)
	counts := map[ownerAndSuccessor]int{}
	for slice, owner := range owners {
		counts[ownerAndSuccessor{owner, successors[slice]}]++
	}
	assert.Equal(t, len(counts), 20)
	for _, count := range counts {
		assert.Equal(t, count, 5)
	}
}
