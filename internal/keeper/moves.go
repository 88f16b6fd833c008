package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/platform"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// syncDuty follows the log's word on the session until it is closed there or
// this host is no lessor any more.
func (k *Keeper) syncDuty(ctx context.Context) {
	for {
		changed := k.deps.View.Changed()
		if k.sync() {
			k.done.Store(true)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// sync takes over the session's newest version. It reports whether the session is over for this host.
func (k *Keeper) sync() (over bool) {
	lost := false
	k.mu.Lock()
	k.deps.View.Read(func(_ *settings.State, table *ownership.Table) {
		session := table.Session(k.id)
		if session == nil || session.Closed {
			over = true
			return
		}
		k.adoptVersion(session, table)
		lost = table.Mark(record.SubjectServer, k.addr).State == record.MarkLost
		marked := table.Mark(record.SubjectHost, k.deps.Host).State != record.MarkActive
		k.mustYield = k.mustYield || marked && !k.marked
		k.marked = marked
	})
	over = over || k.lessor.Phase() == lease.PhaseRetired
	k.mu.Unlock()
	if lost && !over {
		k.startClose("declared lost", lease.ProofEnded)
	}
	return over
}

func (k *Keeper) adoptVersion(session *ownership.Session, table *ownership.Table) {
	if !k.lessor.Retire(k.deps.Clock(), session.Version, lessorSet(session)) {
		return
	}
	if session.Former != nil || !slices.Equal(k.lessors, session.Lessors) {
		k.former = session.Former
	}
	k.lessors = session.Lessors
	k.sealing = session.Former != nil
	k.lessorsSince = session.LessorsSince
	if k.handovers == nil || k.handoversAt != session.Version {
		k.handovers = handoversOf(session.ID, table)
		k.handoversAt = session.Version
		k.forgetAdopted()
	}
}

// forgetAdopted drops adopted slices that the log has meanwhile given to the session.
func (k *Keeper) forgetAdopted() {
	for slice := range k.adopted {
		key := ownership.SliceKey{Service: k.service, Slice: slice}
		if _, owned := k.handovers[key]; owned {
			delete(k.adopted, slice)
		}
	}
}

func handoversOf(id record.SessionID, table *ownership.Table) map[ownership.SliceKey]Handover {
	handovers := make(map[ownership.SliceKey]Handover)
	for _, key := range table.Owned(id) {
		slice := table.Slice(key)
		handovers[key] = Handover{
			Key:       key,
			Epoch:     slice.Epoch,
			Successor: slice.Successor,
			NextEpoch: slice.NextEpoch,
			Moving:    slice.Moving,
		}
	}
	return handovers
}

// moveDuty finishes planned moves: it activates slices that the server has
// dropped at their successors and reports them to the log. It also looks for
// the quorum that seals a replacement of the lessors.
func (k *Keeper) moveDuty(ctx context.Context) {
	duty.Every(ctx, k.values.RenewEvery/2, func(ctx context.Context) {
		if _, lead := k.Lead(); lead {
			if k.readMemory(ctx) {
				k.recall(ctx)
			}
			k.lookForSuccessors(ctx)
			k.activateDropped(ctx)
			k.reportMoved(ctx)
		}
		k.seal(ctx)
	})
}

const (
	// reachableTime is how long a successor counts as reachable after its lead was found.
	reachableTime = 400 * time.Millisecond
	// reachableEvery is the time between two looks for it.
	reachableEvery = 150 * time.Millisecond
)

// lookForSuccessors notes which successors of moving slices have a lead.
func (k *Keeper) lookForSuccessors(ctx context.Context) {
	for _, successor := range k.successorsToFind() {
		for _, lessor := range k.lessorsOf(successor) {
			var reply peer.LeadOfReply
			args := peer.SessionArgs{Session: successor}
			err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, lessor.PeerAddr, "Peer.LeadOf", args, &reply)
			if err == nil && reply.Lead != "" {
				k.noteReachable(successor)
				break
			}
		}
	}
}

// successorsToFind returns the successors of moving slices that were not seen of late.
func (k *Keeper) successorsToFind() []record.SessionID {
	k.mu.Lock()
	defer k.mu.Unlock()
	var missing []record.SessionID
	for key, handover := range k.handovers {
		if !handover.Moving || k.isActivated(key, handover) || slices.Contains(missing, handover.Successor) {
			continue
		}
		seen, ok := k.reachable[handover.Successor]
		if !ok || k.deps.Clock()-seen >= reachableEvery {
			missing = append(missing, handover.Successor)
		}
	}
	return missing
}

func (k *Keeper) noteReachable(successor record.SessionID) {
	k.mu.Lock()
	k.reachable[successor] = k.deps.Clock()
	k.mu.Unlock()
	k.kickRenewal()
}

func (k *Keeper) activateDropped(ctx context.Context) {
	dropped := k.pending(func(h Handover) bool {
		return h.Moving && k.gaveUp[h.Key.Slice] >= h.Epoch
	})
	for successor, grants := range dropped {
		k.adoptAt(ctx, successor, grants)
	}
}

func (k *Keeper) reportMoved(ctx context.Context) {
	moves := k.activatedMoves()
	if len(moves) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	verdict, err := k.deps.Writer.Append(ctx, record.Record{Kind: record.KindMoved, Moved: &record.Moved{Moves: moves}})
	if err != nil || !verdict.Accepted {
		return
	}
	for _, move := range moves {
		k.deps.Events.Record(timeline.Event{
			Kind:    timeline.KindMoveDone,
			Offset:  verdict.Offset,
			Session: move.To,
			Service: move.Service,
			Slice:   timeline.SliceNumber(move.Slice),
			Epoch:   move.Epoch,
		})
	}
}

func (k *Keeper) activatedMoves() []record.SliceMove {
	k.mu.Lock()
	defer k.mu.Unlock()
	var moves []record.SliceMove
	for key, handover := range k.handovers {
		if handover.Moving && k.isActivated(key, handover) {
			moves = append(moves, record.SliceMove{
				Service: key.Service, Slice: key.Slice, To: handover.Successor, Epoch: handover.NextEpoch,
			})
		}
	}
	return moves
}

// seal looks for a quorum of the former lessors that has retired the versions
// before a replacement. It passes on the request IDs that they remember and then
// reports the quorum to the log.
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
	if retired < lease.Quorum(len(former)) || !k.copyEntries(ctx, k.memory.Snapshot(nil)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	sealed := record.Sealed{Session: k.id, Version: version}
	k.deps.Writer.Append(ctx, record.Record{Kind: record.KindSealed, Sealed: &sealed})
}

// hasRetired asks one former lessor, possibly this one, and merges what it remembers.
func (k *Keeper) hasRetired(ctx context.Context, lessor record.Lessor, version platform.Offset) bool {
	if lease.Name(lessor) == k.self {
		retired, _ := k.Retired(version)
		return retired
	}
	args := peer.RetiredArgs{Incarnation: lessor.Incarnation, Session: k.id, Version: version}
	var reply peer.RetiredReply
	err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, lessor.PeerAddr, "Peer.Retired", args, &reply)
	return err == nil && reply.Retired && k.memory.Merge(reply.Entries) == 0
}

// Adopt activates slices that another session left behind. It returns true
// once the server has confirmed them.
func (k *Keeper) Adopt(ctx context.Context, grants []backend.SliceGrant, entries []idempotency.Entry) bool {
	if _, lead := k.Lead(); !lead || !k.mayAdopt(grants) || !k.takeOver(ctx, entries) {
		return false
	}
	k.mu.Lock()
	for _, grant := range grants {
		k.adopted[grant.Slice] = max(k.adopted[grant.Slice], record.Epoch(grant.Epoch))
		k.recalled[grant.Slice] = max(k.recalled[grant.Slice], grant.Epoch)
	}
	k.mu.Unlock()
	k.renew(ctx)
	return k.holdsAll(grants)
}

// mayAdopt refuses slices that the log has since given to somebody else.
func (k *Keeper) mayAdopt(grants []backend.SliceGrant) bool {
	allowed := true
	k.deps.View.Read(func(_ *settings.State, table *ownership.Table) {
		for _, grant := range grants {
			slice := table.Slice(ownership.SliceKey{Service: k.service, Slice: grant.Slice})
			if slice.Owner != k.id && slice.Epoch >= record.Epoch(grant.Epoch) {
				allowed = false
			}
		}
	})
	return allowed
}

func (k *Keeper) holdsAll(grants []backend.SliceGrant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, grant := range grants {
		if k.holds[grant.Slice] < record.Epoch(grant.Epoch) {
			return false
		}
	}
	return true
}

// pause waits for the duration or a kick.
func (k *Keeper) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.kick:
	}
}
