package host

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

const (
	// suspectInterval is the time between two checks for new evidence to send.
	suspectInterval = 50 * time.Millisecond
	// suspectTimeout bounds one call that sends evidence.
	suspectTimeout = 300 * time.Millisecond
)

// suspectLoop sends new evidence against requests to all other hosts, so that every
// host rejects a request that crashes servers, wherever its caller sends it again.
func (h *Host) suspectLoop(ctx context.Context) {
	var since uint64
	loop.Every(ctx, suspectInterval, func(ctx context.Context) {
		records, next := h.guard.Export(since)
		since = next
		if len(records) > 0 {
			h.recordSuspects(records)
			h.broadcastSuspects(ctx, records)
		}
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

// broadcastSuspects sends evidence to all other hosts. It is not sent again if a call fails.
func (h *Host) broadcastSuspects(ctx context.Context, records []poison.Record) {
	var calls sync.WaitGroup
	for _, host := range h.members.All() {
		if host.Name == h.config.Name {
			continue
		}
		calls.Go(func() {
			args := peer.SuspectsArgs{Records: records}
			h.peers.CallTimeout(ctx, suspectTimeout, host.PeerAddr, "Peer.Suspects", args, &peer.Empty{})
		})
	}
	calls.Wait()
}
