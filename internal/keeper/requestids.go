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
	// requestIDTimeout bounds one call that asks another host for request IDs or
	// copies request IDs to the witness.
	requestIDTimeout = 250 * time.Millisecond
	// witnessWait bounds the time for which a claim waits for the witness.
	witnessWait = 250 * time.Millisecond
	// witnessBackoff is how long no claim waits for the witness after a call to it has failed.
	witnessBackoff = time.Second
	// witnessAttempts is the largest number of attempts to copy a batch to the witness.
	witnessAttempts = 3
)

// RequestIDsOf returns the stored request IDs that args select, to any host.
func (k *Keeper) RequestIDsOf(args peer.RememberedArgs) []idempotency.Entry {
	return k.requestIDs.Snapshot(args.Matches)
}

// recoverRequestIDs asks all hosts for the request IDs of slices that the log alone
// has assigned to the session, as after the loss of all former lessors. An adopted
// slice needs this only if its request IDs were not complete. Hosts that do not
// answer are skipped, so request IDs that only they have are lost. It returns true
// once a quorum of the lessors has stored the others.
func (k *Keeper) recoverRequestIDs(ctx context.Context) bool {
	k.recoverMu.Lock()
	defer k.recoverMu.Unlock()
	missing := k.slicesToRecover()
	if len(missing) == 0 {
		return true
	}
	args := peer.RememberedArgs{Service: k.service, Count: k.values.Slices}
	for slice := range missing {
		args.Slices = append(args.Slices, slice)
	}
	entries := k.queryAllHosts(ctx, args)
	if ctx.Err() != nil || !k.storeAtQuorum(ctx, entries) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for slice, epoch := range missing {
		k.recovered[slice] = max(k.recovered[slice], epoch)
	}
	return true
}

// slicesToRecover returns the slices that the server holds, with their epochs,
// whose request IDs are not known to be complete.
func (k *Keeper) slicesToRecover() map[int]uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	missing := make(map[int]uint64)
	for slice, epoch := range k.holds {
		if k.recovered[slice] < uint64(epoch) {
			missing[slice] = uint64(epoch)
		}
	}
	return missing
}

// allRecovered reports whether the request IDs of slices that the session hands
// over are complete here, each for the epoch under which the session owned it.
func (k *Keeper) allRecovered(grants []backend.SliceGrant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, grant := range grants {
		handover := k.handovers[ownership.SliceKey{Service: k.service, Slice: grant.Slice}]
		if k.recovered[grant.Slice] < uint64(handover.Epoch) {
			return false
		}
	}
	return true
}

// queryAllHosts asks all known hosts concurrently, this one included, for the
// request IDs that args select.
func (k *Keeper) queryAllHosts(ctx context.Context, args peer.RememberedArgs) []idempotency.Entry {
	var (
		mu      sync.Mutex
		entries []idempotency.Entry
		calls   sync.WaitGroup
	)
	for _, addr := range k.deps.Hosts() {
		calls.Go(func() {
			var reply peer.RememberedReply
			if k.deps.Peers.CallTimeout(ctx, requestIDTimeout, addr, "Peer.Remembered", args, &reply) != nil {
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

// witnessEntry is an entry queued for the witness. witnessDone is closed when the
// witness has stored the entry or no further attempt is made.
type witnessEntry struct {
	entry       idempotency.Entry
	witnessDone chan struct{}
}

// sendToWitness queues an entry for the witness. The returned channel is closed
// when the witness has stored the entry or no further attempt is made. If the queue
// is full, the entry is not copied to the witness and only the lessors have it.
func (k *Keeper) sendToWitness(entry idempotency.Entry) <-chan struct{} {
	witnessDone := make(chan struct{})
	select {
	case k.witnessQueue <- witnessEntry{entry, witnessDone}:
	default:
		close(witnessDone)
	}
	return witnessDone
}

// waitForWitness waits until the attempt to copy a claim to the witness has ended,
// but at most for witnessWait, and not at all for witnessBackoff after a failed call:
// the loss of all lessors at once is rare, and requests must not wait for a lost witness.
func (k *Keeper) waitForWitness(ctx context.Context, witnessDone <-chan struct{}) {
	if k.deps.Clock() < time.Duration(k.skipWitnessUntil.Load()) {
		return
	}
	timer := time.NewTimer(witnessWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-witnessDone:
	case <-timer.C:
	}
}

// witnessLoop copies claims and their results to the witness: a host that is not a
// lessor of the session, in another zone if there is one. They can be recovered
// from it when all lessors are lost.
func (k *Keeper) witnessLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-k.witnessQueue:
			batch := collectBatch(first, k.witnessQueue)
			k.copyToWitness(ctx, batch)
			for _, entry := range batch {
				close(entry.witnessDone)
			}
		}
	}
}

// copyToWitness copies entries to the witness, in up to witnessAttempts attempts.
func (k *Keeper) copyToWitness(ctx context.Context, batch []witnessEntry) {
	var args peer.WitnessArgs
	for _, entry := range batch {
		args.Entries = append(args.Entries, entry.entry)
	}
	for range witnessAttempts {
		addr := k.deps.Witness(k.addr, k.zone, k.lessorHosts())
		if addr == "" {
			return
		}
		err := k.deps.Peers.CallTimeout(ctx, requestIDTimeout, addr, "Peer.Witness", args, &peer.Empty{})
		if err == nil || ctx.Err() != nil {
			return
		}
		k.skipWitnessUntil.Store(int64(k.deps.Clock() + witnessBackoff))
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
