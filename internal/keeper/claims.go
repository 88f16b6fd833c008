package keeper

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

const (
	// claimQueueLength is the capacity of the queues of claims to be copied.
	claimQueueLength = 1024
	// maxCopyBatch is the largest number of entries copied in one call.
	maxCopyBatch = 128
)

// Lookup returns what is stored about a request without claiming it. It waits
// while the request runs on this host.
func (k *Keeper) Lookup(ctx context.Context, id idempotency.ID, digest idempotency.Digest) idempotency.Decision {
	if k.readRequestIDs(ctx) {
		k.recoverRequestIDs(ctx)
	}
	return k.requestIDs.Lookup(ctx, id, digest)
}

// Claim decides whether a non-idempotent request may run now. With KindNew,
// copied reports whether a quorum of the session's lessors, this one included,
// has stored the claim: only then may the request be sent. The witness has then
// stored it as well, unless it is unresponsive.
func (k *Keeper) Claim(ctx context.Context, id idempotency.ID, digest idempotency.Digest) (decision idempotency.Decision, copied bool) {
	complete := k.readRequestIDs(ctx) && k.recoverRequestIDs(ctx)
	decision = k.requestIDs.Claim(ctx, id, digest)
	if decision.Kind != idempotency.KindNew || !complete {
		return decision, false
	}
	entry, own := k.requestIDs.LocalClaim(id, decision.Attempt)
	witnessDone := k.sendToWitness(entry)
	if !own || !k.replicateClaim(ctx, entry) {
		return decision, false
	}
	k.waitForWitness(ctx, witnessDone)
	_, own = k.requestIDs.LocalClaim(id, decision.Attempt)
	return decision, own
}

// replicateClaim copies a claim to the other lessors. It returns true once a
// quorum, this lessor included, has stored it.
func (k *Keeper) replicateClaim(ctx context.Context, claim idempotency.Entry) bool {
	args := peer.HoldArgs{Session: k.id, From: k.self, Claim: claim}
	return k.askQuorum(ctx, func(ctx context.Context, other record.Lessor) bool {
		var reply peer.CopyReply
		err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Hold", args, &reply)
		return err == nil && reply.Kept
	})
}

// FinishClaim ends a claim and queues its result to be copied to the witness and
// the other lessors. If a queue is full, the copy is omitted: see copyLoop.
func (k *Keeper) FinishClaim(id idempotency.ID, attempt int, result idempotency.Result) {
	k.requestIDs.Finish(id, attempt, result)
	entry, ok := k.requestIDs.Get(id)
	if !ok {
		return
	}
	k.sendToWitness(entry)
	select {
	case k.finishedClaims <- entry:
	default:
	}
}

// copyLoop copies ended claims to the other lessors. If a copy is lost, the claim's
// result stays unknown there, which is safe: the request does not run again.
func (k *Keeper) copyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case entry := <-k.finishedClaims:
			k.copyEntries(ctx, collectBatch(entry, k.finishedClaims))
		}
	}
}

// collectBatch returns first and the entries waiting in the queue, at most maxCopyBatch.
func collectBatch[T any](first T, queue <-chan T) []T {
	batch := []T{first}
	for len(batch) < maxCopyBatch {
		select {
		case entry := <-queue:
			batch = append(batch, entry)
		default:
			return batch
		}
	}
	return batch
}

// copyEntries copies entries to the other lessors. It returns true once a
// quorum, this lessor included, has stored them.
func (k *Keeper) copyEntries(ctx context.Context, entries []idempotency.Entry) bool {
	args := peer.CopyArgs{Session: k.id, From: k.self, Entries: entries}
	return k.askQuorum(ctx, func(ctx context.Context, other record.Lessor) bool {
		var reply peer.CopyReply
		err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Copy", args, &reply)
		return err == nil && reply.Kept
	})
}

