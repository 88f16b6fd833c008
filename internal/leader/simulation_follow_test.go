package leader

import (
	"context"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/registry"
	"github.com/poplarcroft/poplarcroft/internal/relay"
)

// planKey is the key of the plan's record.
const planKey = "plan"

// Newest implements follow.Source for the topic. The answer is delayed at random.
func (h *simHost) Newest(ctx context.Context) (follow.Batch, error) {
	return h.read(ctx, func(records []follow.Record) ([]follow.Record, error) {
		last := make(map[string]uint64)
		for _, record := range records {
			last[record.Key] = record.Offset
		}
		return slices.DeleteFunc(slices.Clone(records), func(record follow.Record) bool { return last[record.Key] != record.Offset }), nil
	})
}

// Since implements follow.Source for the topic. The answer is delayed at random.
func (h *simHost) Since(ctx context.Context, from follow.Position, wait time.Duration) (follow.Batch, error) {
	return h.read(ctx, func(records []follow.Record) ([]follow.Record, error) {
		switch {
		case from.Era != h.sim.era:
			return nil, follow.ErrRestored
		case from.Offset > uint64(len(records)):
			return nil, follow.ErrCompacted
		}
		return records[from.Offset:], nil
	})
}

// read selects records of the topic and returns them after a random delay.
func (h *simHost) read(ctx context.Context, choose func([]follow.Record) ([]follow.Record, error)) (follow.Batch, error) {
	h.sim.mu.Lock()
	pause := time.Duration(5+h.sim.rng.IntN(300)) * time.Millisecond
	connected := h.sim.connected(h.self.Name, "store")
	records, err := choose(h.sim.records)
	batch := follow.Batch{Records: slices.Clone(records), Era: h.sim.era, End: uint64(len(h.sim.records))}
	h.sim.mu.Unlock()
	loop.Sleep(ctx, pause)
	if !connected {
		return follow.Batch{}, errNoAnswer
	}
	return batch, err
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

// otherHosts returns the hosts of other zones.
func (h *simHost) otherHosts() []relay.Host {
	var hosts []relay.Host
	for _, other := range h.current.Plan().Hosts {
		if other.Zone != h.self.Zone && !other.Retired {
			hosts = append(hosts, relay.Host{Name: other.Name})
		}
	}
	return hosts
}

// followPlan reads the topic through the relay of the zone and registers the host, as package edge does.
func (h *simHost) followPlan(ctx context.Context) {
	follower := follow.New(h.relay.Source("plan", h, relay.Options{}))
	for ctx.Err() == nil {
		began := h.sim.now()
		change, err := follower.Read(ctx, 0)
		if err != nil {
			h.current.NoteReadFailure()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if change.Snapshot {
			h.current.NoteReadFailure()
		}
		if change.Restored {
			h.registration.Restored()
		}
		for _, record := range change.Records {
			h.apply(record, follower.Next().Era)
		}
		h.sim.mu.Lock()
		h.next = follower.Next()
		h.sim.mu.Unlock()
		if !change.Snapshot {
			h.current.Verify(began-change.Age.Confirmed, follower.Next().Era.Number())
		}
		h.register(ctx)
	}
}

// apply applies one record of the topic.
func (h *simHost) apply(record follow.Record, era follow.Era) {
	if record.Key == planKey {
		h.sim.mu.Lock()
		plan := h.sim.plans[string(record.Value)]
		h.sim.mu.Unlock()
		h.current.AdoptFromLog(plan, era.Number())
		return
	}
	if _, err := h.registered.Apply(record); err != nil {
		panic(err)
	}
	if record.Key == registry.Key(h.self.Name) {
		h.registration.Observe(record, era)
	}
}
