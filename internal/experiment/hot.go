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

// Strategy names how keys are given to servers.
type Strategy string

// Strategies.
const (
	// ConsistentHashing puts every server at many points of a ring.
	ConsistentHashing Strategy = "consistent-hashing"
	// EvenSlices divides slices evenly.
	EvenSlices Strategy = "even-slices"
	// MovedSlices divides slices evenly and moves hot ones.
	MovedSlices Strategy = "moved-slices"
)

// Strategies lists all strategies, the baseline first.
func Strategies() []Strategy {
	return []Strategy{ConsistentHashing, EvenSlices, MovedSlices}
}

// HotConfig describes a run of requests by key in steps of a second. A server
// leaves after a third of the run and another joins after two thirds.
type HotConfig struct {
	Strategy Strategy
	Seed     uint64
	Servers  int
	Slices   int
	Keys     int
	// Rate is the number of requests per second.
	Rate int
	// HotShare is the share of requests that go to HotKeys keys. Every HotMoves others turn hot.
	HotShare float64
	HotKeys  int
	HotMoves time.Duration
	Duration time.Duration
}

// DefaultHotConfig returns the size of Revize in Moravia.
func DefaultHotConfig() HotConfig {
	return HotConfig{
		Seed:     1,
		Servers:  20,
		Slices:   256,
		Keys:     20_000,
		Rate:     2000,
		HotShare: 0.3,
		HotKeys:  10,
		HotMoves: 30 * time.Second,
		Duration: 3 * time.Minute,
	}
}

// Check returns the first fault of the configuration.
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
	// keyExponent is the exponent of the keys' zipf distribution.
	keyExponent = 1.05
	// settleSteps is the number of steps after a hot set moves that the settled imbalance leaves out.
	settleSteps = 10
	// planEvery is the number of steps between two plans.
	planEvery = 2
	// restSteps is the number of steps for which a moved slice stays where it is.
	restSteps = 10
)

// HotResult is what one run measured.
type HotResult struct {
	Strategy Strategy `json:"strategy"`
	Seed     uint64   `json:"seed"`
	// Imbalance is the mean over all steps of the largest load over the mean
	// load, and Settled the same without the steps after a hot set moved.
	Imbalance float64 `json:"imbalance"`
	Settled   float64 `json:"settled"`
	// Floor is the mean of the hottest single key's load over the mean load of
	// a server: no placement of whole keys gets below it.
	Floor float64 `json:"floor"`
	// LeaveChurn and JoinChurn are the shares of the key space that changed
	// servers, over the shares that had to.
	LeaveChurn float64 `json:"leave_churn"`
	JoinChurn  float64 `json:"join_churn"`
	// HotMoved is the share of the key space that moved per minute because of load.
	HotMoved float64 `json:"hot_moved_per_minute"`
}

// hotModel is one run.
type hotModel struct {
	config  HotConfig
	rand    *rand.Rand
	zipf    *rand.Zipf
	servers []placement.Server
	owners  []record.SessionID
	ring    ring
	rates   *hotkey.Rates
	// moved is the step at which each slice moved last.
	moved    []int
	hotMoves int
	// sliceOf and pointOf are the keys' places.
	sliceOf []int
	pointOf []uint64
}

// RunHot runs the steps once.
func RunHot(config HotConfig) HotResult {
	m := newHotModel(config)
	result := HotResult{Strategy: config.Strategy, Seed: config.Seed}
	steps := int(config.Duration / time.Second)
	hotSteps := int(config.HotMoves / time.Second)
	settled := 0
	for step := range steps {
		switch step {
		case steps / 3:
			result.LeaveChurn = m.change(m.servers[1:])
		case 2 * steps / 3:
			joined := placement.Server{ID: record.SessionID(config.Servers + 1)}
			result.JoinChurn = m.change(append(m.servers, joined))
		}
		imbalance, floor := m.step(step, step/hotSteps)
		result.Floor += floor / float64(steps)
		result.Imbalance += imbalance / float64(steps)
		if step%hotSteps >= settleSteps {
			result.Settled += imbalance
			settled++
		}
	}
	result.Settled /= float64(max(settled, 1))
	result.HotMoved = float64(m.hotMoves) / float64(config.Slices) / config.Duration.Minutes()
	return result
}

