package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

// rememberTimeout bounds one question to another host for request IDs.
const rememberTimeout = 250 * time.Millisecond

// Remembered returns the request IDs that this keeper remembers of the slices.
func (k *Keeper) Remembered(args peer.RememberedArgs) []idempotency.Entry {
	if args.Service != k.service || args.Count <= 0 {
		return nil
	}
	wanted := make(map[int]bool, len(args.Slices))
	for _, slice := range args.Slices {
		wanted[slice] = true
	}
	return k.memory.Snapshot(func(id idempotency.ID) bool {
		return id.Service == k.service && wanted[ownership.SliceOf(id.Key, args.Count)]
	})
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
