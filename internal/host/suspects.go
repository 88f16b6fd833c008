package host

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

const (
	// suspectInterval is the time between two checks for new evidence to send.
	suspectInterval = 50 * time.Millisecond
	// suspectTimeout bounds one call that sends evidence, and suspectRetryInterval is the time until
	// what was not taken is sent again.
	suspectTimeout       = 300 * time.Millisecond
	suspectRetryInterval = time.Second
)

// suspectLoop sends new evidence against requests to all other hosts, so that every
// host rejects a request that crashes servers, wherever its caller sends it again.
func (h *Host) suspectLoop(ctx context.Context) {
	var since uint64
	deliveries := poison.NewDeliveries(h.guard, suspectRetryInterval)
	loop.Every(ctx, suspectInterval, func(ctx context.Context) {
		records, next := h.guard.Export(since)
		since = next
		h.recordSuspects(records)
		h.broadcastSuspects(ctx, deliveries)
		h.guard.Expire()
	})
}

// recordSuspects records an event for each request against which there is new evidence.
func (h *Host) recordSuspects(records []poison.Record) {
	for _, record := range records {
		if record.Cleared {
			continue
		}
		kind := timeline.KindRequestSuspected
		if h.guard.Check(record.Fingerprint) == poison.Blocked {
			kind = timeline.KindRequestPoisoned
		}
		h.events.Record(timeline.Event{
			Kind:   kind,
			Offset: h.view.Applied(),
			Server: record.Death.Addr,
			Detail: record.Fingerprint.String(),
		})
	}
}

// broadcastSuspects starts a message to each host that has not taken all evidence yet.
func (h *Host) broadcastSuspects(ctx context.Context, deliveries *poison.Deliveries) {
	known := make(map[string]bool)
	for _, host := range h.members.All() {
		if host.Name == h.config.Name {
			continue
		}
		id := host.Name + "/" + host.Incarnation
		known[id] = true
		if records, ok := deliveries.Begin(id); ok {
			go func() {
				args := peer.SuspectsArgs{Records: records}
				err := h.peers.CallTimeout(ctx, suspectTimeout, host.PeerAddr, "Peer.Suspects", args, &peer.Empty{})
				deliveries.End(id, err == nil)
			}()
		}
	}
	deliveries.Retain(known)
}
