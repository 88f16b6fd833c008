package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/hotkey"
	"github.com/poplarcroft/poplarcroft/internal/placement"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// Strategy names how keys are assigned to servers.
type Strategy string

// Strategies.
const (
	// ConsistentHashing hashes keys and servers to a ring with many points for each server.
	ConsistentHashing Strategy = "consistent-hashing"
	// EvenSlices gives every server the same number of slices.
	EvenSlices Strategy = "even-slices"
	// MovedSlices starts like EvenSlices and then moves hot slices to servers with less load.
	MovedSlices Strategy = "moved-slices"
)

// Strategies lists all strategies, the baseline first.
func Strategies() []Strategy {
	return []Strategy{ConsistentHashing, EvenSlices, MovedSlices}
}

// HotConfig describes a run of requests with keys, in steps of one second. One
// server leaves after a third of the run, and a new one joins after two thirds.
type HotConfig struct {
	Strategy Strategy
	Seed     uint64
	Servers  int
	Slices   int
	Keys     int
	// Rate is the number of requests per second.
	Rate int
	// HotShare is the share of requests that go to the hot set, which has HotKeys
	// keys. After every HotSetInterval another set of keys becomes hot.
	HotShare       float64
	HotKeys        int
	HotSetInterval time.Duration
	Duration       time.Duration
}

// DefaultHotConfig returns a configuration with the size of the service Revize in Moravia.
func DefaultHotConfig() HotConfig {
	return HotConfig{
		Seed:           1,
		Servers:        20,
		Slices:         256,
		Keys:           20_000,
		Rate:           2000,
		HotShare:       0.3,
		HotKeys:        10,
		HotSetInterval: 30 * time.Second,
		Duration:       3 * time.Minute,
	}
}

// Check returns an error for the first invalid value of the configuration.
func (c HotConfig) Check() error {
	switch {
	case c.Servers < 3 || c.Servers > 1000:
		return errors.New("experiment: servers must be 3 to 1000")
	case c.Slices <= c.Servers || c.Slices > 65536:
		return errors.New("experiment: slices must be more than servers and at most 65536")
	case c.HotShare < 0 || c.HotShare > 1 || c.HotKeys < 1:
		return errors.New("experiment: hot share must be 0 to 1, and hot keys at least 1")
	}
	return nil
}

const (
	// ringPoints is the number of a server's points on the ring.
	ringPoints = 128
	// zipfExponent is the exponent of the Zipf distribution of the keys that are not hot.
	zipfExponent = 1.05
	// settleSteps is the number of steps after a change of the hot set that
	// SettledImbalance leaves out.
	settleSteps = 10
	// stepsPerPlan is the number of steps between two plans of MovedSlices.
	stepsPerPlan = 2
	// cooldownSteps is the number of steps after a move in which a slice is not moved again.
	cooldownSteps = 10
)

// HotResult is what one run measured.
type HotResult struct {
	Strategy Strategy `json:"strategy"`
	Seed     uint64   `json:"seed"`
	// Imbalance is the largest load of a server divided by the mean load,
	// averaged over all steps. SettledImbalance leaves out the settleSteps steps
	// after each change of the hot set.
	Imbalance        float64 `json:"imbalance"`
	SettledImbalance float64 `json:"settled"`
	// Floor is the load of the hottest key divided by the mean load of a server,
	// averaged over all steps. It is a lower bound of Imbalance for every strategy,
	// because a key has one server.
	Floor float64 `json:"floor"`
	// LeaveChurn and JoinChurn are the share of the key space that moved to
	// another server when a server left or joined, divided by the share that had
	// to move.
	LeaveChurn float64 `json:"leave_churn"`
	JoinChurn  float64 `json:"join_churn"`
	// HotMoved is the share of the slices that were moved because of their load, per minute.
	HotMoved float64 `json:"hot_moved_per_minute"`
}

// hotModel is the state of one run. owners is used by the strategies with
// slices, ring by ConsistentHashing.
type hotModel struct {
	config  HotConfig
	rand    *rand.Rand
	zipf    *rand.Zipf
	servers []placement.Server
	owners  []record.SessionID
	ring    ring
	rates   *hotkey.Rates
	// lastMove is the step at which each slice was last moved because of its load.
	lastMove  []int
	loadMoves int
	// sliceOf and positionOf map each key to its slice and its position on the ring.
	sliceOf    []int
	positionOf []uint64
}

// RunHot runs the simulation once. The configuration must be valid.
func RunHot(config HotConfig) HotResult {
	m := newHotModel(config)
	result := HotResult{Strategy: config.Strategy, Seed: config.Seed}
	steps := int(config.Duration / time.Second)
	hotSetSteps := int(config.HotSetInterval / time.Second)
	settledSteps := 0
	for step := range steps {
		switch step {
		case steps / 3:
			result.LeaveChurn = m.replaceServers(m.servers[1:])
		case 2 * steps / 3:
			joined := placement.Server{ID: record.SessionID(config.Servers + 1)}
			result.JoinChurn = m.replaceServers(append(m.servers, joined))
		}
		imbalance, floor := m.step(step, step/hotSetSteps)
		result.Floor += floor / float64(steps)
		result.Imbalance += imbalance / float64(steps)
		if step%hotSetSteps >= settleSteps {
			result.SettledImbalance += imbalance
			settledSteps++
		}
	}
	result.SettledImbalance /= float64(max(settledSteps, 1))
	result.HotMoved = float64(m.loadMoves) / float64(config.Slices) / config.Duration.Minutes()
	return result
}

