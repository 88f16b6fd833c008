package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

// Candidate is a backend server that may be given keys.
type Candidate struct {
	Server
	// Capacity is the server's share of work in relation to the others, above zero.
	Capacity float64
}

// Proof tells that the former holder of a range holds it no longer. It is made where
//   - the server answered a release with the present fence, from which on it refuses
//     all grants that are still on their way; or
//   - the server's address belongs to a server of another service; or
//   - every host that may have renewed has stopped, and the last grant has run out.
type Proof struct {
	Fence    Fence
	Handover string
}

// World is what the leader knows about one service.
type World struct {
	// Ready lists the servers that may hold keys.
	Ready []Candidate
	// Lives holds the newest known life of each server that is known at all.
	Lives map[string]Server
	// AtAddr holds the newest known life of the service's servers at each address.
	AtAddr map[string]Server
	// Reused holds the addresses whose newest server is one of another service, with its start.
	Reused map[string]int64
	// Regrant holds the first keys of ranges that need a new fence although they stay.
	Regrant map[keyrange.Key]bool
	// Proofs holds the proofs for releasing ranges, by their first key.
	Proofs map[keyrange.Key]Proof
	// Load is the load of the keys; nil stands for no knowledge.
	Load *keyrange.Load
	// Rebalance says that ranges may be moved only to spread load.
	Rebalance bool
}

const (
	// rangesPerServer bounds the ranges of a service, and so the grants that are renewed.
	rangesPerServer = 5
	// overload is the load of a server, in relation to its fair share, from which keys leave it,
	// beyond what chance makes of a second's requests.
	overload = 1.35
	// chance is the number of standard deviations of a second's requests that are left to chance.
	chance = 1.5
	// movesPerStep bounds the ranges that start to move at a time to spread load.
	movesPerStep = 8
	// minPiece and maxPiece bound the load of a part that is moved, in relation to what is wanted.
	minPiece = 0.25
	maxPiece = 1.3
	// minLoad is the load in requests per second below which nothing is spread.
	minLoad = 5.0
)

// Step returns the assignments that follow from what the leader knows. Changed
// assignments carry the fence. It returns false where nothing changes.
func Step(current []Assignment, world World, fence Fence) ([]Assignment, bool) {
	s := &stepper{world: world, fence: fence, next: slices.Clone(current)}
	if len(s.next) == 0 {
		s.begin()
	} else {
		s.settle()
		s.place()
		if world.Rebalance {
			s.spread()
		}
		s.merge()
	}
	return s.next, !slices.Equal(s.next, current)
}

// stepper is one step under way.
type stepper struct {
	world World
	fence Fence
	next  []Assignment
}

