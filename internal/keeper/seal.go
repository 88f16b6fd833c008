package keeper

import (
	"context"

	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// seal completes a replacement of the lessors. If a quorum of the former lessors
// acts only for the replacement's version or newer ones, it copies the request IDs
// that they store to a quorum of the new lessors, and then appends the seal to the log.
func (k *Keeper) seal(ctx context.Context) {
	k.mu.Lock()
	former := k.former
	version := k.lessorsSince
	sealing := k.sealing
	k.mu.Unlock()
	if !sealing {
		return
	}
	retired := 0
	for _, lessor := range former {
		if k.hasRetired(ctx, lessor, version) {
			retired++
		}
	}
	if retired < lease.Quorum(len(former)) || !k.copyEntries(ctx, k.requestIDs.Snapshot(nil)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	sealed := record.Sealed{Session: k.id, Version: version}
	k.deps.Writer.Append(ctx, record.Record{Kind: record.KindSealed, Sealed: &sealed})
}

// hasRetired reports whether one former lessor, possibly this one, acts only for
// version or newer ones. It merges the request IDs that come with the answer and
// returns false if not all of them could be stored.
func (k *Keeper) hasRetired(ctx context.Context, lessor record.Lessor, version logservice.Offset) bool {
	if lease.LessorName(lessor) == k.self {
		retired, _ := k.Retired(version)
		return retired
	}
	args := peer.RetiredArgs{Incarnation: lessor.Incarnation, Session: k.id, Version: version}
	var reply peer.RetiredReply
	err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, lessor.PeerAddr, "Peer.Retired", args, &reply)
	return err == nil && reply.Retired && k.requestIDs.Merge(reply.Entries) == 0
}
