package leader

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// Write implements Store for one host. Some writes succeed but return an error, as if the answer were lost.
func (h *simHost) Write(ctx context.Context, plan assign.Plan, next assign.Fence) (assign.Plan, error) {
	sim := h.sim
	time.Sleep(5 * time.Millisecond)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !sim.connected(h.self.Name, "store") {
		return assign.Plan{}, errNoAnswer
	}
	at := uint64(len(sim.records))
	if next.Offset() != at {
		return assign.Plan{}, ErrConflict
	}
	plan.Version = next
	sim.append(plan)
	if sim.chance(0.05) {
		return assign.Plan{}, errNoAnswer
	}
	if next.Era() != sim.era.Number() {
		return assign.Plan{}, ErrConflict
	}
	h.next = follow.Position{Era: sim.era, Offset: at + 1}
	return plan, nil
}

// append appends a plan to the topic. The caller holds sim.mu.
func (sim *simulation) append(plan assign.Plan) {
	id := fmt.Sprintf("%d/%d", sim.era, len(sim.records))
	sim.plans[id] = plan
	sim.records = append(sim.records, follow.Record{Value: []byte(id), Offset: uint64(len(sim.records))})
	sim.written = append(sim.written, sim.now())
}

// NextVersion implements Store.
func (h *simHost) NextVersion() assign.Fence {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	return assign.FenceAt(h.next.Era.Number(), h.next.Offset)
}

// registered returns the registrations that the log holds. After a restore, these are older ones until
// the hosts register again.
func (sim *simulation) registered() []assign.Host {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, h := range sim.hosts {
		if h.next.Era == sim.era {
			host := h.self
			host.Era = sim.era.Number()
			sim.registrations[host.Name] = host
		}
	}
	return slices.Collect(maps.Values(sim.registrations))
}

// reach returns another host, if this one can call it. Otherwise it waits until the call times out.
func (h *simHost) reach(ctx context.Context, host assign.Host) (*simHost, error) {
	sim := h.sim
	sim.mu.Lock()
	i := slices.IndexFunc(sim.hosts, func(other *simHost) bool { return other.self.Name == host.Name })
	to := sim.hosts[i]
	ok := sim.connected(h.self.Name, host.Name) && to.stop != nil
	sim.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	return to, nil
}

// Adopt implements Peers.
func (h *simHost) Adopt(ctx context.Context, host assign.Host, plan assign.Plan) error {
	to, err := h.reach(ctx, host)
	if err != nil {
		return err
	}
	if to.self.Incarnation != host.Incarnation {
		return nil
	}
	to.current.AdoptOfUnknownAge(plan)
	if !to.renewer.AwaitStaleCalls(ctx) {
		return errNoAnswer
	}
	return nil
}

// NewerPlan implements Peers.
func (h *simHost) NewerPlan(ctx context.Context, host assign.Host, known assign.Fence) (PeerPlan, error) {
	to, err := h.reach(ctx, host)
	if err != nil {
		return PeerPlan{}, err
	}
	h.sim.mu.Lock()
	hide := h.sim.hidePlans
	h.sim.mu.Unlock()
	answer := PeerPlan{Incarnation: to.self.Incarnation}
	if plan := to.current.ActedBy(); plan.Version > known && !hide {
		answer.Newer = &plan
	}
	return answer, nil
}