// askQuorum calls all other lessors concurrently. It returns true as soon as
// enough calls have returned true to form a quorum with this lessor, and false
// if too few have when all calls have returned.
func (k *Keeper) askQuorum(ctx context.Context, ask func(context.Context, record.Lessor) bool) bool {
	others := k.OtherLessors()
	needed := (len(others) + 1) / 2
	answers := make(chan bool, len(others))
	for _, other := range others {
		go func() { answers <- ask(ctx, other) }()
	}
	for range others {
		if needed == 0 {
			return true
		}
		if <-answers {
			needed--
		}
	}
	return needed == 0
}

// quorumRead records for which term as primary the request IDs of a quorum have
// been read. mu lets one goroutine at a time read them.
type quorumRead struct {
	mu           *sync.Mutex
	completeTerm *atomic.Uint64
}

func newQuorumRead() quorumRead {
	return quorumRead{mu: new(sync.Mutex), completeTerm: new(atomic.Uint64)}
}

// readRequestIDs merges the request IDs of a quorum of the lessors, once in each
// term as primary. A claim that a former primary replicated to a quorum is then
// stored here.
func (k *Keeper) readRequestIDs(ctx context.Context) bool {
	term := k.term.Load()
	if k.quorumRead.completeTerm.Load() == term {
		return true
	}
	k.quorumRead.mu.Lock()
	defer k.quorumRead.mu.Unlock()
	if k.quorumRead.completeTerm.Load() == term {
		return true
	}
	if !k.askQuorum(ctx, k.readRequestIDsOf) {
		return false
	}
	k.quorumRead.completeTerm.Store(term)
	return true
}

// readRequestIDsOf merges the request IDs of one lessor. It returns false if that
// lessor has not consented to this one, does not answer, or not all entries fit.
func (k *Keeper) readRequestIDsOf(ctx context.Context, other record.Lessor) bool {
	args := peer.MemoryArgs{Session: k.id, From: k.self}
	var reply peer.MemoryReply
	err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Memory", args, &reply)
	if err != nil || !reply.Known {
		return false
	}
	return k.requestIDs.Merge(reply.Entries) == 0
}

// StoreClaim stores a claim for the primary, under the same condition as StoreCopies.
func (k *Keeper) StoreClaim(from string, claim idempotency.Entry) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lessor.Holder(k.deps.Clock()) == from && k.requestIDs.StoreReplica(claim)
}

// StoreCopies stores entries for the primary. It returns false, storing nothing,
// if this lessor's consent is not given to from: a later primary may already have
// read the request IDs stored here. It also returns false if not all entries fit.
func (k *Keeper) StoreCopies(from string, entries []idempotency.Entry) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lessor.Holder(k.deps.Clock()) != from {
		return false
	}
	return k.requestIDs.Merge(entries) == 0
}

// RequestIDs returns the stored request IDs to the primary that has this lessor's
// consent, and false to any other lessor.
func (k *Keeper) RequestIDs(from string) ([]idempotency.Entry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lessor.Holder(k.deps.Clock()) != from {
		return nil, false
	}
	return k.requestIDs.Snapshot(nil), true
}

// JoinClose answers a proposal to close. If the lessor joins, the answer includes
// all stored request IDs, and the lessor stores no more copies.
func (k *Keeper) JoinClose(request lease.CloseRequest) (lease.CloseReply, []idempotency.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	reply := k.lessor.HandleClose(k.deps.Clock(), request)
	if !reply.Joined {
		return reply, nil
	}
	return reply, k.requestIDs.Snapshot(nil)
}

// entriesOf returns the stored request IDs of the granted slices.
func (k *Keeper) entriesOf(grants []backend.SliceGrant) []idempotency.Entry {
	wanted := make(map[int]bool, len(grants))
	for _, grant := range grants {
		wanted[grant.Slice] = true
	}
	return k.requestIDs.Snapshot(func(id idempotency.ID) bool {
		return wanted[ownership.SliceOf(id.Key, k.values.Slices)]
	})
}

// storeAtQuorum stores request IDs of adopted or recovered slices at a quorum of
// the lessors. It returns false if that fails.
func (k *Keeper) storeAtQuorum(ctx context.Context, entries []idempotency.Entry) bool {
	if len(entries) == 0 {
		return true
	}
	return k.requestIDs.Merge(entries) == 0 && k.copyEntries(ctx, entries)
}