// begin gives all keys out for the first time.
func (s *stepper) begin() {
	ready := slices.Clone(s.world.Ready)
	if len(ready) == 0 {
		return
	}
	slices.SortFunc(ready, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	for i, r := range keyrange.Even(len(ready)) {
		s.next = append(s.next, Assignment{Range: r, Phase: Held, Server: ready[i].Server, Fence: s.fence})
	}
}

// settle takes ranges from servers that should not or do not hold them any longer.
func (s *stepper) settle() {
	for i := range s.next {
		a := &s.next[i]
		switch a.Phase {
		case Held:
			s.settleHeld(a)
		case Releasing:
			s.settleReleasing(a)
		}
	}
}

func (s *stepper) settleHeld(a *Assignment) {
	life, reborn := s.newerLife(a.Server)
	switch {
	case s.reused(a.Server):
		s.free(a, "")
	case reborn && s.ready(life.ID):
		a.Server = life
		a.Handover = ""
		a.Fence = s.fence
	case reborn:
		// The new life may have got a grant that was meant for the former one.
		a.Server = life
		s.release(a, "")
	case !s.ready(a.Server.ID), !s.world.Lives[a.Server.ID].SameLife(a.Server):
		s.release(a, "")
	case s.world.Regrant[a.First]:
		a.Fence = s.fence
	}
}

func (s *stepper) settleReleasing(a *Assignment) {
	if s.reused(a.Server) {
		s.free(a, "")
		return
	}
	if proof, ok := s.world.Proofs[a.First]; ok && proof.Fence == a.Fence {
		s.free(a, proof.Handover)
	}
}

// reused reports whether a server of another service has begun later at the address.
func (s *stepper) reused(server Server) bool {
	return s.world.Reused[server.Addr] > server.Born
}

// newerLife returns the life that has followed a server's life, under its ID or at its address.
func (s *stepper) newerLife(server Server) (Server, bool) {
	for _, life := range []Server{s.world.Lives[server.ID], s.world.AtAddr[server.Addr]} {
		if life.Addr == server.Addr && life.Born > server.Born {
			return life, true
		}
	}
	return Server{}, false
}

// free marks a range as held by nobody. Its former server stays named as the one preferred.
func (s *stepper) free(a *Assignment, handover string) {
	if a.Phase == Held && a.Next == "" {
		a.Next = a.Server.ID
	}
	a.Phase = Free
	a.Handover = handover
	a.Fence = s.fence
}

// release starts to take a range from its server.
func (s *stepper) release(a *Assignment, next string) {
	a.Phase = Releasing
	a.Next = next
	a.Handover = ""
	a.Fence = s.fence
}

// place gives free ranges to servers, those with most load first.
func (s *stepper) place() {
	var free []int
	for i, a := range s.next {
		if a.Phase == Free {
			free = append(free, i)
		}
	}
	if len(free) == 0 || len(s.world.Ready) == 0 {
		return
	}
	loads := s.loads()
	slices.SortFunc(free, func(i, j int) int {
		return cmp.Compare(s.loadOf(s.next[j].Range), s.loadOf(s.next[i].Range))
	})
	for _, i := range free {
		a := &s.next[i]
		server, ok := s.readyServer(a.Next)
		if !ok {
			server = s.least(loads, s.loadOf(a.Range))
		}
		loads[server.ID] += s.loadOf(a.Range) / server.Capacity
		a.Phase = Held
		a.Server = server.Server
		a.Next = ""
		a.Fence = s.fence
	}
}

// spread moves load from servers that have too much to those that have least.
func (s *stepper) spread() {
	if s.world.Load == nil || s.world.Load.Total() < minLoad || s.moving() {
		return
	}
	for range movesPerStep {
		loads := s.loads()
		if !s.spreadOnce(loads) {
			return
		}
	}
}

// spreadOnce moves keys from the busiest server that can give some away.
func (s *stepper) spreadOnce(loads map[string]float64) bool {
	fair := s.fairLoad()
	to := s.least(loads, 0)
	for _, from := range s.byLoad(loads) {
		most := loads[from.ID]
		if most < overload*fair+chance*math.Sqrt(most*from.Capacity)/from.Capacity {
			return false
		}
		wanted := min((most-loads[to.ID])/2, most-fair) * min(from.Capacity, to.Capacity)
		if piece, ok := s.bestPiece(from.ID, wanted); ok {
			s.cutOut(piece.at, piece.keys, to.ID)
			return true
		}
	}
	return false
}

// piece is a part of a range that may be moved.
type piece struct {
	at   int
	keys keyrange.Range
	load float64
}

// bestPiece returns the part of a server's ranges whose load is nearest to the wanted one. A
// single key cannot be cut: where it carries the load, what lies beside it is moved.
func (s *stepper) bestPiece(id string, wanted float64) (piece, bool) {
	best, found := piece{}, false
	for i, a := range s.next {
		if a.Phase != Held || a.Server.ID != id {
			continue
		}
		for _, keys := range s.parts(a.Range, wanted) {
			load := s.loadOf(keys)
			if load < minPiece*wanted || load > maxPiece*wanted {
				continue
			}
			if !found || math.Abs(load-wanted) < math.Abs(best.load-wanted) {
				best, found = piece{at: i, keys: keys, load: load}, true
			}
		}
	}
	return best, found
}

// parts returns a range as a whole, and where more ranges are allowed the parts at its
// ends that carry nearly the wanted load.
func (s *stepper) parts(r keyrange.Range, wanted float64) []keyrange.Range {
	parts := []keyrange.Range{r}
	if len(s.next) >= rangesPerServer*max(len(s.world.Ready), 1) {
		return parts
	}
	if key, ok := s.world.Load.Cut(r, wanted); ok {
		left, _ := r.SplitAfter(key)
		parts = append(parts, left)
	}
	if key, ok := s.world.Load.Cut(r, s.loadOf(r)-wanted); ok {
		_, right := r.SplitAfter(key)
		parts = append(parts, right)
	}
	return parts
}

// cutOut releases a part of a range to another server.
func (s *stepper) cutOut(i int, keys keyrange.Range, to string) {
	whole := s.next[i]
	var parts []Assignment
	if keys.First > whole.First {
		left := whole
		left.Last = keys.First - 1
		parts = append(parts, left)
	}
	moved := whole
	moved.Range = keys
	s.release(&moved, to)
	parts = append(parts, moved)
	if keys.Last < whole.Last {
		right := whole
		right.First = keys.Last + 1
		parts = append(parts, right)
	}
	s.next = slices.Replace(s.next, i, i+1, parts...)
}

// merge joins neighbours that one server holds under one fence.
func (s *stepper) merge() {
	merged := s.next[:0]
	for _, a := range s.next {
		if n := len(merged); n > 0 && mergeable(merged[n-1], a) {
			merged[n-1].Last = a.Last
			continue
		}
		merged = append(merged, a)
	}
	s.next = merged
}

// mergeable reports whether two neighbours can be one range. Ranges with a handover
// of their own stay apart, since each is needed for the first grant.
func mergeable(a, b Assignment) bool {
	return a.Phase == Held && b.Phase == Held && a.Server == b.Server &&
		a.Fence == b.Fence && a.Handover == b.Handover
}

// moving reports whether ranges are on their way; load is spread when they have arrived.
func (s *stepper) moving() bool {
	return slices.ContainsFunc(s.next, func(a Assignment) bool {
		return a.Phase == Releasing && s.ready(a.Server.ID)
	})
}

func (s *stepper) ready(id string) bool {
	_, ok := s.readyServer(id)
	return ok
}

func (s *stepper) readyServer(id string) (Candidate, bool) {
	i := slices.IndexFunc(s.world.Ready, func(c Candidate) bool { return c.ID == id })
	if i < 0 {
		return Candidate{}, false
	}
	return s.world.Ready[i], true
}

// loadOf returns the load of a range; by its width where loads are unknown.
func (s *stepper) loadOf(r keyrange.Range) float64 {
	width := float64(r.Width()) / float64(keyrange.Count)
	if s.world.Load == nil {
		return width
	}
	return s.world.Load.Of(r) + width
}

// loads returns each ready server's load in relation to its capacity, with what is on its way to it.
func (s *stepper) loads() map[string]float64 {
	loads := make(map[string]float64, len(s.world.Ready))
	for _, c := range s.world.Ready {
		loads[c.ID] = 0
	}
	for _, a := range s.next {
		id := a.Server.ID
		if a.Phase == Releasing && a.Next != "" {
			id = a.Next
		}
		if c, ok := s.readyServer(id); ok && a.Phase != Free {
			loads[id] += s.loadOf(a.Range) / c.Capacity
		}
	}
	return loads
}

// fairLoad is the load in relation to capacity if all servers had the same.
func (s *stepper) fairLoad() float64 {
	capacity := 0.0
	for _, c := range s.world.Ready {
		capacity += c.Capacity
	}
	return s.loadOf(keyrange.All) / capacity
}

// least returns the server that has least load once the extra load is added.
func (s *stepper) least(loads map[string]float64, extra float64) Candidate {
	return slices.MinFunc(s.world.Ready, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(loads[a.ID]+extra/a.Capacity, loads[b.ID]+extra/b.Capacity),
			cmp.Compare(a.ID, b.ID))
	})
}

// byLoad returns the ready servers, the busiest first.
func (s *stepper) byLoad(loads map[string]float64) []Candidate {
	servers := slices.Clone(s.world.Ready)
	slices.SortFunc(servers, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(loads[b.ID], loads[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return servers
}
