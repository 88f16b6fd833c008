package leader

import (
	"context"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/relay"
)

// Newest implements follow.Source for the plan.
func (h *modelHost) Newest(context.Context) (follow.Batch, error) {
	return follow.Batch{}, errModel
}

// Since implements follow.Source for the plan. The answer may come late.
func (h *modelHost) Since(ctx context.Context, offset uint64, wait time.Duration) (follow.Batch, error) {
	h.w.mu.Lock()
	pause := time.Duration(5+h.w.rng.IntN(300)) * time.Millisecond
	reached := h.w.reach(h.self.Name, "store")
	batch := follow.Batch{End: max(uint64(len(h.w.plans)), offset)}
	for at := offset; at < batch.End; at++ {
		batch.Records = append(batch.Records, follow.Record{Offset: at})
	}
	h.w.mu.Unlock()
	duty.Wait(ctx, pause)
	if !reached {
		return follow.Batch{}, errModel
	}
	return batch, nil
}

// ask implements the asking of another host for a relay.
func (h *modelHost) ask(ctx context.Context, host relay.Host, ask relay.Ask) (relay.Reply, error) {
	h.w.mu.Lock()
	i := slices.IndexFunc(h.w.hosts, func(other *modelHost) bool { return other.self.Name == host.Name })
	to := h.w.hosts[i]
	ok := h.w.reach(h.self.Name, host.Name) && to.stop != nil
	h.w.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return relay.Reply{}, errModel
	}
	return to.relay.Serve(ctx, ask), nil
}

// zone returns the hosts of this host's zone and its place among them.
func (h *modelHost) zone() (hosts []relay.Host, self int) {
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

// follow reads the plan through the relay of the zone, as hosts do.
func (h *modelHost) follow(ctx context.Context) {
	source := h.relay.Source("plan", h, relay.Options{})
	next := uint64(0)
	for ctx.Err() == nil {
		began := h.w.now()
		batch, err := source.Since(ctx, next, 0)
		if err != nil {
			h.current.Interrupt()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		learned := h.w.now()
		if batch.Age.Relayed {
			learned = began - batch.Age.Arrived
		}
		for _, record := range batch.Records {
			h.w.mu.Lock()
			plan := h.w.plans[record.Offset]
			h.w.mu.Unlock()
			h.current.Adopt(plan, learned)
		}
		next = batch.End
		h.current.Verify(began - batch.Age.Confirmed)
	}
}
