package hotkey

import (
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/placement"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// SliceLoad is the observed load of one slice.
type SliceLoad struct {
	Slice int
	Owner record.SessionID
	// Rate is the slice's load, for example in requests per second. All loads have the
	// same unit.
	Rate float64
	// Fixed excludes the slice from moves, because it is moving or has moved recently.
	Fixed bool
}

// Move moves a slice from one server session to another.
type Move struct {
	Slice int              `json:"slice"`
	From  record.SessionID `json:"from"`
	To    record.SessionID `json:"to"`
}

// Options are the bounds of a plan. A zero field means its default.
type Options struct {
	// Trigger is the ratio of the largest load to the mean load, both per weight, below
	// which Plan returns no moves.
	Trigger float64
	// Target is the ratio at which Plan stops. It is below Trigger, so that small
	// changes of load don't move slices back and forth (hysteresis).
	Target float64
	// MinGain is the least by which a step must lower the largest load, as a share of
	// the mean load.
	MinGain float64
	// MaxMoves is the largest number of moves in a plan.
	MaxMoves int
}

// Defaults returns the default bounds.
func Defaults() Options {
	return Options{Trigger: 1.4, Target: 1.2, MinGain: 0.05, MaxMoves: 4}
}

func (o Options) withDefaults() Options {
	defaults := Defaults()
	if o.Trigger == 0 {
		o.Trigger = defaults.Trigger
	}
	if o.Target == 0 {
		o.Target = defaults.Target
	}
	if o.MinGain == 0 {
		o.MinGain = defaults.MinGain
	}
	if o.MaxMoves == 0 {
		o.MaxMoves = defaults.MaxMoves
	}
	return o
}

// serverLoad is a server with its slices and load after the moves planned so far.
type serverLoad struct {
	placement.Server
	weight float64
	load   float64
	slices []SliceLoad
	// least and most are the bounds on the number of slices; see placement.ShareBounds.
	least, most int
}

// loadPerWeight returns the server's load per weight.
func (s *serverLoad) loadPerWeight() float64 {
	return s.load / s.weight
}

// step moves one slice off the most loaded server to the server to and, if back is not
// negative, one slice back in exchange. out and back index the slices of the two
// servers.
type step struct {
	to        *serverLoad
	out, back int
	// peak is the larger load per weight of the two servers after the step.
	peak float64
	// gain is how much the step lowers the sum of the servers' squared loads.
	gain float64
}

// crossZoneGainFactor is the factor on the gain of a step to another zone, so that
// steps within the zone are preferred.
const crossZoneGainFactor = 0.9

// Plan returns moves that lower the largest load per weight. It repeatedly takes the
// best step off the most loaded server until the target is reached, no step gains
// enough or MaxMoves is used up. Every server keeps a number of slices that package
// placement accepts as its share, otherwise the planner would move slices back; so a
// slice with high load is often exchanged for one with low load. Plan returns no moves
// below the trigger, and the same moves for equal input.
func Plan(loads []SliceLoad, servers []placement.Server, options Options) []Move {
	options = options.withDefaults()
	serverLoads, mean := newServerLoads(loads, servers)
	if len(serverLoads) < 2 || mean <= 0 {
		return nil
	}
	if mostLoaded(serverLoads).loadPerWeight() < options.Trigger*mean {
		return nil
	}
	var moves []Move
	for {
		from := mostLoaded(serverLoads)
		if from.loadPerWeight() <= options.Target*mean {
			return moves
		}
		limit := from.loadPerWeight() - options.MinGain*mean
		best, found := bestStep(serverLoads, from, limit, options.MaxMoves-len(moves))
		if !found {
			return moves
		}
		moves = append(moves, applyStep(from, best)...)
	}
}

// newServerLoads returns the loads of all servers that are not leaving, ordered by ID,
// and their mean load per weight. Slices of other servers don't count.
func newServerLoads(loads []SliceLoad, servers []placement.Server) (serverLoads []*serverLoad, mean float64) {
	byID := map[record.SessionID]*serverLoad{}
	totalWeight := 0.0
	for _, server := range servers {
		if server.Leaving || byID[server.ID] != nil {
			continue
		}
		weight := max(server.Weight, 0)
		if weight == 0 {
			weight = 1
		}
		entry := &serverLoad{Server: server, weight: weight}
		byID[server.ID] = entry
		serverLoads = append(serverLoads, entry)
		totalWeight += weight
	}
	slices.SortFunc(serverLoads, func(a, b *serverLoad) int { return compareID(a.ID, b.ID) })
	total := 0.0
	for _, load := range loads {
		if owner := byID[load.Owner]; owner != nil {
			owner.slices = append(owner.slices, load)
			owner.load += load.Rate
			total += load.Rate
		}
	}
	for _, entry := range serverLoads {
		entry.least, entry.most = placement.ShareBounds(len(loads), entry.weight, totalWeight)
	}
	return serverLoads, total / totalWeight
}

func compareID(a, b record.SessionID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// mostLoaded returns the server with the largest load per weight and, among equals, the
// one with the lowest ID. serverLoads must not be empty.
func mostLoaded(serverLoads []*serverLoad) *serverLoad {
	return slices.MaxFunc(serverLoads, func(a, b *serverLoad) int {
		switch {
		case a.loadPerWeight() < b.loadPerWeight():
			return -1
		case a.loadPerWeight() > b.loadPerWeight():
			return 1
		}
		return compareID(b.ID, a.ID)
	})
}

// bestStep returns the step off the server from that has the largest gain among those
// whose peak is at most limit, and false if there is none. An exchange takes two moves.
func bestStep(serverLoads []*serverLoad, from *serverLoad, limit float64, movesLeft int) (best step, found bool) {
	consider := func(candidate step) {
		if candidate.peak <= limit && (!found || candidate.gain > best.gain) {
			best, found = candidate, true
		}
	}
	for _, to := range serverLoads {
		if to == from {
			continue
		}
		mayMoveOne := len(from.slices) > from.least && len(to.slices) < to.most
		for out := range from.slices {
			if from.slices[out].Fixed {
				continue
			}
			if mayMoveOne && movesLeft >= 1 {
				consider(newStep(from, to, out, -1))
			}
			if movesLeft < 2 {
				continue
			}
			for back := range to.slices {
				if !to.slices[back].Fixed {
					consider(newStep(from, to, out, back))
				}
			}
		}
	}
	return best, found
}

// newStep returns the step that moves a slice out and, if back is not negative,
// another one back, with its peak and gain.
func newStep(from, to *serverLoad, out, back int) step {
	moved := from.slices[out].Rate
	if back >= 0 {
		moved -= to.slices[back].Rate
	}
	fromLoad := (from.load - moved) / from.weight
	toLoad := (to.load + moved) / to.weight
	s := step{to: to, out: out, back: back, peak: max(fromLoad, toLoad)}
	s.gain = from.squaredLoad(from.load) - from.squaredLoad(from.load-moved)
	s.gain += to.squaredLoad(to.load) - to.squaredLoad(to.load+moved)
	if to.Zone != from.Zone {
		s.gain *= crossZoneGainFactor
	}
	return s
}

// squaredLoad returns what the given load of the server contributes to the sum of squared
// loads.
func (s *serverLoad) squaredLoad(load float64) float64 {
	return load * load / s.weight
}

// applyStep applies a step to the servers' loads and returns its moves. A moved slice is
// fixed for the rest of the plan.
func applyStep(from *serverLoad, s step) []Move {
	moves := []Move{moveSlice(from, s.to, s.out)}
	if s.back >= 0 {
		moves = append(moves, moveSlice(s.to, from, s.back))
	}
	return moves
}

// moveSlice moves the slice at index between two servers.
func moveSlice(from, to *serverLoad, index int) Move {
	moved := from.slices[index]
	from.slices = slices.Delete(from.slices, index, index+1)
	from.load -= moved.Rate
	moved.Fixed = true
	moved.Owner = to.ID
	to.slices = append(to.slices, moved)
	to.load += moved.Rate
	return Move{Slice: moved.Slice, From: from.ID, To: to.ID}
}
