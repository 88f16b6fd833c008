package leader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/registry"
)

// fate is what becomes of a write to the log.
type fate int

const (
	// answered writes are carried out and answered.
	answered fate = iota
	// unanswered writes are carried out, but their answer is lost.
	unanswered
	// lost writes are neither carried out nor answered.
	lost
	// late writes are not answered and carried out seconds later.
	late
	// repeated writes are answered, and carried out once more seconds later.
	repeated
)

// drawFate draws what becomes of a write. The caller holds sim.mu.
func (sim *simulation) drawFate() fate {
	switch p := sim.storeRNG.Float64(); {
	case p < 0.03:
		return unanswered
	case p < 0.06:
		return lost
	case p < 0.2:
		return late
	case p < 0.23:
		return repeated
	}
	return answered
}

// carryOut makes a write that is carried out when append is called: at once, some seconds later, twice or never. It reports
// whether the write is answered, and waits until the call times out if it is not.
func (sim *simulation) carryOut(ctx context.Context, fate fate, write func()) bool {
	sim.mu.Lock()
	if fate == late || fate == repeated {
		delay := time.Second + time.Duration(sim.storeRNG.IntN(5000))*time.Millisecond
		time.AfterFunc(delay, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			write()
		})
	}
	if fate != late && fate != lost {
		write()
	}
	sim.mu.Unlock()
	if fate == answered || fate == repeated {
		return true
	}
	<-ctx.Done()
	return false
}

// Write implements Store for one host. What is carried out late is so only if the topic still ends where it did.
func (h *simHost) Write(ctx context.Context, plan assign.Plan, next assign.Fence) (assign.Plan, error) {
	sim := h.sim
	time.Sleep(5 * time.Millisecond)
	sim.mu.Lock()
	connected, fate := sim.connected(h.self.Name, "store"), sim.drawFate()
	sim.mu.Unlock()
	if !connected {
		return assign.Plan{}, errNoAnswer
	}
	plan.Version = next
	if sim.leadersBefore && h.self.KnownOrder == "" {
		plan = withoutConnections(plan)
	}
	err := ErrConflict
	write := func() {
		if next.Offset() != uint64(len(sim.records)) {
			return
		}
		sim.appendPlan(plan)
		if next.Era() == sim.era.Number() {
			err = nil
		}
	}
	if !sim.carryOut(ctx, fate, write) {
		return assign.Plan{}, errNoAnswer
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if err != nil {
		return assign.Plan{}, err
	}
	h.next = follow.Position{Era: sim.era, Offset: next.Offset() + 1}
	return plan, nil
}

// withoutConnections returns the plan as a leader of the build before writes it, which knows nothing of connections.
func withoutConnections(plan assign.Plan) assign.Plan {
	plan = plan.Clone()
	plan.Leader.FillsConnections = false
	for i := range plan.Hosts {
		plan.Hosts[i].Connections = 0
	}
	return plan
}

// appendPlan appends a plan to the topic. The caller holds sim.mu.
func (sim *simulation) appendPlan(plan assign.Plan) {
	id := fmt.Sprintf("%d/%d", sim.era, len(sim.records))
	sim.plans[id] = plan
	sim.append(planKey, []byte(id))
}

// append appends a record to the topic and returns its position. The caller holds sim.mu.
func (sim *simulation) append(key string, value []byte) follow.Position {
	position := follow.Position{Era: sim.era, Offset: uint64(len(sim.records))}
	sim.records = append(sim.records, follow.Record{Key: key, Value: value, Offset: position.Offset})
	sim.written = append(sim.written, sim.now())
	return position
}

// registerTimeout is how long a host waits for the answer to its registration.
const registerTimeout = time.Second

// register writes the host's registration if that is due, as package edge does.
func (h *simHost) register(ctx context.Context) {
	sim := h.sim
	if !h.registration.Due(sim.now()) {
		return
	}
	sim.mu.Lock()
	era := h.next.Era.Number()
	connected, fate := sim.connected(h.self.Name, "store"), sim.drawFate()
	if sim.lateRegistration == h.self.Name {
		sim.lateRegistration, fate = "", late
	}
	sim.mu.Unlock()
	value, err := h.registration.Record(era)
	if err != nil || !connected {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var position follow.Position
	if sim.carryOut(ctx, fate, func() { position = sim.append(registry.Key(h.self.Name), value) }) {
		sim.mu.Lock()
		written := position
		sim.mu.Unlock()
		h.registration.Written(written, era, sim.now())
	}
}

// NextVersion implements Store.
func (h *simHost) NextVersion() assign.Fence {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	return assign.FenceAt(h.next.Era.Number(), h.next.Offset)
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
func (h *simHost) Adopt(ctx context.Context, host assign.Host, plan assign.Plan) (string, error) {
	to, err := h.reach(ctx, host)
	if err != nil && h.sim.endsFalsely() {
		return "none", nil
	}
	if err != nil {
		return "", err
	}
	if to.self.Incarnation != host.Incarnation {
		return to.self.Incarnation, nil
	}
	to.current.AdoptOfUnknownAge(plan)
	if !to.renewer.AwaitStaleCalls(ctx) {
		return "", errNoAnswer
	}
	return to.self.Incarnation, nil
}

// endsFalsely reports whether hosts out of reach seem to have ended.
func (sim *simulation) endsFalsely() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.falseEnds
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
