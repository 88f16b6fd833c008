package placement

import (
	"math"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// ownerAndSuccessor is an owner and one of its successors.
type ownerAndSuccessor struct {
	owner, successor record.SessionID
}

// Successors returns the successor of each slice: another server of its owner's
// zone or, if that zone has no other, of any zone. The slices of one owner are
// spread over the possible successors by weight, so that the load of a failed
// server is distributed. A current successor is kept if the spread allows it. The
// successor is None if the slice has no owner or the owner has no possible
// successor.
func Successors(owners []record.SessionID, servers []Server, current []record.SessionID) []record.SessionID {
	successors := make([]record.SessionID, len(owners))
	eligible := eligibleServers(servers)
	zones := zoneByServer(servers)
	candidates := map[record.SessionID][]Server{}
	owned := countOwned(len(owners), owners)
	for owner := range owned {
		candidates[owner] = candidatesFor(owner, eligible, zones)
	}
	spread := newSpread(candidates, owned)
	for slice, owner := range owners {
		if kept := ownerAt(current, slice); spread.hasRoom(owner, kept) {
			successors[slice] = kept
			spread.add(owner, kept)
		}
	}
	for slice, owner := range owners {
		if successors[slice] != None || owner == None {
			continue
		}
		next := spread.leastLoaded(owner)
		successors[slice] = next
		spread.add(owner, next)
	}
	return successors
}

// candidatesFor returns the possible successors of an owner: the other servers of
// its zone or, if there are none, all other servers.
func candidatesFor(owner record.SessionID, eligible []Server, zones map[record.SessionID]string) []Server {
	zone, known := zones[owner]
	var sameZone, all []Server
	for _, server := range eligible {
		if server.ID == owner {
			continue
		}
		all = append(all, server)
		if known && server.Zone == zone {
			sameZone = append(sameZone, server)
		}
	}
	if len(sameZone) > 0 {
		return sameZone
	}
	return all
}

// spread distributes the slices of each owner among its possible successors.
type spread struct {
	// candidates holds the possible successors of each owner.
	candidates map[record.SessionID][]Server
	// limit and count are the largest and the present number of slices of an owner
	// with a successor.
	limit map[ownerAndSuccessor]int
	count map[ownerAndSuccessor]int
	// total is the number of slices of a successor over all owners.
	total map[record.SessionID]int
}

// newSpread returns an empty spread whose limits are each successor's share of the
// owner's slices, rounded up.
func newSpread(candidates map[record.SessionID][]Server, owned map[record.SessionID]int) *spread {
	s := &spread{
		candidates: candidates,
		limit:      map[ownerAndSuccessor]int{},
		count:      map[ownerAndSuccessor]int{},
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
			s.limit[ownerAndSuccessor{owner, server.ID}] = int(math.Ceil(share))
		}
	}
	return s
}

// hasRoom reports whether the successor may take another of the owner's slices.
func (s *spread) hasRoom(owner, successor record.SessionID) bool {
	key := ownerAndSuccessor{owner, successor}
	return s.count[key] < s.limit[key]
}

// add counts one of the owner's slices for the successor.
func (s *spread) add(owner, successor record.SessionID) {
	s.count[ownerAndSuccessor{owner, successor}]++
	s.total[successor]++
}

// leastLoaded returns the possible successor with the fewest of the owner's slices per
// weight and, among equals, with the fewest slices of all owners per weight. It
// returns None if there is no possible successor.
func (s *spread) leastLoaded(owner record.SessionID) record.SessionID {
	best := None
	bestCount, bestTotal := math.Inf(1), math.Inf(1)
	for _, server := range s.candidates[owner] {
		count := float64(s.count[ownerAndSuccessor{owner, server.ID}]) / server.weight()
		total := float64(s.total[server.ID]) / server.weight()
		if count < bestCount || (count == bestCount && total < bestTotal) {
			best, bestCount, bestTotal = server.ID, count, total
		}
	}
	return best
}
