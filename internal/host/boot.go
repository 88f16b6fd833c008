package host

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

const (
	// snapshotEvery is the time between two looks whether another host is far ahead.
	snapshotEvery = 200 * time.Millisecond
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 2 * time.Second
	// staleAfter is how long the log may be silent before a host asks others what they know.
	staleAfter = time.Second
	// checkpointRecords is the number of records after which a checkpoint is due.
	checkpointRecords = 500
	// checkpointAge is how long records may go without a checkpoint after them.
	checkpointAge = 10 * time.Minute
	// checkpointEvery is the time between two looks whether a checkpoint is due.
	checkpointEvery = time.Second
)

// bootDuty takes another host's snapshot while the log does not answer. A host
// that starts during an outage of the log gets its state that way.
func (h *Host) bootDuty(ctx context.Context) {
	duty.Every(ctx, snapshotEvery, func(ctx context.Context) {
		if time.Since(h.view.ConfirmedAt()) < staleAfter {
			return
		}
		if source, ok := h.ahead(); ok {
			h.takeSnapshot(ctx, source)
		}
	})
}

// ahead returns the peer address of the host that is furthest ahead of this one.
func (h *Host) ahead() (addr string, ok bool) {
	best := h.view.Applied()
	for _, host := range h.members.All() {
		if host.Name != h.config.Name && host.Applied > best {
			best, addr, ok = host.Applied, host.PeerAddr, true
		}
	}
	return addr, ok
}

func (h *Host) takeSnapshot(ctx context.Context, addr string) {
	var reply peer.SnapshotReply
	err := h.peers.CallTimeout(ctx, snapshotTimeout, addr, "Peer.Snapshot", peer.Empty{}, &reply)
	if err != nil {
		return
	}
	if err := h.view.Restore(reply.Data); err != nil {
		h.logger.Warn("another host's snapshot is unusable", "host", h.config.Name, "error", err)
	}
}

// checkpointDuty appends a checkpoint well before the log trims what lies before it.
func (h *Host) checkpointDuty(ctx context.Context) {
	covered := h.view.LastCheckpoint()
	coveredAt := time.Now()
	duty.Every(ctx, checkpointEvery, func(ctx context.Context) {
		if last := h.view.LastCheckpoint(); last != covered {
			covered, coveredAt = last, time.Now()
		}
		if h.leaving.Load() || !h.checkpointDue(covered, coveredAt) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, planTimeout)
		defer cancel()
		if h.writer.Checkpoint(ctx) == nil {
			h.record(timeline.KindCheckpoint, "")
		}
	})
}

// checkpointDue reports whether this host shall append a checkpoint. Hosts of a
// higher rank wait longer.
func (h *Host) checkpointDue(covered logservice.Offset, coveredAt time.Time) bool {
	rank := h.checkpointRank()
	records := h.view.Applied() - covered
	if records >= checkpointRecords+logservice.Offset(rank*checkpointRecords/10) {
		return true
	}
	return records > 1 && time.Since(coveredAt) >= checkpointAge+time.Duration(rank)*checkpointEvery*5
}

// checkpointRank is this host's place among the live ones.
func (h *Host) checkpointRank() int {
	for rank, host := range h.members.Live() {
		if host.Name == h.config.Name {
			return rank
		}
	}
	return 0
}