func newHotModel(config HotConfig) *hotModel {
	random := rand.New(rand.NewPCG(config.Seed, 0))
	m := &hotModel{
		config: config,
		rand:   random,
		zipf:   rand.NewZipf(random, keyExponent, 1, uint64(config.Keys-1)),
		rates:  hotkey.NewRates(config.Slices),
		moved:  make([]int, config.Slices),
	}
	for i := range m.moved {
		m.moved[i] = -restSteps
	}
	for key := range config.Keys {
		point := xxhash.Sum64String(fmt.Sprintf("%d-%d", config.Seed, key))
		m.pointOf = append(m.pointOf, point)
		m.sliceOf = append(m.sliceOf, int(point%uint64(config.Slices)))
	}
	for i := range config.Servers {
		m.servers = append(m.servers, placement.Server{ID: record.SessionID(i + 1)})
	}
	m.owners = placement.Assign(config.Slices, m.servers, nil)
	m.ring = newRing(m.servers)
	return m
}

// change replaces the servers and returns the share that moved over the share
// that had to: what the lost servers owned or an even share for each new one.
func (m *hotModel) change(servers []placement.Server) float64 {
	before := m.servers
	m.servers = servers
	if m.config.Strategy == ConsistentHashing {
		former := m.ring
		m.ring = newRing(servers)
		return m.ring.churn(former, before, servers)
	}
	owners := placement.Assign(m.config.Slices, servers, m.owners)
	moved := placement.Moves(m.owners, owners)
	had := m.hadToMove(servers)
	m.owners = owners
	return float64(moved) / float64(had)
}

// hadToMove counts the slices of servers that are gone and the least that new servers need.
func (m *hotModel) hadToMove(servers []placement.Server) int {
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

// step sends one second of requests and returns the largest load of a server
// over the mean, and that of a key.
func (m *hotModel) step(step, hotSet int) (imbalance, floor float64) {
	loads := map[record.SessionID]int{}
	keys := map[int]int{}
	for range m.config.Rate {
		key := m.draw(hotSet)
		keys[key]++
		slice := m.sliceOf[key]
		m.rates.Add(slice, 1)
		if m.config.Strategy == ConsistentHashing {
			loads[m.ring.owner(m.pointOf[key])]++
		} else {
			loads[m.owners[slice]]++
		}
	}
	rates := m.rates.Roll(time.Duration(step+1) * time.Second)
	if m.config.Strategy == MovedSlices && step%planEvery == 0 {
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

// draw draws a key. The hot keys of a set are spread over all keys.
func (m *hotModel) draw(hotSet int) int {
	if m.rand.Float64() < m.config.HotShare {
		index := hotSet*m.config.HotKeys + m.rand.IntN(m.config.HotKeys)
		return int(xxhash.Sum64String(fmt.Sprint(m.config.Seed, index)) % uint64(m.config.Keys))
	}
	return int(m.zipf.Uint64())
}

func (m *hotModel) rebalance(step int, rates []float64) {
	loads := make([]hotkey.SliceLoad, len(rates))
	for slice, rate := range rates {
		loads[slice] = hotkey.SliceLoad{
			Slice: slice,
			Owner: m.owners[slice],
			Rate:  rate,
			Fixed: step-m.moved[slice] < restSteps,
		}
	}
	for _, move := range hotkey.Plan(loads, m.servers, hotkey.Options{}) {
		m.owners[move.Slice] = move.To
		m.moved[move.Slice] = step
		m.hotMoves++
	}
}
