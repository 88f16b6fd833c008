package host

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

const (
	// suspectEvery is the time between two looks for new evidence to pass on.
	suspectEvery = 50 * time.Millisecond
	// suspectTimeout bounds one call that passes evidence on.
	suspectTimeout = 300 * time.Millisecond
)

// suspectDuty passes new evidence against requests on to all other hosts, so
// that a request that crashes servers is refused wherever its caller repeats it.
func (h *Host) suspectDuty(ctx context.Context) {
	var since uint64
	duty.Every(ctx, suspectEvery, func(ctx context.Context) {
		records, next := h.guard.Export(since)
		since = next
		if len(records) > 0 {
			h.noteSuspects(records)
			h.passOn(ctx, records)
		}
		h.guard.Expire()
	})
}

// noteSuspects records each request against which there is new evidence.
func (h *Host) noteSuspects(records []poison.Record) {
	for _, record := range records {
		if record.Cleared {
			continue
		}
		kind := timeline.KindRequestSuspected
		if h.guard.Check(record.Fingerprint) == poison.Condemned {
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

func (h *Host) passOn(ctx context.Context, records []poison.Record) {
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
