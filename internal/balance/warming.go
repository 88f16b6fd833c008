package balance

import (
	"github.com/cespare/xxhash/v2"
)

// WarmingHost returns the host that alone sends to a target in cold start, or "" if
// there are no hosts. Hosts with the same list agree on it, and a change of the list
// changes it for few targets (rendezvous hashing).
func WarmingHost(addr string, hosts []string) string {
	chosen := ""
	var highest uint64
	for _, host := range hosts {
		rank := xxhash.Sum64String(host + "\x00" + addr)
		if chosen == "" || rank > highest || (rank == highest && host < chosen) {
			chosen, highest = host, rank
		}
	}
	return chosen
}
