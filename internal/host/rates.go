package host

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/hotkey"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/planner"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

const (
	// rateInterval is the time between two measurements of the slices' load.
	rateInterval = time.Second
	// minReportedRate is the load from which a slice is reported to other hosts, in requests per second.
	minReportedRate = 0.5
	// minMeanServerRate is the mean load of a service's servers from which its
	// slices are moved to balance load, in requests per second.
	minMeanServerRate = 10
	// moveCooldown is how long a slice is not moved to balance load after its last change.
	moveCooldown = 10 * time.Second
)

// sliceRates holds the load of the slices of the sessions whose primary this host is,
// and when this host first saw the present version of each slice. It is safe for
// concurrent use.
type sliceRates struct {
	mu      sync.Mutex
	rates   map[string]*hotkey.Rates
	latest  []peer.SliceRate
	changes map[ownership.SliceKey]sliceChange
}

// sliceChange is a version of a slice and when this host first saw it.
type sliceChange struct {
	version uint64
	seen    time.Time
}

// current returns the latest measured loads.
func (r *sliceRates) current() []peer.SliceRate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// update adds the requests counted since the last call and computes the loads anew.
func (r *sliceRates) update(now time.Duration, counts map[ownership.SliceKey]int, services []settings.Service) {
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
		for slice, rate := range rates.Update(now) {
			if rate >= minReportedRate {
				r.latest = append(r.latest, peer.SliceRate{Service: name, Slice: slice, Rate: rate})
			}
		}
	}
}

// cooledDown reports whether this host has seen the slice under its version for moveCooldown.
func (r *sliceRates) cooledDown(key ownership.SliceKey, version uint64) bool {
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
	return time.Since(change.seen) >= moveCooldown
}

// rateLoop measures the load of the slices of the sessions whose primary this host is.
func (h *Host) rateLoop(ctx context.Context) {
	loop.Every(ctx, rateInterval, func(context.Context) {
		var services []settings.Service
		h.view.Read(func(state *settings.State, _ *ownership.Table) {
			services = state.Services()
		})
		h.rates.update(h.clock(), h.gateway.TakeSliceCounts(), services)
	})
}

// sliceLoads returns the load of every slice of a service, summed over the reports of all
// hosts, and the total in requests per second. Slices that may not move now are marked Fixed.
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
		cooledDown := h.rates.cooledDown(key, uint64(slice.Version))
		loads = append(loads, hotkey.SliceLoad{
			Slice: number,
			Owner: slice.Owner,
			Rate:  bySlice[number],
			Fixed: slice.Moving || !cooledDown,
		})
	}
	return loads, total
}

// allRates returns the loads that all hosts report, each for the slices of the sessions
// whose primary it is.
func (h *Host) allRates() []peer.SliceRate {
	rates := h.rates.current()
	for _, host := range h.members.All() {
		if host.Name != h.config.Name {
			rates = append(rates[:len(rates):len(rates)], host.Rates...)
		}
	}
	return rates
}

// balancePlan returns moves of hot slices that lower the load of the most loaded
// server, false if there are none or the service has too little load. It is called
// only for services that have no other plan to append.
func (h *Host) balancePlan(service settings.Service, table *ownership.Table, rates []peer.SliceRate) (record.Plan, bool) {
	servers := planner.PlacementServers(service, table)
	loads, total := h.sliceLoads(service, table, rates)
	if len(servers) < 2 || total < minMeanServerRate*float64(len(servers)) {
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
