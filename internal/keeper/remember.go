package keeper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

const (
	// rememberTimeout bounds one question to another host for request IDs.
	rememberTimeout = 250 * time.Millisecond
	// witnessWait bounds the time for which a claim waits for the witness.
	witnessWait = 250 * time.Millisecond
	// witnessPause is how long no claim waits after the witness was silent.
	witnessPause = time.Second
	// witnessTries is how often entries are sent to the witness.
	witnessTries = 3
)

// Remembered returns the request IDs that this keeper remembers of the slices.
func (k *Keeper) Remembered(args peer.RememberedArgs) []idempotency.Entry {
	return k.memory.Snapshot(args.Matches)
}

// recall asks all hosts for the request IDs of the slices that came to the session by
// the log alone, as after the loss of their lessors. A slice that was adopted brought
// its IDs along. Hosts that do not answer are passed over: what only they
// remembered is lost. It returns true once a quorum of the lessors keeps the rest.
func (k *Keeper) recall(ctx context.Context) bool {
	k.recalling.Lock()
	defer k.recalling.Unlock()
	missing := k.toRecall()
	if len(missing) == 0 {
		return true
	}
	args := peer.RememberedArgs{Service: k.service, Count: k.values.Slices}
	for slice := range missing {
		args.Slices = append(args.Slices, slice)
	}
	entries := k.askRemembered(ctx, args)
	if ctx.Err() != nil || !k.takeOver(ctx, entries) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for slice, epoch := range missing {
		k.recalled[slice] = max(k.recalled[slice], epoch)
	}
	return true
}

// toRecall returns the slices, with their epochs, whose request IDs are not known to be complete.
func (k *Keeper) toRecall() map[int]uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	missing := make(map[int]uint64)
	for slice, epoch := range k.holds {
		if k.recalled[slice] < uint64(epoch) {
			missing[slice] = uint64(epoch)
		}
	}
	return missing
}

// recalledAll reports whether the request IDs of slices that the session hands over are complete
// here, each as of the epoch under which the session had it.
func (k *Keeper) recalledAll(grants []backend.SliceGrant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, grant := range grants {
		handover := k.handovers[ownership.SliceKey{Service: k.service, Slice: grant.Slice}]
		if k.recalled[grant.Slice] < uint64(handover.Epoch) {
			return false
		}
	}
	return true
}

// askRemembered asks all known hosts at once, this one included.
func (k *Keeper) askRemembered(ctx context.Context, args peer.RememberedArgs) []idempotency.Entry {
	var (
		mu      sync.Mutex
		entries []idempotency.Entry
		calls   sync.WaitGroup
	)
	for _, addr := range k.deps.Hosts() {
		calls.Go(func() {
			var reply peer.RememberedReply
			if k.deps.Peers.CallTimeout(ctx, rememberTimeout, addr, "Peer.Remembered", args, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			entries = append(entries, reply.Entries...)
		})
	}
	calls.Wait()
	return entries
}

// witnessEntry is an entry on its way to the witness. kept, if there is one, is closed
// when the witness has it or is not asked any longer.
type witnessEntry struct {
	entry idempotency.Entry
	kept  chan struct{}
}

// tellWitness passes an entry on to the witness and returns a channel that is closed when it is there. Where
// the witness cannot keep up, the entry stays with the lessors alone.
func (k *Keeper) tellWitness(entry idempotency.Entry) <-chan struct{} {
	kept := make(chan struct{})
	select {
	case k.witnessed <- witnessEntry{entry, kept}:
	default:
		close(kept)
	}
	return kept
}

// awaitWitness waits until the witness has a claim, for witnessWait at most, and not at all right after
// the witness was silent: the loss of all lessors at once is rare, and requests must not wait for a lost witness.
func (k *Keeper) awaitWitness(ctx context.Context, kept <-chan struct{}) {
	if k.deps.Clock() < time.Duration(k.silentUntil.Load()) {
		return
	}
	timer := time.NewTimer(witnessWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-kept:
	case <-timer.C:
	}
}

// witnessDuty copies claims and their ends to a host that is no lessor of the
// session, in another zone where there is one. It remembers them when all
// lessors are lost.
func (k *Keeper) witnessDuty(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-k.witnessed:
			batch := gather(first, k.witnessed)
			k.copyToWitness(ctx, batch)
			for _, entry := range batch {
				close(entry.kept)
			}
		}
	}
}

// copyToWitness copies entries, and tries again where the witness does not answer.
func (k *Keeper) copyToWitness(ctx context.Context, batch []witnessEntry) {
	var args peer.WitnessArgs
	for _, entry := range batch {
		args.Entries = append(args.Entries, entry.entry)
	}
	for range witnessTries {
		addr := k.deps.Witness(k.addr, k.zone, k.lessorHosts())
		if addr == "" {
			return
		}
		err := k.deps.Peers.CallTimeout(ctx, rememberTimeout, addr, "Peer.Witness", args, &peer.Empty{})
		if err == nil || ctx.Err() != nil {
			return
		}
		k.silentUntil.Store(int64(k.deps.Clock() + witnessPause))
		k.record(timeline.KindWitnessSilent, fmt.Sprintf("%s: %v", addr, err))
	}
}

// lessorHosts returns the names of the hosts of the session's lessors.
func (k *Keeper) lessorHosts() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	hosts := make([]string, 0, len(k.lessors))
	for _, lessor := range k.lessors {
		hosts = append(hosts, lessor.Host)
	}
	return hosts
}
