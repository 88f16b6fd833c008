package host

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

const (
	// snapshotInterval is the time between two checks whether to take a snapshot of another host.
	snapshotInterval = 200 * time.Millisecond
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 2 * time.Second
	// logStaleAfter is the time since the log's last confirmation from which this host takes snapshots of other hosts.
	logStaleAfter = time.Second
	// checkpointRecords is the number of records since the last checkpoint at which the next one is due.
	checkpointRecords = 500
	// checkpointMaxAge is the age of the last checkpoint at which the next one is due, if records followed it.
	checkpointMaxAge = 10 * time.Minute
	// checkpointInterval is the time between two checks whether a checkpoint is due.
	checkpointInterval = time.Second
)

// snapshotLoop restores the snapshot of the most advanced host while the log does not
// answer. A host that starts during an outage of the log gets its state that way.
func (h *Host) snapshotLoop(ctx context.Context) {
	loop.Every(ctx, snapshotInterval, func(ctx context.Context) {
		if time.Since(h.view.ConfirmedAt()) < logStaleAfter {
			return
		}
		if source, ok := h.mostAdvancedPeer(); ok {
			h.takeSnapshot(ctx, source)
		}
	})
}

// mostAdvancedPeer returns the peer address of the host that has applied the most
// records; ok is false if none has applied more than this host.
func (h *Host) mostAdvancedPeer() (addr string, ok bool) {
	best := h.view.Applied()
	for _, host := range h.members.All() {
		if host.Name != h.config.Name && host.Applied > best {
			best, addr, ok = host.Applied, host.PeerAddr, true
		}
	}
	return addr, ok
}

// takeSnapshot fetches the snapshot of the host at addr and restores it here.
func (h *Host) takeSnapshot(ctx context.Context, addr string) {
	var reply peer.SnapshotReply
	err := h.peers.CallTimeout(ctx, snapshotTimeout, addr, "Peer.Snapshot", peer.Empty{}, &reply)
	if err != nil {
		return
	}
	if err := h.view.Restore(reply.Data); err != nil {
		h.logger.Warn("cannot restore the snapshot of another host", "host", h.config.Name, "error", err, "peer", addr)
	}
}

// checkpointLoop appends a checkpoint when one is due, well before the log trims the records that it covers.
func (h *Host) checkpointLoop(ctx context.Context) {
	checkpoint := h.view.LastCheckpoint()
	checkpointSeenAt := time.Now()
	loop.Every(ctx, checkpointInterval, func(ctx context.Context) {
		if last := h.view.LastCheckpoint(); last != checkpoint {
			checkpoint, checkpointSeenAt = last, time.Now()
		}
		if h.leaving.Load() || !h.checkpointDue(checkpoint, checkpointSeenAt) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, planTimeout)
		defer cancel()
		if h.writer.Checkpoint(ctx) == nil {
			h.record(timeline.KindCheckpoint, "")
		}
	})
}

// checkpointDue reports whether this host must append a checkpoint. The host of
// rank 0 does so first; each further rank waits for a tenth of checkpointRecords or
// 5 s more, so that normally only one host appends.
func (h *Host) checkpointDue(checkpoint logservice.Offset, checkpointSeenAt time.Time) bool {
	rank := h.checkpointRank()
	records := h.view.Applied() - checkpoint
	if records >= checkpointRecords+logservice.Offset(rank*checkpointRecords/10) {
		return true
	}
	return records > 1 && time.Since(checkpointSeenAt) >= checkpointMaxAge+time.Duration(rank)*checkpointInterval*5
}

// checkpointRank returns this host's position among the live hosts, ordered by name.
func (h *Host) checkpointRank() int {
	for rank, host := range h.members.Live() {
		if host.Name == h.config.Name {
			return rank
		}
	}
	return 0
}
