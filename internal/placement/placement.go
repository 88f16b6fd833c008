// Package placement decides which server session owns each slice of a keyed
// service, and which session is the successor of that owner.
//
// Package planner calls it to plan assignments and moves, and package hotkey to
// keep its moves within each server's share. All functions are pure and
// deterministic, so all hosts get the same result from the same input; the order
// of the servers does not matter. They never fail: a slice that no server can own
// or succeed gets None.
package placement

import (
	"cmp"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// None stands for no session: a slice without an owner or without a successor.
const None record.SessionID = 0

// Server is a server session that may own slices.
type Server struct {
	ID   record.SessionID
	Zone string
	// Weight is the server's capacity relative to the other servers, for example
	// its slots for concurrent requests. A weight of zero or less counts as 1.
	Weight float64
	// Leaving excludes the server from owning slices and from being a successor.
	Leaving bool
}

// weight returns Weight, or 1 if that is zero or less.
func (s Server) weight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// Assign returns the owner of each of count slices. Every server that is not
// leaving gets its share by weight, rounded down or up. A slice stays with its
// current owner if the shares allow it, so that no more slices move than
// necessary. A slice that moves goes to the zone of its current owner if a server
// there has room. current may be shorter than count; a missing owner, or one that is
// not among the servers, counts as None. Without servers all owners are None.
func Assign(count int, servers []Server, current []record.SessionID) []record.SessionID {
	owners := make([]record.SessionID, count)
	eligible := eligibleServers(servers)
	if len(eligible) == 0 {
		return owners
	}
	zones := zoneByServer(servers)
	quota := quotas(count, eligible, countOwned(count, current))
	for slice := range owners {
		owner := ownerAt(current, slice)
		if quota[owner] > 0 {
			owners[slice] = owner
			quota[owner]--
		}
	}
	for slice := range owners {
		if owners[slice] == None {
			owners[slice] = takeFromQuota(eligible, quota, zones[ownerAt(current, slice)])
		}
	}
	return owners
}

// Moves counts the slices that had an owner in before and have another in after.
func Moves(before, after []record.SessionID) int {
	moved := 0
	for slice := range min(len(before), len(after)) {
		if before[slice] != None && before[slice] != after[slice] {
			moved++
		}
	}
	return moved
}

// eligibleServers returns the servers that are not leaving, without duplicates and
// ordered by ID.
func eligibleServers(servers []Server) []Server {
	eligible := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return s.Leaving || s.ID == None })
	slices.SortStableFunc(eligible, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(eligible, func(a, b Server) bool { return a.ID == b.ID })
}

// zoneByServer returns each server's zone.
func zoneByServer(servers []Server) map[record.SessionID]string {
	zones := make(map[record.SessionID]string, len(servers))
	for _, server := range servers {
		zones[server.ID] = server.Zone
	}
	return zones
}

// countOwned returns the number of slices of each owner. Slices without an owner
// count for None.
func countOwned(count int, current []record.SessionID) map[record.SessionID]int {
	owned := map[record.SessionID]int{}
	for slice := range count {
		owned[ownerAt(current, slice)]++
	}
	return owned
}

// quotas divides count slices among the servers by weight. Each server gets its
// exact share rounded down. The remaining slices go one by one to the servers with
// a fractional share: first to those that already own more than the rounded share,
// so that fewer slices move, then by the size of the fraction, then by ID.
func quotas(count int, eligible []Server, owned map[record.SessionID]int) map[record.SessionID]int {
	total := 0.0
	for _, server := range eligible {
		total += server.weight()
	}
	type share struct {
		id       record.SessionID
		fraction float64
		keeps    bool
	}
	quota := make(map[record.SessionID]int, len(eligible))
	shares := make([]share, len(eligible))
	remaining := count
	for i, server := range eligible {
		least, most := ShareBounds(count, server.weight(), total)
		exact := float64(count) * server.weight() / total
		quota[server.ID] = least
		remaining -= least
		shares[i] = share{server.ID, exact - float64(least), most > least && owned[server.ID] > least}
	}
	slices.SortFunc(shares, func(a, b share) int {
		if a.keeps != b.keeps {
			return trueFirst(a.keeps)
		}
		return cmp.Or(cmp.Compare(b.fraction, a.fraction), cmp.Compare(a.id, b.id))
	})
	for i := range remaining {
		quota[shares[i%len(shares)].id]++
	}
	return quota
}

// shareTolerance is the difference from a whole number, in slices, that counts as
// a floating-point rounding error.
const shareTolerance = 1e-9

// ShareBounds returns the smallest and the largest number of slices that a server
// may own: its share of count slices by weight, rounded down and up. total is the
// sum of all weights.
func ShareBounds(count int, weight, total float64) (least, most int) {
	exact := float64(count) * weight / total
	least = int(exact + shareTolerance)
	if exact-float64(least) <= shareTolerance {
		return least, least
	}
	return least, least + 1
}

// takeFromQuota assigns one slice and reduces the quota of the server that gets it. It
// prefers servers in the zone, then the one with the most quota left per weight. It
// returns None if no quota is left.
func takeFromQuota(eligible []Server, quota map[record.SessionID]int, zone string) record.SessionID {
	best := -1
	for i, server := range eligible {
		if quota[server.ID] <= 0 {
			continue
		}
		if best < 0 || preferred(server, eligible[best], quota, zone) {
			best = i
		}
	}
	if best < 0 {
		return None
	}
	quota[eligible[best].ID]--
	return eligible[best].ID
}

// preferred reports whether a is preferred to b for the next slice.
func preferred(a, b Server, quota map[record.SessionID]int, zone string) bool {
	if aInZone, bInZone := a.Zone == zone, b.Zone == zone; aInZone != bInZone {
		return aInZone
	}
	return float64(quota[a.ID])/a.weight() > float64(quota[b.ID])/b.weight()
}

// ownerAt returns the owner of the slice, or None beyond the end of the list.
func ownerAt(owners []record.SessionID, slice int) record.SessionID {
	if slice < len(owners) {
		return owners[slice]
	}
	return None
}

// trueFirst compares the flag a with its opposite and orders true before false.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}
