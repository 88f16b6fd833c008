package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

const (
	// adoptTimeout bounds one call that activates slices at a successor.
	adoptTimeout = 300 * time.Millisecond
	// appendTimeout bounds appending a record and reading the decision on it.
	appendTimeout = 3 * time.Second
	// reportInterval is the least time between two attempts to report a closing to the log.
	reportInterval = 200 * time.Millisecond
)

// startClose starts a proposal to close the session. closeLoop sends it to the
// other lessors.
func (k *Keeper) startClose(reason string, proof lease.Proof) {
	k.mu.Lock()
	first := k.closeReason == ""
	k.closeReason = reason
	_, ok := k.lessor.StartClose(k.deps.Clock(), reason, proof)
	k.mu.Unlock()
	if !ok || !first {
		return
	}
	k.record(timeline.KindSessionClosing, reason)
	k.observer.SessionEnded(true)
}

// closeLoop continues a closing: it sends the proposal until a quorum has joined,
// then activates the slices and reports the closing to the log. It goes on until
// the Keeper ends.
func (k *Keeper) closeLoop(ctx context.Context) {
	var joinedAt time.Duration
	reported := time.Duration(0)
	loop.Every(ctx, k.values.RenewEvery/4, func(ctx context.Context) {
		now := k.deps.Clock()
		switch k.phase() {
		case lease.PhaseProposing:
			k.propose(ctx)
		case lease.PhaseJoined:
			if joinedAt == 0 {
				joinedAt = now
			}
			if now-joinedAt > k.proposerTimeout() {
				k.propose(ctx)
			}
		case lease.PhaseClosing, lease.PhaseClosed:
			if !k.closed() {
				return
			}
			k.activate(ctx)
			if now-reported > reportInterval || reported == 0 {
				reported = now
				k.report(ctx)
			}
		}
	})
}

// proposerTimeout returns how long a lessor that has joined a closing waits for
// the proposer to complete it before it proposes as well. Several proposers are
// safe: each waits for the end of every lease by itself.
func (k *Keeper) proposerTimeout() time.Duration {
	return 2 * k.values.RenewEvery
}

func (k *Keeper) phase() lease.Phase {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lessor.Phase()
}

// closed reports whether the session is closed at the version of handovers. Only
// then are the slices and successors known to be those of the closing.
func (k *Keeper) closed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lessor.Closed(k.deps.Clock()) && k.lessor.Version() == k.handoversVersion
}

// propose sends the proposal to close to the other lessors.
func (k *Keeper) propose(ctx context.Context) {
	k.mu.Lock()
	request, ok := k.lessor.StartClose(k.deps.Clock(), k.closeReason, lease.ProofNone)
	others := k.others()
	k.mu.Unlock()
	if !ok {
		return
	}
	var calls sync.WaitGroup
	for _, other := range others {
		calls.Go(func() { k.proposeTo(ctx, other, request) })
	}
	calls.Wait()
}

// proposeTo sends the proposal to one lessor. An answer that joins counts only if
// all request IDs that come with it could be stored.
func (k *Keeper) proposeTo(ctx context.Context, other record.Lessor, request lease.CloseRequest) {
	args := peer.CloseArgs{Incarnation: other.Incarnation, Request: request}
	var reply peer.CloseReply
	err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Close", args, &reply)
	if err != nil || !reply.Known {
		return
	}
	if reply.Reply.Joined && k.requestIDs.Merge(reply.Entries) > 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lessor.OnCloseReply(k.deps.Clock(), reply.Reply)
}

// activate activates every slice that is not activated yet at its successor.
func (k *Keeper) activate(ctx context.Context) {
	var calls sync.WaitGroup
	for successor, grants := range k.pending(func(Handover) bool { return true }) {
		calls.Go(func() { k.adoptAt(ctx, successor, grants) })
	}
	calls.Wait()
}

