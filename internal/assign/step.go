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
	// Reused holds the addresses that now belong to servers of other services.
	Reused map[string]bool
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
	case s.world.Reused[a.Server.Addr]:
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
	if s.world.Reused[a.Server.Addr] {
		s.free(a, "")
		return
	}
	if proof, ok := s.world.Proofs[a.First]; ok && proof.Fence == a.Fence {
		s.free(a, proof.Handover)
	}
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

// spreadOnce moves part of the busiest range of the busiest server.
func (s *stepper) spreadOnce(loads map[string]float64) bool {
	from, most := s.busiest(loads)
	fair := s.fairLoad()
	if most < overload*fair+chance*math.Sqrt(most*from.Capacity)/from.Capacity {
		return false
	}
	to := s.least(loads, 0)
	gap := (most - loads[to.ID]) / 2
	wanted := min(gap*from.Capacity, (most-fair)*from.Capacity)
	i := s.busiestRange(from.ID)
	if i < 0 || wanted <= 0 {
		return false
	}
	return s.moveOut(i, to.ID, wanted)
}

// moveOut releases a part of a range with nearly the wanted load to another server.
func (s *stepper) moveOut(i int, to string, wanted float64) bool {
	a := s.next[i]
	load := s.loadOf(a.Range)
	if load <= 1.2*wanted {
		s.release(&s.next[i], to)
		return true
	}
	if len(s.next) >= rangesPerServer*max(len(s.world.Ready), 1) {
		return false
	}
	key, ok := s.world.Load.Cut(a.Range, wanted)
	if !ok {
		return false
	}
	leftRange, rightRange := a.Range.SplitAfter(key)
	left, right := a, a
	left.Range, right.Range = leftRange, rightRange
	if math.Abs(s.loadOf(leftRange)-wanted) <= math.Abs(s.loadOf(rightRange)-wanted) {
		s.release(&left, to)
	} else {
		s.release(&right, to)
	}
	s.next = slices.Replace(s.next, i, i+1, left, right)
	return true
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

func (s *stepper) busiest(loads map[string]float64) (Candidate, float64) {
	busiest := slices.MaxFunc(s.world.Ready, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(loads[a.ID], loads[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return busiest, loads[busiest.ID]
}

// busiestRange returns the held range of the server that has most load, or -1.
func (s *stepper) busiestRange(id string) int {
	found, most := -1, 0.0
	for i, a := range s.next {
		if a.Phase != Held || a.Server.ID != id {
			continue
		}
		if load := s.loadOf(a.Range); load > most {
			found, most = i, load
		}
	}
	return found
}
