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
	// Rate is the slice's load, in requests per second for example.
	Rate float64
	// Fixed says that the slice must not move now, because it is moving or moved lately.
	Fixed bool
}

// Move gives a slice to another server.
type Move struct {
	Slice int              `json:"slice"`
	From  record.SessionID `json:"from"`
	To    record.SessionID `json:"to"`
}

// Options bound a plan. Zero fields take the defaults.
type Options struct {
	// Trigger is the ratio of the largest load to the mean above which a plan is made.
	Trigger float64
	// Target is the ratio at which a plan is good enough. The gap between the
	// two keeps small changes of load from moving slices to and fro.
	Target float64
	// MinGain is the least a step must take off the largest load, as a share of the mean.
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

// serverLoad is a server with its slices, as the plan has them so far.
type serverLoad struct {
	placement.Server
	weight float64
	load   float64
	slices []SliceLoad
	// least and most bound the number of slices by the server's share.
	least, most int
}

// relative is the server's load per weight.
func (s *serverLoad) relative() float64 {
	return s.load / s.weight
}

// step moves one slice from the hottest server, and another back where back is not negative.
type step struct {
	to        *serverLoad
	out, back int
	// peak is the larger relative load of the two servers after the step.
	peak float64
	// gain is how much the step takes off the sum of the servers' squared loads.
	gain float64
}

// farGain is what a step to another zone counts for, compared to one within the zone.
const farGain = 0.9

// Plan returns moves that lower the largest load per weight. Every server
// keeps a number of slices that package placement accepts as its share, so a
// hot slice is often exchanged for a cold one. Load is first moved off the
// hottest server. Plan returns no moves below the trigger, and the same moves for equal input.
func Plan(loads []SliceLoad, servers []placement.Server, options Options) []Move {
	options = options.withDefaults()
	table, mean := newTable(loads, servers)
	if len(table) < 2 || mean <= 0 {
		return nil
	}
	if hottest(table).relative() < options.Trigger*mean {
		return nil
	}
	var moves []Move
	for {
		from := hottest(table)
		if from.relative() <= options.Target*mean {
			return moves
		}
		limit := from.relative() - options.MinGain*mean
		best, found := bestStep(table, from, limit, options.MaxMoves-len(moves))
		if !found {
			return moves
		}
		moves = append(moves, apply(from, best)...)
	}
}

// newTable sorts the slices by their servers. The mean is the load per weight.
func newTable(loads []SliceLoad, servers []placement.Server) (table []*serverLoad, mean float64) {
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
		each := &serverLoad{Server: server, weight: weight}
		byID[server.ID] = each
		table = append(table, each)
		totalWeight += weight
	}
	slices.SortFunc(table, func(a, b *serverLoad) int { return compareID(a.ID, b.ID) })
	total := 0.0
	for _, load := range loads {
		if owner := byID[load.Owner]; owner != nil {
			owner.slices = append(owner.slices, load)
			owner.load += load.Rate
			total += load.Rate
		}
	}
	for _, each := range table {
		each.least, each.most = placement.ShareBounds(len(loads), each.weight, totalWeight)
	}
	return table, total / totalWeight
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

func hottest(table []*serverLoad) *serverLoad {
	return slices.MaxFunc(table, func(a, b *serverLoad) int {
		switch {
		case a.relative() < b.relative():
			return -1
		case a.relative() > b.relative():
			return 1
		}
		return compareID(b.ID, a.ID)
	})
}

// bestStep returns the step off the server with the largest gain of those that
// leave no peak above limit, and false where there is none.
func bestStep(table []*serverLoad, from *serverLoad, limit float64, movesLeft int) (best step, found bool) {
	consider := func(candidate step) {
		if candidate.peak <= limit && (!found || candidate.gain > best.gain) {
			best, found = candidate, true
		}
	}
	for _, to := range table {
		if to == from {
			continue
		}
		mayGive := len(from.slices) > from.least && len(to.slices) < to.most
		for out := range from.slices {
			if from.slices[out].Fixed {
				continue
			}
			if mayGive && movesLeft >= 1 {
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

// newStep computes the effect of moving a slice out and another back.
func newStep(from, to *serverLoad, out, back int) step {
	moved := from.slices[out].Rate
	if back >= 0 {
		moved -= to.slices[back].Rate
	}
	fromLoad := (from.load - moved) / from.weight
	toLoad := (to.load + moved) / to.weight
	s := step{to: to, out: out, back: back, peak: max(fromLoad, toLoad)}
	s.gain = from.squared(from.load) - from.squared(from.load-moved)
	s.gain += to.squared(to.load) - to.squared(to.load+moved)
	if to.Zone != from.Zone {
		s.gain *= farGain
	}
	return s
}

// squared is a load's part in the sum of squares.
func (s *serverLoad) squared(load float64) float64 {
	return load * load / s.weight
}

// apply changes the table and returns the step's moves. A moved slice is fixed
// for the rest of the plan.
func apply(from *serverLoad, s step) []Move {
	moves := []Move{transfer(from, s.to, s.out)}
	if s.back >= 0 {
		moves = append(moves, transfer(s.to, from, s.back))
	}
	return moves
}

func transfer(from, to *serverLoad, index int) Move {
	moved := from.slices[index]
	from.slices = slices.Delete(from.slices, index, index+1)
	from.load -= moved.Rate
	moved.Fixed = true
	moved.Owner = to.ID
	to.slices = append(to.slices, moved)
	to.load += moved.Rate
	return Move{Slice: moved.Slice, From: from.ID, To: to.ID}
}
