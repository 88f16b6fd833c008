package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

const (
	// adoptTimeout bounds one call that activates slices at a successor.
	adoptTimeout = 300 * time.Millisecond
	// appendTimeout bounds an append and the reading of its verdict.
	appendTimeout = 3 * time.Second
	// reportEvery is the time between two tries to report a closing to the log.
	reportEvery = 200 * time.Millisecond
)

// startClose proposes to close the session, for the given reason and proof.
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

// closeDuty carries a closing on until the log shows it.
func (k *Keeper) closeDuty(ctx context.Context) {
	var joinedAt time.Duration
	reported := time.Duration(0)
	duty.Every(ctx, k.values.RenewEvery/4, func(ctx context.Context) {
		now := k.deps.Clock()
		switch k.phase() {
		case lease.PhaseProposing:
			k.propose(ctx)
		case lease.PhaseJoined:
			if joinedAt == 0 {
				joinedAt = now
			}
			if now-joinedAt > k.coordinatorLimit() {
				k.propose(ctx)
			}
		case lease.PhaseClosing, lease.PhaseClosed:
			if !k.closed() {
				return
			}
			k.activate(ctx)
			if now-reported > reportEvery || reported == 0 {
				reported = now
				k.report(ctx)
			}
		}
	})
}

// coordinatorLimit is how long a lessor that joined a closing leaves it to its
// coordinator. More coordinators than one do no harm; each waits for itself.
func (k *Keeper) coordinatorLimit() time.Duration {
	return 2 * k.values.RenewEvery
}

func (k *Keeper) phase() lease.Phase {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lessor.Phase()
}

// closed reports whether the session is closed at the version whose slices this keeper knows.
func (k *Keeper) closed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lessor.Closed(k.deps.Clock()) && k.lessor.Version() == k.handoversAt
}

// propose asks the other lessors to close the session.
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

func (k *Keeper) proposeTo(ctx context.Context, other record.Lessor, request lease.CloseRequest) {
	args := peer.CloseArgs{Incarnation: other.Incarnation, Request: request}
	var reply peer.CloseReply
	err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Close", args, &reply)
	if err != nil || !reply.Known {
		return
	}
	if reply.Reply.Joined && k.memory.Merge(reply.Entries) > 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lessor.OnCloseReply(k.deps.Clock(), reply.Reply)
}

// activate hands every slice that is not activated yet to its successor.
func (k *Keeper) activate(ctx context.Context) {
	var calls sync.WaitGroup
	for successor, grants := range k.pending(func(Handover) bool { return true }) {
		calls.Go(func() { k.adoptAt(ctx, successor, grants) })
	}
	calls.Wait()
}

// pending returns the slices to activate by successor.
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

// adoptAt asks the successor's lessors until one of them, the lead, has
// confirmed. It marks the slices as activated then.
func (k *Keeper) adoptAt(ctx context.Context, successor record.SessionID, grants []backend.SliceGrant) bool {
	args := peer.AdoptArgs{
		Session: successor, From: k.id, Slices: grants, Complete: k.recalledAll(grants), Entries: k.entriesOf(grants),
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

// isActivated reports whether the slice has been handed over to its present
// successor since the session got it last.
func (k *Keeper) isActivated(key ownership.SliceKey, handover Handover) bool {
	gone, ok := k.activated[key]
	return ok && gone.epoch >= handover.Epoch && gone.successor == handover.Successor
}

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

// lessorsOf returns the lessors of an open session, nil for any other.
func (k *Keeper) lessorsOf(id record.SessionID) []record.Lessor {
	var lessors []record.Lessor
	k.deps.View.Read(func(_ *settings.State, table *ownership.Table) {
		if session := table.Session(id); session != nil && !session.Closed {
			lessors = slices.Clone(session.Lessors)
		}
	})
	return lessors
}

// report appends the record that the session is closed. The log may be down;
// the closing holds all the same.
func (k *Keeper) report(ctx context.Context) {
	body := k.closeRecord()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	verdict, err := k.deps.Writer.Append(ctx, record.Record{Kind: record.KindClose, Close: &body})
	if err == nil && verdict.Accepted {
		k.record(timeline.KindSessionClosed, body.Reason)
	}
}

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
