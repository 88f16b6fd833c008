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
	// finishedRing is the number of ended claims that may wait to be copied.
	finishedRing = 1024
	// copyBatch is the largest number of ended claims copied in one call.
	copyBatch = 128
)

// Lookup returns what is remembered of a request without claiming it. It waits
// while the request runs on this host.
func (k *Keeper) Lookup(ctx context.Context, id idempotency.ID, digest idempotency.Digest) idempotency.Verdict {
	if k.readMemory(ctx) {
		k.recall(ctx)
	}
	return k.memory.Lookup(ctx, id, digest)
}

// Claim asks whether a non-idempotent request may run now. With KindNew, copied
// tells whether a quorum of the session's lessors, this one included,
// remembers the claim: only then may the request be sent. The witness has it too by
// then, unless it does not answer.
func (k *Keeper) Claim(ctx context.Context, id idempotency.ID, digest idempotency.Digest) (verdict idempotency.Verdict, copied bool) {
	ready := k.readMemory(ctx) && k.recall(ctx)
	verdict = k.memory.Claim(ctx, id, digest)
	if verdict.Kind != idempotency.KindNew || !ready {
		return verdict, false
	}
	entry, own := k.memory.Claimed(id, verdict.Attempt)
	kept := k.tellWitness(entry)
	if !own || !k.hold(ctx, entry) {
		return verdict, false
	}
	k.awaitWitness(ctx, kept)
	_, own = k.memory.Claimed(id, verdict.Attempt)
	return verdict, own
}

// hold copies a claim to the other lessors. It returns true once a quorum, this
// lessor included, holds it.
func (k *Keeper) hold(ctx context.Context, claim idempotency.Entry) bool {
	args := peer.HoldArgs{Session: k.id, From: k.self, Claim: claim}
	return k.askQuorum(ctx, func(ctx context.Context, other record.Lessor) bool {
		var reply peer.CopyReply
		err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Hold", args, &reply)
		return err == nil && reply.Kept
	})
}

// FinishClaim ends a claim and passes its end on to the other lessors.
func (k *Keeper) FinishClaim(id idempotency.ID, attempt int, result idempotency.Result) {
	k.memory.Finish(id, attempt, result)
	entry, ok := k.memory.Get(id)
	if !ok {
		return
	}
	k.tellWitness(entry)
	select {
	case k.finished <- entry:
	default:
	}
}

// copyDuty copies ended claims to the other lessors. A copy that is lost leaves the
// claim there as unknown, which is safe.
func (k *Keeper) copyDuty(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case entry := <-k.finished:
			k.copyEntries(ctx, gather(entry, k.finished))
		}
	}
}

// gather returns the entry and those that wait behind it in the ring, up to a batch.
func gather[T any](first T, ring <-chan T) []T {
	batch := []T{first}
	for len(batch) < copyBatch {
		select {
		case entry := <-ring:
			batch = append(batch, entry)
		default:
			return batch
		}
	}
	return batch
}

// copyEntries copies entries to the other lessors. It returns true once a
// quorum, this lessor included, keeps them.
func (k *Keeper) copyEntries(ctx context.Context, entries []idempotency.Entry) bool {
	args := peer.CopyArgs{Session: k.id, From: k.self, Entries: entries}
	return k.askQuorum(ctx, func(ctx context.Context, other record.Lessor) bool {
		var reply peer.CopyReply
		err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Copy", args, &reply)
		return err == nil && reply.Kept
	})
}

// askQuorum calls all other lessors at once and returns as soon as enough of
// them have said yes to form a quorum with this one, or none is left to ask.
func (k *Keeper) askQuorum(ctx context.Context, ask func(context.Context, record.Lessor) bool) bool {
	others := k.Others()
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

// memoryState tells for which term of the own lead the memory is complete.
type memoryState struct {
	mu    *sync.Mutex
	ready *atomic.Uint64
}

func newMemoryState() memoryState {
	return memoryState{mu: new(sync.Mutex), ready: new(atomic.Uint64)}
}

// readMemory merges what a quorum of the lessors remembers, once in each term
// of the own lead. A claim that a former lead copied to a quorum is then known here.
func (k *Keeper) readMemory(ctx context.Context) bool {
	term := k.term.Load()
	if k.memoryState.ready.Load() == term {
		return true
	}
	k.memoryState.mu.Lock()
	defer k.memoryState.mu.Unlock()
	if k.memoryState.ready.Load() == term {
		return true
	}
	if !k.askQuorum(ctx, k.readMemoryOf) {
		return false
	}
	k.memoryState.ready.Store(term)
	return true
}

func (k *Keeper) readMemoryOf(ctx context.Context, other record.Lessor) bool {
	args := peer.MemoryArgs{Session: k.id, From: k.self}
	var reply peer.MemoryReply
	err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Memory", args, &reply)
	if err != nil || !reply.Known {
		return false
	}
	return k.memory.Merge(reply.Entries) == 0
}

// HoldClaim keeps a claim for the lead, under the same condition as KeepCopies.
func (k *Keeper) HoldClaim(from string, claim idempotency.Entry) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lessor.Holder(k.deps.Clock()) == from && k.memory.Hold(claim)
}

// KeepCopies stores entries for the lead. It refuses them from a lessor that this
// one's consent does not belong to, because a later lead may have read this memory.
func (k *Keeper) KeepCopies(from string, entries []idempotency.Entry) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lessor.Holder(k.deps.Clock()) != from {
		return false
	}
	return k.memory.Merge(entries) == 0
}

// Memory returns the remembered request IDs for the lead that this lessor's consent belongs to.
func (k *Keeper) Memory(from string) ([]idempotency.Entry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lessor.Holder(k.deps.Clock()) != from {
		return nil, false
	}
	return k.memory.Snapshot(nil), true
}

// JoinClose answers a closing together with all remembered request IDs. Once
// the lessor has joined, it keeps no more copies.
func (k *Keeper) JoinClose(request lease.CloseRequest) (lease.CloseReply, []idempotency.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	reply := k.lessor.HandleClose(k.deps.Clock(), request)
	if !reply.Joined {
		return reply, nil
	}
	return reply, k.memory.Snapshot(nil)
}

// entriesOf returns the remembered request IDs of the granted slices.
func (k *Keeper) entriesOf(grants []backend.SliceGrant) []idempotency.Entry {
	wanted := make(map[int]bool, len(grants))
	for _, grant := range grants {
		wanted[grant.Slice] = true
	}
	return k.memory.Snapshot(func(id idempotency.ID) bool {
		return wanted[ownership.SliceOf(id.Key, k.values.Slices)]
	})
}

// takeOver stores the request IDs that came with adopted slices, at a quorum of the lessors.
func (k *Keeper) takeOver(ctx context.Context, entries []idempotency.Entry) bool {
	if len(entries) == 0 {
		return true
	}
	return k.memory.Merge(entries) == 0 && k.copyEntries(ctx, entries)
}
