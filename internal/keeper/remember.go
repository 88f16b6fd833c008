package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

// rememberTimeout bounds one question to another host for request IDs.
const rememberTimeout = 250 * time.Millisecond

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

// tellWitness passes an entry on to the witness. Where it cannot keep up, the
// entry stays with the lessors alone.
func (k *Keeper) tellWitness(entry idempotency.Entry) {
	select {
	case k.witnessed <- entry:
	default:
	}
}

// witnessDuty copies claims and their ends to a host that is no lessor of the
// session, in another zone where there is one. It remembers them when all
// lessors are lost. Nothing waits for it: what is lost within its delay stays lost.
func (k *Keeper) witnessDuty(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case entry := <-k.witnessed:
			batch := gather(entry, k.witnessed)
			addr := k.deps.Witness(k.addr, k.zone, k.lessorHosts())
			if addr == "" {
				continue
			}
			args := peer.WitnessArgs{Entries: batch}
			k.deps.Peers.CallTimeout(ctx, rememberTimeout, addr, "Peer.Witness", args, &peer.Empty{})
		}
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
