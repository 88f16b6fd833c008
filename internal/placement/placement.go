// Package placement decides which server session owns each slice of a keyed
// service and which one succeeds it.
//
// All functions are pure and deterministic: every host that passes the same
// input gets the same output. The order of the servers does not matter.
package placement

import (
	"cmp"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// None is the owner of a slice that has none.
const None record.SessionID = 0

// Server is a server session that may own slices.
type Server struct {
	ID   record.SessionID
	Zone string
	// Weight is the server's capacity relative to the others, its slots for
	// example. A weight of zero or less counts as 1.
	Weight float64
	// Leaving says that the server takes no slice and succeeds nobody.
	Leaving bool
}

func (s Server) weight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// Assign returns the owner of each of count slices. Every server that is not
// leaving gets its share by weight, rounded down or up. A slice stays with its
// current owner as far as the shares allow, so no more slices move than have
// to. Slices that move prefer the zone of their current owner. Current may be
// shorter than count; a missing owner and an owner that is not among the
// servers count as none. Without servers all slices have none.
func Assign(count int, servers []Server, current []record.SessionID) []record.SessionID {
	owners := make([]record.SessionID, count)
	takers := staying(servers)
	if len(takers) == 0 {
		return owners
	}
	zones := zonesOf(servers)
	quota := quotas(count, takers, countOwned(count, current))
	for slice := range owners {
		owner := at(current, slice)
		if quota[owner] > 0 {
			owners[slice] = owner
			quota[owner]--
		}
	}
	for slice := range owners {
		if owners[slice] == None {
			owners[slice] = takeRoom(takers, quota, zones[at(current, slice)])
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

// staying returns the servers that take slices, ordered by ID, each once.
func staying(servers []Server) []Server {
	takers := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return s.Leaving || s.ID == None })
	slices.SortStableFunc(takers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(takers, func(a, b Server) bool { return a.ID == b.ID })
}

func zonesOf(servers []Server) map[record.SessionID]string {
	zones := make(map[record.SessionID]string, len(servers))
	for _, server := range servers {
		zones[server.ID] = server.Zone
	}
	return zones
}

func countOwned(count int, current []record.SessionID) map[record.SessionID]int {
	owned := map[record.SessionID]int{}
	for slice := range count {
		owned[at(current, slice)]++
	}
	return owned
}

// quotas divides count slices by weight. Each server gets its exact share
// rounded down; what is left over goes first to servers with a fraction that own
// more than that already, then to the largest fractions, then to the lower IDs.
func quotas(count int, takers []Server, owned map[record.SessionID]int) map[record.SessionID]int {
	total := 0.0
	for _, server := range takers {
		total += server.weight()
	}
	type share struct {
		id       record.SessionID
		fraction float64
		keeps    bool
	}
	quota := make(map[record.SessionID]int, len(takers))
	shares := make([]share, len(takers))
	left := count
	for i, server := range takers {
		least, most := ShareBounds(count, server.weight(), total)
		exact := float64(count) * server.weight() / total
		quota[server.ID] = least
		left -= least
		shares[i] = share{server.ID, exact - float64(least), most > least && owned[server.ID] > least}
	}
	slices.SortFunc(shares, func(a, b share) int {
		if a.keeps != b.keeps {
			return trueFirst(a.keeps)
		}
		return cmp.Or(cmp.Compare(b.fraction, a.fraction), cmp.Compare(a.id, b.id))
	})
	for i := range left {
		quota[shares[i%len(shares)].id]++
	}
	return quota
}

// shareTolerance is the difference from a whole number that counts as rounding error.
const shareTolerance = 1e-9

// ShareBounds returns a server's share of count slices by its weight out of the
// total, rounded down and up.
func ShareBounds(count int, weight, total float64) (least, most int) {
	exact := float64(count) * weight / total
	least = int(exact + shareTolerance)
	if exact-float64(least) <= shareTolerance {
		return least, least
	}
	return least, least + 1
}

// takeRoom takes one slice out of the quota of the server with the most room
// for its weight, in the given zone where that has any.
func takeRoom(takers []Server, quota map[record.SessionID]int, zone string) record.SessionID {
	best := -1
	for i, server := range takers {
		if quota[server.ID] <= 0 {
			continue
		}
		if best < 0 || roomier(server, takers[best], quota, zone) {
			best = i
		}
	}
	if best < 0 {
		return None
	}
	quota[takers[best].ID]--
	return takers[best].ID
}

func roomier(a, b Server, quota map[record.SessionID]int, zone string) bool {
	if aNear, bNear := a.Zone == zone, b.Zone == zone; aNear != bNear {
		return aNear
	}
	return float64(quota[a.ID])/a.weight() > float64(quota[b.ID])/b.weight()
}

// at returns the owner of the slice, None beyond the end.
func at(owners []record.SessionID, slice int) record.SessionID {
	if slice < len(owners) {
		return owners[slice]
	}
	return None
}

// trueFirst orders two differing flags, the first of which is a.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}