func newHotModel(config HotConfig) *hotModel {
	random := rand.New(rand.NewPCG(config.Seed, 0))
	m := &hotModel{
		config:   config,
		rand:     random,
		zipf:     rand.NewZipf(random, zipfExponent, 1, uint64(config.Keys-1)),
		rates:    hotkey.NewRates(config.Slices),
		lastMove: make([]int, config.Slices),
	}
	for i := range m.lastMove {
		m.lastMove[i] = -cooldownSteps
	}
	for key := range config.Keys {
		position := xxhash.Sum64String(fmt.Sprintf("%d-%d", config.Seed, key))
		m.positionOf = append(m.positionOf, position)
		m.sliceOf = append(m.sliceOf, int(position%uint64(config.Slices)))
	}
	for i := range config.Servers {
		m.servers = append(m.servers, placement.Server{ID: record.SessionID(i + 1)})
	}
	m.owners = placement.Assign(config.Slices, m.servers, nil)
	m.ring = newRing(m.servers)
	return m
}

// replaceServers replaces the servers. It returns the share of the key space that
// moved, divided by the share that had to move: what the removed servers owned,
// and an even share for each added server.
func (m *hotModel) replaceServers(servers []placement.Server) float64 {
	before := m.servers
	m.servers = servers
	if m.config.Strategy == ConsistentHashing {
		previous := m.ring
		m.ring = newRing(servers)
		return m.ring.churn(previous, before, servers)
	}
	owners := placement.Assign(m.config.Slices, servers, m.owners)
	moved := placement.Moves(m.owners, owners)
	required := m.requiredMoves(servers)
	m.owners = owners
	return float64(moved) / float64(required)
}

// requiredMoves returns the least number of slices that have to move: those of
// removed servers, and an even share for each added server.
func (m *hotModel) requiredMoves(servers []placement.Server) int {
	owned := map[record.SessionID]int{}
	for _, owner := range m.owners {
		owned[owner]++
	}
	needed := 0
	for _, server := range servers {
		if owned[server.ID] == 0 {
			needed += m.config.Slices / len(servers)
		}
		delete(owned, server.ID)
	}
	for _, count := range owned {
		needed += count
	}
	return needed
}

// step sends the requests of one second and, with MovedSlices, plans moves. It
// returns the largest load of a server and the largest load of a key, both
// divided by the mean load of a server.
func (m *hotModel) step(step, hotSet int) (imbalance, floor float64) {
	loads := map[record.SessionID]int{}
	keys := map[int]int{}
	for range m.config.Rate {
		key := m.drawKey(hotSet)
		keys[key]++
		slice := m.sliceOf[key]
		m.rates.Add(slice, 1)
		if m.config.Strategy == ConsistentHashing {
			loads[m.ring.owner(m.positionOf[key])]++
		} else {
			loads[m.owners[slice]]++
		}
	}
	rates := m.rates.Update(time.Duration(step+1) * time.Second)
	if m.config.Strategy == MovedSlices && step%stepsPerPlan == 0 {
		m.rebalance(step, rates)
	}
	mean := float64(m.config.Rate) / float64(len(m.servers))
	return largestValue(loads) / mean, largestValue(keys) / mean
}

func largestValue[K comparable](counts map[K]int) float64 {
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	return float64(most)
}

// drawKey draws the key of a request. A hash spreads the keys of the hot set over
// all keys.
func (m *hotModel) drawKey(hotSet int) int {
	if m.rand.Float64() < m.config.HotShare {
		index := hotSet*m.config.HotKeys + m.rand.IntN(m.config.HotKeys)
		return int(xxhash.Sum64String(fmt.Sprint(m.config.Seed, index)) % uint64(m.config.Keys))
	}
	return int(m.zipf.Uint64())
}

// rebalance moves slices as package hotkey plans it from their request rates.
func (m *hotModel) rebalance(step int, rates []float64) {
	loads := make([]hotkey.SliceLoad, len(rates))
	for slice, rate := range rates {
		loads[slice] = hotkey.SliceLoad{
			Slice: slice,
			Owner: m.owners[slice],
			Rate:  rate,
			Fixed: step-m.lastMove[slice] < cooldownSteps,
		}
	}
	for _, move := range hotkey.Plan(loads, m.servers, hotkey.Options{}) {
		m.owners[move.Slice] = move.To
		m.lastMove[move.Slice] = step
		m.loadMoves++
	}
}
