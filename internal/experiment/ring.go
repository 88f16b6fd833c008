package experiment

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarcroft/poplarcroft/internal/placement"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// churnSamples is the number of places of the key space at which two rings are compared.
const churnSamples = 100_000

// ringPoint is one place of a server on a ring.
type ringPoint struct {
	at    uint64
	owner record.SessionID
}

// ring is plain consistent hashing: a key belongs to the next point.
type ring []ringPoint

func newRing(servers []placement.Server) ring {
	var points ring
	for _, server := range servers {
		for i := range ringPoints {
			at := xxhash.Sum64String(fmt.Sprintf("%d/%d", server.ID, i))
			points = append(points, ringPoint{at, server.ID})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
	return points
}

func (r ring) owner(at uint64) record.SessionID {
	i, _ := slices.BinarySearchFunc(r, at, func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	return r[i%len(r)].owner
}

// churn is the share of the key space that changed owners since the former
// ring, over the share that had to: what the lost servers owned, and an even
// share for each new one.
func (r ring) churn(former ring, before, after []placement.Server) float64 {
	moved, lost := 0, 0
	for i := range churnSamples {
		at := xxhash.Sum64String(fmt.Sprintf("sample-%d", i))
		was, is := former.owner(at), r.owner(at)
		if was != is {
			moved++
		}
		if !slices.ContainsFunc(after, func(s placement.Server) bool { return s.ID == was }) {
			lost++
		}
	}
	needed := float64(lost)
	for _, server := range after {
		if !slices.ContainsFunc(before, func(s placement.Server) bool { return s.ID == server.ID }) {
			needed += float64(churnSamples) / float64(len(after))
		}
	}
	return float64(moved) / needed
}
