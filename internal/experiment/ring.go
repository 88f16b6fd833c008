package experiment

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarcroft/poplarcroft/internal/placement"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// churnSamples is the number of points of the key space at which two rings are compared.
const churnSamples = 100_000

// ringPoint is one of the points of a server on a ring.
type ringPoint struct {
	position uint64
	owner    record.SessionID
}

// ring is plain consistent hashing, the baseline of CompareHot: a key belongs to
// the server of the next point, or of the first one if there is none. The points
// are sorted by position.
type ring []ringPoint

// newRing returns a ring with ringPoints points for each server.
func newRing(servers []placement.Server) ring {
	var points ring
	for _, server := range servers {
		for i := range ringPoints {
			position := xxhash.Sum64String(fmt.Sprintf("%d/%d", server.ID, i))
			points = append(points, ringPoint{position, server.ID})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.position, b.position) })
	return points
}

// owner returns the server to which a position belongs.
func (r ring) owner(position uint64) record.SessionID {
	i, _ := slices.BinarySearchFunc(r, position, func(p ringPoint, position uint64) int { return cmp.Compare(p.position, position) })
	return r[i%len(r)].owner
}

// churn returns the share of the key space that has another owner than on the
// previous ring, divided by the share that had to move: what the removed servers
// owned, and an even share for each added server.
func (r ring) churn(previous ring, before, after []placement.Server) float64 {
	moved, orphaned := 0, 0
	for i := range churnSamples {
		position := xxhash.Sum64String(fmt.Sprintf("sample-%d", i))
		oldOwner, newOwner := previous.owner(position), r.owner(position)
		if oldOwner != newOwner {
			moved++
		}
		if !slices.ContainsFunc(after, func(s placement.Server) bool { return s.ID == oldOwner }) {
			orphaned++
		}
	}
	hadToMove := float64(orphaned)
	for _, server := range after {
		if !slices.ContainsFunc(before, func(s placement.Server) bool { return s.ID == server.ID }) {
			hadToMove += float64(churnSamples) / float64(len(after))
		}
	}
	return float64(moved) / hadToMove
}
