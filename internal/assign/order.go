package assign

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HostOrder names the rule by which hosts are ordered for a server. The plan says which one holds, so that
// all hosts agree on the primary and the renewers of each server.
type HostOrder string

const (
	// OrderByHash is the order by rendezvous hash alone. Builds that do not know the field order use it.
	OrderByHash HostOrder = ""
	// OrderByWeight is the order by weighted rendezvous hashing: a host is first for a share of the
	// servers that is in proportion to its weight. With equal weights it is the same as OrderByHash.
	OrderByWeight HostOrder = "weighted"
)

const (
	// weightUnit is the resolution of a weight. Weights are compared as whole numbers, because the order
	// has to be the same on all machines.
	weightUnit = 0.01
	// maxWeight bounds the weight of a host, in units of weightUnit.
	maxWeight = 1_000_000
	// unknownWeight is the weight of a host that announces none.
	unknownWeight = 1.0
	// logBits is the number of binary digits after the point of a logarithm.
	logBits = 56
)

// OrderFor returns the order that a plan with these hosts may use: OrderByWeight if all of them know it,
// also those that are retired, which may still act by the plan.
func OrderFor(hosts []Host) HostOrder {
	for _, host := range hosts {
		if host.KnownOrder != OrderByWeight {
			return OrderByHash
		}
	}
	return OrderByWeight
}

// rankedHost is a host with its position in an order.
type rankedHost struct {
	// position is the host's position in its group, hash its rendezvous hash, and cost -log2(hash / 2^64).
	position int
	name     string
	hash     uint64
	cost     uint64
	weight   uint64
}

// rankMembers returns the positions of the members of a group, in the order of preference for the object with the ID.
func rankMembers(members []rankedMember, order HostOrder, id string) []uint16 {
	ranked := make([]rankedHost, 0, len(members))
	for i, member := range members {
		r := rankedHost{position: i, name: member.name, hash: rendezvousHash(member.name, id)}
		if order == OrderByWeight {
			r.cost, r.weight = negativeLog(r.hash), member.weight
		}
		ranked = append(ranked, r)
	}
	slices.SortFunc(ranked, func(a, b rankedHost) int {
		return cmp.Or(compareScores(b, a), cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	positions := make([]uint16, len(ranked))
	for i, r := range ranked {
		positions[i] = uint16(r.position)
	}
	return positions
}

// AmongFirst reports whether the host is one of the first n in OrderByHash for an ID, among the hosts that are not retired. It
// costs a hash for each host. A host that the plan does not list counts as if it were listed.
func (p Plan) AmongFirst(host Host, id string, n int) bool {
	own := rendezvousHash(host.Name, id)
	before := 0
	for _, other := range p.Hosts {
		if other.Retired || other.Name == host.Name {
			continue
		}
		hash := rendezvousHash(other.Name, id)
		if hash > own || hash == own && other.Name < host.Name {
			before++
		}
		if before == n {
			return false
		}
	}
	return true
}

// compareScores compares weight / cost, exactly. Without weights all scores are equal.
func compareScores(a, b rankedHost) int {
	aHigh, aLow := bits.Mul64(a.weight, b.cost)
	bHigh, bLow := bits.Mul64(b.weight, a.cost)
	return cmp.Or(cmp.Compare(aHigh, bHigh), cmp.Compare(aLow, bLow))
}

// rendezvousHash returns the rendezvous hash of a host for an ID; the highest is preferred.
func rendezvousHash(name, id string) uint64 {
	return xxhash.Sum64String(name + "\x00" + id)
}

// weight returns the host's weight in units of weightUnit, at least 1.
func (h Host) weight() uint64 {
	weight := h.Weight
	if !(weight > 0) {
		weight = unknownWeight
	}
	return uint64(max(math.Round(min(weight/weightUnit, maxWeight)), 1))
}

// negativeLog returns -log2(hash / 2^64) with logBits binary digits after the point. It uses integers only:
// floating-point logarithms differ in the last digit between machines. It never increases with the hash.
func negativeLog(hash uint64) uint64 {
	hash = max(hash, 1)
	zeros := bits.LeadingZeros64(hash)
	// x is the hash as a number in [1, 2), with 63 digits after the point. Each squaring yields one
	// digit of its logarithm.
	x := hash << zeros
	var fraction uint64
	for range logBits {
		high, low := bits.Mul64(x, x)
		fraction <<= 1
		if high >= 1<<63 {
			fraction |= 1
			x = high
		} else {
			x = high<<1 | low>>63
		}
	}
	return uint64(zeros+1)<<logBits - fraction
}
