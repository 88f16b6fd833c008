package edge

import (
	"context"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/relay"
)

// Names of the topics in the hosts' calls to their relays.
const (
	topicOperatorRecords relay.Topic = "orders"
	topicState           relay.Topic = "state"
	topicServers         relay.Topic = "servers"
)

const (
	// serversInterval is the time between two reads of the service discovery at the platform, and
	// leaderServersInterval that on the leader.
	serversInterval       = time.Second
	leaderServersInterval = 400 * time.Millisecond
	// stateMaxAge and serversMaxAge are the ages of the last confirmation from which on the shared state and the service
	// discovery count as not confirmed. Without failures they are up to twice stateWait and serversInterval.
	stateMaxAge   = 5 * time.Second
	serversMaxAge = 2500 * time.Millisecond
	// readDetour is the part of Config.ConfigApply that is left for a host to get a configuration in another way than through its
	// relay: the time until it notices that the relay does not answer, and a read.
	readDetour = 600 * time.Millisecond
	// configReads is the number of reads of the operators' records that fit into Config.ConfigApply while there is nothing new.
	configReads = 4
	// minHedgeDelay and maxHedgeDelay bound the time after which a read that is not answered is repeated; see follow.Hedged.
	minHedgeDelay = 250 * time.Millisecond
	maxHedgeDelay = 1500 * time.Millisecond
	// unlistedStateInterval is the least time between two reads of the shared state by a host that the plan does not list yet.
	// It has no relay, and while many hosts start each registration would end its read.
	unlistedStateInterval = 200 * time.Millisecond
	// registrationsInterval is the least time between two reads of the shared state after one that held registrations only.
	// More of them may follow, and the plan that lists them comes later.
	registrationsInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff limit the time after a failed read. It doubles with each failure
	// in a row.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// readLoop repeats a read until the context ends, with a backoff after each failure. It logs the
// first failure of an outage and the recovery under the given name.
func (h *Host) readLoop(ctx context.Context, name string, read func(context.Context) error) {
	backoff := minBackoff
	failing := false
	for ctx.Err() == nil {
		err := read(ctx)
		if err == nil {
			if failing {
				h.log.Event("dependency", "name", name, "outcome", "regained")
			}
			failing = false
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !failing {
			h.log.Event("dependency", "name", name, "outcome", "lost", "err", err.Error())
		}
		failing = true
		loop.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// followOperatorRecords is the loop that follows the operators' records.
func (h *Host) followOperatorRecords(ctx context.Context) {
	follower := follow.New(h.relay.Source(topicOperatorRecords, hedged(h.platform.OperatorRecords()), relay.Options{
		MaxWait: h.config.ConfigApply / configReads,
		MaxAge:  h.configMaxAge(),
	}))
	h.readLoop(ctx, "operators' records", func(ctx context.Context) error {
		return h.operatorRecords.read(ctx, follower)
	})
}

// hedged returns a source whose reads are repeated if they are not answered.
func hedged(source follow.Source) follow.Source {
	return &follow.Hedged{Source: source, MinDelay: minHedgeDelay, MaxDelay: maxHedgeDelay}
}

// configMaxAge returns the age of the last confirmation from which on the operators' records count as not confirmed.
func (h *Host) configMaxAge() time.Duration {
	return max(h.config.ConfigApply-readDetour, h.config.ConfigApply/2)
}

// followState is the loop that follows the hosts' shared state. It registers this host there once it
// knows the era of the log, and after each restore.
func (h *Host) followState(ctx context.Context) {
	follower := follow.New(h.relay.Source(topicState, hedged(h.platform.State()), relay.Options{MinInterval: h.currentStateInterval, MaxAge: stateMaxAge}))
	h.readLoop(ctx, "state", func(ctx context.Context) error {
		if err := h.state.read(ctx, follower, stateWait); err != nil {
			return err
		}
		return h.state.register(ctx)
	})
}

// followServers is the loop that follows the service discovery. The host is not ready before the
// first successful read.
func (h *Host) followServers(ctx context.Context) {
	source := h.relay.Source(topicServers, hedged(h.platform.Servers()), relay.Options{
		NewFilter:   func() relay.Filter { return newEntryFilter(h.platform).keep },
		MinInterval: h.currentServersInterval,
		MaxAge:      serversMaxAge,
	})
	follower := follow.New(source)
	h.readLoop(ctx, "servers", func(ctx context.Context) error {
		if err := h.servers.read(ctx, follower); err != nil {
			return err
		}
		h.seenServers.Store(true)
		return nil
	})
}

// noteReference notes that the relay has read a topic up to a position, whose last record is still being fetched.
func (h *Host) noteReference(topic relay.Topic, end follow.Position) {
	if topic == topicOperatorRecords {
		h.operatorRecords.progress.noteOthersRead(end.Ordinal())
	}
}

// mustReadDirectly reports whether this host reads a topic from the platform itself while it can. A leader does, since it
// acts for all hosts by what it reads; but a configuration may be large and the leader's link narrow, and the relay's is
// chosen to be wide.
func (h *Host) mustReadDirectly(topic relay.Topic) bool {
	return topic != topicOperatorRecords && h.leader.IsLeader()
}

// currentServersInterval returns the minimum time between two reads of the service discovery at
// the platform.
func (h *Host) currentServersInterval() time.Duration {
	if h.leader.IsLeader() {
		return leaderServersInterval
	}
	return serversInterval
}

// currentStateInterval returns the minimum time between the starts of two reads of the shared state at the platform.
func (h *Host) currentStateInterval() time.Duration {
	if h.leader.IsLeader() {
		return 0
	}
	if !slices.ContainsFunc(h.current.Plan().Hosts, func(host assign.Host) bool { return host.Name == h.self.Name }) {
		return unlistedStateInterval
	}
	if h.state.readRegistrations {
		return registrationsInterval
	}
	return 0
}
