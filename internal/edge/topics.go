package edge

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/relay"
)

// Names of the topics among hosts.
const (
	topicOrders  relay.Topic = "orders"
	topicState   relay.Topic = "state"
	topicServers relay.Topic = "servers"
)

const (
	// serversEvery and serversEveryLeader are the times between two reads of the service discovery.
	serversEvery       = time.Second
	serversEveryLeader = 400 * time.Millisecond
	// retryPause and maxRetryPause bound the pause after a failed read; it doubles.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// follow repeats a read until the context ends, with a pause after a failure.
func (h *Host) follow(ctx context.Context, name string, read func(context.Context) error) {
	pause := retryPause
	failing := false
	for ctx.Err() == nil {
		err := read(ctx)
		if err == nil {
			if failing {
				h.log.Event("dependency", "name", name, "outcome", "regained")
			}
			failing = false
			pause = retryPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !failing {
			h.log.Event("dependency", "name", name, "outcome", "lost", "err", err.Error())
		}
		failing = true
		duty.Wait(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

func (h *Host) followOrders(ctx context.Context) {
	source := follow.Checked{Source: h.platform.Orders(), After: ordersCheckAfter}
	follower := follow.New(h.relay.Source(topicOrders, source, relay.Options{}))
	h.follow(ctx, "operators' records", func(ctx context.Context) error {
		return h.orders.read(ctx, follower)
	})
}

// followState registers this host, then follows the hosts' own topic.
func (h *Host) followState(ctx context.Context) {
	follower := follow.New(h.relay.Source(topicState, h.platform.State(), relay.Options{}))
	registered := false
	h.follow(ctx, "state", func(ctx context.Context) error {
		if !registered {
			if err := h.state.register(ctx, h.self); err != nil {
				return err
			}
			registered = true
		}
		return h.state.read(ctx, follower, stateWait)
	})
}

func (h *Host) followServers(ctx context.Context) {
	source := h.relay.Source(topicServers, h.platform.Servers(), relay.Options{
		NewFilter: func() relay.Filter { return newEntryFilter(h.platform).keep },
		Every:     h.serversEvery,
	})
	follower := follow.New(source)
	h.follow(ctx, "servers", func(ctx context.Context) error {
		if err := h.servers.read(ctx, follower); err != nil {
			return err
		}
		h.seenServers.Store(true)
		return nil
	})
}

// serversEvery is the time between two reads of the service discovery at the platform.
func (h *Host) serversEvery() time.Duration {
	if h.leader.Leads() {
		return serversEveryLeader
	}
	return serversEvery
}
