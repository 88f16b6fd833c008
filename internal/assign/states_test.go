package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// drawServers draws servers, of which some name a limit.
func drawServers(t *rapid.T) []Candidate {
	servers := testServers(rapid.IntRange(0, 6).Draw(t, "servers"))
	for i := range servers {
		servers[i].Limit = rapid.SampledFrom([]float64{0, 0, 1, 40}).Draw(t, "limit")
		servers[i].Capacity = rapid.SampledFrom([]float64{0.1, 4}).Draw(t, "capacity")
	}
	return servers
}

// drawAssignments draws a division of the key space among the servers, and one that nobody knows any more.
func drawAssignments(t *rapid.T, servers []Candidate) []Assignment {
	holders := []Server{{ID: "gone", Addr: "10.0.1.1:80", Zone: "zlin", Born: 1}}
	for _, server := range servers {
		holders = append(holders, server.Server)
	}
	var assignments []Assignment
	for _, keys := range keyrange.Even(rapid.IntRange(1, 8).Draw(t, "ranges")) {
		a := Assignment{Range: keys, Server: rapid.SampledFrom(holders).Draw(t, "holder"), Fence: FenceAt(0, 1)}
		a.Phase = rapid.SampledFrom([]Phase{Held, Held, Releasing, Free}).Draw(t, "phase")
		if a.Phase != Held {
			a.Next = rapid.SampledFrom(holders).Draw(t, "next").ID
		}
		assignments = append(assignments, a)
	}
	return assignments
}

// drawSnapshot draws which of the servers may receive keys, and what has happened to the others: they are known and drain, they are
// gone, they have started again, another server has started at their address, or their address belongs to another service.
func drawSnapshot(t *rapid.T, servers []Candidate) Snapshot {
	snapshot := testSnapshot(nil)
	snapshot.NewestByAddr = make(map[string]Server)
	snapshot.TakenAddrs = make(map[string]int64)
	for _, server := range servers {
		fate := rapid.SampledFrom([]string{"receives", "receives", "drains", "gone", "restarted", "replaced", "address taken"}).Draw(t, "fate")
		if fate == "gone" {
			continue
		}
		if fate == "restarted" {
			server.Born++
		}
		snapshot.NewestByID[server.ID] = server.Server
		snapshot.NewestByAddr[server.Addr] = server.Server
		switch fate {
		case "replaced":
			successor := server
			successor.ID += "-next"
			successor.Born++
			successor.Cold = rapid.Bool().Draw(t, "successor is cold")
			snapshot.NewestByID[successor.ID] = successor.Server
			snapshot.NewestByAddr[successor.Addr] = successor.Server
			snapshot.Candidates = append(snapshot.Candidates, successor)
		case "address taken":
			delete(snapshot.NewestByAddr, server.Addr)
			snapshot.TakenAddrs[server.Addr] = server.Born + 1
		}
		server.Cold = rapid.Bool().Draw(t, "cold")
		if fate != "drains" {
			snapshot.Candidates = append(snapshot.Candidates, server)
		}
	}
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "load"), 0))
	switch rapid.SampledFrom([]string{"unknown", "even", "hot"}).Draw(t, "kind of load") {
	case "even":
		snapshot.Load = sampledLoad(rng, 200, 0, 0, 1)
	case "hot":
		snapshot.Load = sampledLoad(rng, 100, 200, 7, 3)
	}
	return snapshot
}

// checkComplete checks that each key is in exactly one range.
func checkComplete(t *rapid.T, assignments []Assignment) {
	next := 0
	for _, a := range assignments {
		assert.Equal(t, int(a.First), next, "ranges %v", assignments)
		next = int(a.Last) + 1
	}
	assert.Equal(t, next, keyrange.Count, "ranges %v", assignments)
}

// checkOwner checks that no key that a server may still hold went to another server without a proof.
func checkOwner(t *rapid.T, before []Assignment, after Assignment, snapshot Snapshot) {
	if after.Phase != Held {
		return
	}
	for _, a := range before {
		if a.Phase == Free || a.First > after.Last || a.Last < after.First || a.Server.Addr == after.Server.Addr {
			continue
		}
		proof, proved := snapshot.Proofs[a.First]
		assert.Assert(t, proved && proof.Fence == a.Fence, "%v went from %s to %s", a.Range, a.Server.ID, after.Server.ID)
	}
}

// TestReconcileInAnyState guards against a leader that ends in a panic in a state that is rare, such as that of a service none of
// whose servers may receive keys. The state is stored, so it would end each leader after the other.
func TestReconcileInAnyState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t)
		current := drawAssignments(t, servers)
		for step := range 4 {
			snapshot := drawSnapshot(t, servers)
			if rapid.Bool().Draw(t, "released") {
				proveReleases(current, &snapshot)
			}
			next, changed := Reconcile(current, snapshot, FenceAt(0, uint64(step+2)))
			assert.Equal(t, changed, !slices.Equal(next, current))
			checkComplete(t, next)
			for _, a := range next {
				checkOwner(t, current, a, snapshot)
			}
			current = next
		}
	})
}

// TestReconcileSettles guards against a leader that gives keys to a server which it takes them from in the next step, as one whose address
// has been taken over while its entry is still there: the plan changed 25 times a second, and the keys were not served. While nothing
// else changes and servers release what they are asked to, the assignments settle.
func TestReconcileSettles(t *testing.T) {
	const steps = 6
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t)
		current := drawAssignments(t, servers)
		snapshot := drawSnapshot(t, servers)
		snapshot.Rebalance = false
		for step := range steps {
			clear(snapshot.Proofs)
			proveReleases(current, &snapshot)
			next, changed := Reconcile(current, snapshot, FenceAt(0, uint64(step+2)))
			if !changed {
				return
			}
			current = next
		}
		t.Fatalf("changes after %d steps: %v", steps, current)
	})
}

// TestNoServerMayReceiveKeys guards against the panic of a leader while all servers of a service with load drain or are in an
// evacuated zone: nothing can be moved then, and the ranges are released.
func TestNoServerMayReceiveKeys(t *testing.T) {
	servers := testServers(3)
	assignments, _ := Reconcile(nil, testSnapshot(servers), FenceAt(0, 1))
	snapshot := testSnapshot(servers)
	snapshot.Candidates = nil
	snapshot.Load = sampledLoad(rand.New(rand.NewPCG(1, 2)), 200, 0, 0, 1)
	released, _ := Reconcile(assignments, snapshot, FenceAt(0, 2))
	proveReleases(released, &snapshot)
	free, _ := Reconcile(released, snapshot, FenceAt(0, 3))
	for i, a := range free {
		assert.Equal(t, a.Phase, Free, fmt.Sprint("range ", i))
	}
	back, _ := Reconcile(free, testSnapshot(servers), FenceAt(0, 4))
	for i, a := range back {
		assert.Equal(t, a.Phase, Held, fmt.Sprint("range ", i))
	}
}
