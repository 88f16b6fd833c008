package leader

import (
	"context"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/relay"
)

// Newest implements follow.Source for the plan. The simulation reads by offset only.
func (h *simHost) Newest(context.Context) (follow.Batch, error) {
	return follow.Batch{}, errNoAnswer
}

// Since implements follow.Source for the plan. The answer is delayed at random.
func (h *simHost) Since(ctx context.Context, from follow.Position, wait time.Duration) (follow.Batch, error) {
	h.sim.mu.Lock()
	pause := time.Duration(5+h.sim.rng.IntN(300)) * time.Millisecond
	connected := h.sim.connected(h.self.Name, "store")
	batch := follow.Batch{End: max(uint64(len(h.sim.plans)), from.Offset)}
	for at := from.Offset; at < batch.End; at++ {
		batch.Records = append(batch.Records, follow.Record{Offset: at})
	}
	h.sim.mu.Unlock()
	loop.Sleep(ctx, pause)
	if !connected {
		return follow.Batch{}, errNoAnswer
	}
	return batch, nil
}

// askRelay implements relay.Config.Ask: it reads from the relay of another host.
func (h *simHost) askRelay(ctx context.Context, host relay.Host, ask relay.Ask) (relay.Reply, error) {
	h.sim.mu.Lock()
	i := slices.IndexFunc(h.sim.hosts, func(other *simHost) bool { return other.self.Name == host.Name })
	to := h.sim.hosts[i]
	ok := h.sim.connected(h.self.Name, host.Name) && to.stop != nil
	h.sim.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return relay.Reply{}, errNoAnswer
	}
	return to.relay.Serve(ctx, ask), nil
}

// zoneHosts returns the hosts of this host's zone and the index of this host among them.
func (h *simHost) zoneHosts() (hosts []relay.Host, self int) {
	for _, other := range h.current.Plan().Hosts {
		if other.Zone != h.self.Zone || other.Retired {
			continue
		}
		if other.Name == h.self.Name {
			self = len(hosts)
		}
		hosts = append(hosts, relay.Host{Name: other.Name})
	}
	return hosts, self
}

// followPlan reads the plan through the relay of the zone, as package edge does.
func (h *simHost) followPlan(ctx context.Context) {
	source := h.relay.Source("plan", h, relay.Options{})
	next := uint64(0)
	for ctx.Err() == nil {
		began := h.sim.now()
		batch, err := source.Since(ctx, follow.Position{Offset: next}, 0)
		if err != nil {
			h.current.NoteReadFailure()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		learned := h.sim.now()
		if batch.Age.Relayed {
			learned = began - batch.Age.Arrived
		}
		for _, record := range batch.Records {
			h.sim.mu.Lock()
			plan := h.sim.plans[record.Offset]
			h.sim.mu.Unlock()
			h.current.Adopt(plan, learned)
		}
		next = batch.End
		h.current.Verify(began - batch.Age.Confirmed)
	}
}