// pending returns, by successor, grants of the slices that are not activated yet
// and for which include returns true.
func (k *Keeper) pending(include func(Handover) bool) map[record.SessionID][]backend.SliceGrant {
	k.mu.Lock()
	defer k.mu.Unlock()
	grants := make(map[record.SessionID][]backend.SliceGrant)
	for key, handover := range k.handovers {
		if handover.Successor == 0 || k.isActivated(key, handover) || !include(handover) {
			continue
		}
		grant := backend.SliceGrant{Slice: key.Slice, Epoch: uint64(handover.NextEpoch)}
		grants[handover.Successor] = append(grants[handover.Successor], grant)
	}
	return grants
}

// adoptAt asks the successor's lessors to adopt the slices until one of them, the
// primary, confirms. It then marks the slices as activated and returns true.
func (k *Keeper) adoptAt(ctx context.Context, successor record.SessionID, grants []backend.SliceGrant) bool {
	args := peer.AdoptArgs{
		Session: successor, From: k.id, Slices: grants, Complete: k.allRecovered(grants), Entries: k.entriesOf(grants),
	}
	for _, lessor := range k.lessorsOf(successor) {
		var reply peer.AdoptReply
		err := k.deps.Peers.CallTimeout(ctx, adoptTimeout, lessor.PeerAddr, "Peer.Adopt", args, &reply)
		if err == nil && reply.Adopted {
			k.markActivated(successor, grants)
			return true
		}
	}
	return false
}

// isActivated reports whether the slice has been activated at its present
// successor since the session last became its owner. The caller holds mu.
func (k *Keeper) isActivated(key ownership.SliceKey, handover Handover) bool {
	last, ok := k.activated[key]
	return ok && last.epoch >= handover.Epoch && last.successor == handover.Successor
}

// markActivated records that the successor has activated the slices, and the event for each.
func (k *Keeper) markActivated(successor record.SessionID, grants []backend.SliceGrant) {
	k.mu.Lock()
	for _, grant := range grants {
		key := ownership.SliceKey{Service: k.service, Slice: grant.Slice}
		k.activated[key] = activation{epoch: k.handovers[key].Epoch, successor: successor}
	}
	k.mu.Unlock()
	for _, grant := range grants {
		k.deps.Events.Record(timeline.Event{
			Kind:    timeline.KindSliceActivated,
			Offset:  k.deps.View.Applied(),
			Session: k.id,
			Service: k.service,
			Slice:   timeline.SliceNumber(grant.Slice),
			Epoch:   record.Epoch(grant.Epoch),
		})
	}
}

// lessorsOf returns the lessors of an open session, or nil if there is none with this ID.
func (k *Keeper) lessorsOf(id record.SessionID) []record.Lessor {
	var lessors []record.Lessor
	k.deps.View.Read(func(_ *settings.State, table *ownership.Table) {
		if session := table.Session(id); session != nil && !session.Closed {
			lessors = slices.Clone(session.Lessors)
		}
	})
	return lessors
}

// report appends the record that the session is closed. The closing is valid
// without it, so a failure, as while the log is unavailable, is ignored here and
// closeLoop tries again.
func (k *Keeper) report(ctx context.Context) {
	body := k.closeRecord()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	decision, err := k.deps.Writer.Append(ctx, record.Record{Kind: record.KindClose, Close: &body})
	if err == nil && decision.Accepted {
		k.record(timeline.KindSessionClosed, body.Reason)
	}
}

// closeRecord returns the record of the closing, with all slices as moved to their successors.
func (k *Keeper) closeRecord() record.Close {
	k.mu.Lock()
	defer k.mu.Unlock()
	body := record.Close{Session: k.id, By: lessorNames(k.lessors), Reason: k.closeReason}
	for key, handover := range k.handovers {
		if handover.Successor == 0 {
			continue
		}
		body.Moves = append(body.Moves, record.SliceMove{
			Service: key.Service,
			Slice:   key.Slice,
			To:      handover.Successor,
			Epoch:   handover.NextEpoch,
		})
	}
	slices.SortFunc(body.Moves, func(a, b record.SliceMove) int { return a.Slice - b.Slice })
	return body
}
