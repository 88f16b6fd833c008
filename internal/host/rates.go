package host

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/hotkey"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/planner"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

const (
	// rateEvery is the time between two readings of the slices' load.
	rateEvery = time.Second
	// minRate is the load below which a slice is not told to other hosts, in requests per second.
	minRate = 0.5
	// minMeanRate is the mean load of a service's servers below which its
	// slices are not moved for balance, in requests per second.
	minMeanRate = 10
	// restTime is how long a slice stays where it is after a change.
	restTime = 10 * time.Second
)

// sliceRates holds the load of the slices whose servers this host leads, and
// since when each slice has its present version. It is safe for concurrent use.
type sliceRates struct {
	mu      sync.Mutex
	rates   map[string]*hotkey.Rates
	latest  []peer.SliceRate
	changes map[ownership.SliceKey]sliceChange
}

type sliceChange struct {
	version uint64
	seen    time.Time
}

// current returns the latest loads.
func (r *sliceRates) current() []peer.SliceRate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// roll takes in the requests counted since the last call.
func (r *sliceRates) roll(now time.Duration, counts map[ownership.SliceKey]int, services []settings.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rates == nil {
		r.rates = make(map[string]*hotkey.Rates)
		r.changes = make(map[ownership.SliceKey]sliceChange)
	}
	for _, service := range services {
		if service.Values.Keyed && r.rates[service.Name] == nil {
			r.rates[service.Name] = hotkey.NewRates(service.Values.Slices)
		}
	}
	for key, count := range counts {
		if rates := r.rates[key.Service]; rates != nil {
			rates.Add(key.Slice, count)
		}
	}
	r.latest = nil
	for name, rates := range r.rates {
		for slice, rate := range rates.Roll(now) {
			if rate >= minRate {
				r.latest = append(r.latest, peer.SliceRate{Service: name, Slice: slice, Rate: rate})
			}
		}
	}
}

// rested reports whether the slice has kept its version for restTime.
func (r *sliceRates) rested(key ownership.SliceKey, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	change, known := r.changes[key]
	if !known || change.version != version {
		if r.changes == nil {
			r.changes = make(map[ownership.SliceKey]sliceChange)
		}
		r.changes[key] = sliceChange{version: version, seen: time.Now()}
		return false
	}
	return time.Since(change.seen) >= restTime
}

// rateDuty reads the load of the slices whose servers this host leads.
func (h *Host) rateDuty(ctx context.Context) {
	duty.Every(ctx, rateEvery, func(context.Context) {
		var services []settings.Service
		h.view.Read(func(state *settings.State, _ *ownership.Table) {
			services = state.Services()
		})
		h.rates.roll(h.clock(), h.gateway.TakeSliceCounts(), services)
	})
}

// sliceLoads returns the load of every slice of a service as all hosts tell it.
func (h *Host) sliceLoads(service settings.Service, table *ownership.Table, rates []peer.SliceRate) (loads []hotkey.SliceLoad, total float64) {
	bySlice := make(map[int]float64)
	for _, rate := range rates {
		if rate.Service == service.Name {
			bySlice[rate.Slice] += rate.Rate
			total += rate.Rate
		}
	}
	for number := range service.Values.Slices {
		key := ownership.SliceKey{Service: service.Name, Slice: number}
		slice := table.Slice(key)
		rested := h.rates.rested(key, uint64(slice.Version))
		loads = append(loads, hotkey.SliceLoad{
			Slice: number,
			Owner: slice.Owner,
			Rate:  bySlice[number],
			Fixed: slice.Moving || !rested,
		})
	}
	return loads, total
}

// allRates returns what every host tells of the slices whose servers it leads.
func (h *Host) allRates() []peer.SliceRate {
	rates := h.rates.current()
	for _, host := range h.members.All() {
		if host.Name != h.config.Name {
			rates = append(rates[:len(rates):len(rates)], host.Rates...)
		}
	}
	return rates
}

// balancePlan returns moves of hot slices that lower the largest load of a
// server. A service with anything else to do is left alone.
func (h *Host) balancePlan(service settings.Service, table *ownership.Table, rates []peer.SliceRate) (record.Plan, bool) {
	servers := planner.Servers(service, table)
	loads, total := h.sliceLoads(service, table, rates)
	if len(servers) < 2 || total < minMeanRate*float64(len(servers)) {
		return record.Plan{}, false
	}
	plan := record.Plan{Service: service.Name}
	for _, move := range hotkey.Plan(loads, servers, hotkey.Options{}) {
		slice := table.Slice(ownership.SliceKey{Service: service.Name, Slice: move.Slice})
		plan.Slices = append(plan.Slices, record.SlicePlan{
			Slice:     move.Slice,
			Base:      slice.Version,
			Successor: move.To,
			Move:      true,
		})
	}
	return plan, len(plan.Slices) > 0
}
