package placement

import (
	"math"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// pair is an owner and the server that succeeds it.
type pair struct {
	owner, successor record.SessionID
}

// Successors returns the successor of each slice: another server of its
// owner's zone, or of any zone where the owner's has no other. The slices of
// one owner are spread over its possible successors by weight, so that the
// loss of a server loads several others a little. A current successor stays as
// long as the spread allows. A slice whose owner is None or has no possible
// successor has None.
func Successors(owners []record.SessionID, servers []Server, current []record.SessionID) []record.SessionID {
	successors := make([]record.SessionID, len(owners))
	takers := staying(servers)
	zones := zonesOf(servers)
	candidates := map[record.SessionID][]Server{}
	owned := countOwned(len(owners), owners)
	for owner := range owned {
		candidates[owner] = candidatesFor(owner, takers, zones)
	}
	spread := newSpread(candidates, owned)
	for slice, owner := range owners {
		if kept := at(current, slice); spread.hasRoom(owner, kept) {
			successors[slice] = kept
			spread.add(owner, kept)
		}
	}
	for slice, owner := range owners {
		if successors[slice] != None || owner == None {
			continue
		}
		next := spread.least(owner)
		successors[slice] = next
		spread.add(owner, next)
	}
	return successors
}

// candidatesFor returns the possible successors of an owner.
func candidatesFor(owner record.SessionID, takers []Server, zones map[record.SessionID]string) []Server {
	zone, known := zones[owner]
	var near, all []Server
	for _, server := range takers {
		if server.ID == owner {
			continue
		}
		all = append(all, server)
		if known && server.Zone == zone {
			near = append(near, server)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// spread counts how the slices of each owner are divided among its successors.
type spread struct {
	candidates map[record.SessionID][]Server
	limit      map[pair]int
	count      map[pair]int
	total      map[record.SessionID]int
}

func newSpread(candidates map[record.SessionID][]Server, owned map[record.SessionID]int) *spread {
	s := &spread{
		candidates: candidates,
		limit:      map[pair]int{},
		count:      map[pair]int{},
		total:      map[record.SessionID]int{},
	}
	for owner, group := range candidates {
		if owner == None {
			continue
		}
		weight := 0.0
		for _, server := range group {
			weight += server.weight()
		}
		for _, server := range group {
			share := float64(owned[owner]) * server.weight() / weight
			s.limit[pair{owner, server.ID}] = int(math.Ceil(share))
		}
	}
	return s
}

// hasRoom says whether the successor may take another slice of the owner.
func (s *spread) hasRoom(owner, successor record.SessionID) bool {
	key := pair{owner, successor}
	return s.count[key] < s.limit[key]
}

func (s *spread) add(owner, successor record.SessionID) {
	s.count[pair{owner, successor}]++
	s.total[successor]++
}

// least returns the candidate that succeeds the fewest slices of the owner for
// its weight, and among equals the fewest of all.
func (s *spread) least(owner record.SessionID) record.SessionID {
	best := None
	bestCount, bestTotal := math.Inf(1), math.Inf(1)
	for _, server := range s.candidates[owner] {
		count := float64(s.count[pair{owner, server.ID}]) / server.weight()
		total := float64(s.total[server.ID]) / server.weight()
		if count < bestCount || (count == bestCount && total < bestTotal) {
			best, bestCount, bestTotal = server.ID, count, total
		}
	}
	return best
}
