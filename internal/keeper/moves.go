package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// moveLoop completes planned moves: it activates slices that the server has
// dropped at their successors and reports the moves to the log. It also seals a
// replacement of the lessors.
func (k *Keeper) moveLoop(ctx context.Context) {
	loop.Every(ctx, k.values.RenewEvery/2, func(ctx context.Context) {
		if _, primary := k.Primary(); primary {
			if k.readRequestIDs(ctx) {
				k.recoverRequestIDs(ctx)
			}
			k.findReachableSuccessors(ctx)
			k.activateDropped(ctx)
			k.reportMoved(ctx)
		}
		k.seal(ctx)
	})
}

const (
	// reachableFor is how long a successor counts as reachable after its primary was found.
	reachableFor = 400 * time.Millisecond
	// reachableInterval is the time after which the primary is looked for again.
	reachableInterval = 150 * time.Millisecond
)

// findReachableSuccessors asks the lessors of the successors of moving slices
// whether there is a primary, and records the successors that have one.
func (k *Keeper) findReachableSuccessors(ctx context.Context) {
	for _, successor := range k.successorsToFind() {
		for _, lessor := range k.lessorsOf(successor) {
			var reply peer.LeadOfReply
			args := peer.SessionArgs{Session: successor}
			err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, lessor.PeerAddr, "Peer.LeadOf", args, &reply)
			if err == nil && reply.Lead != "" {
				k.recordReachable(successor)
				break
			}
		}
	}
}

// successorsToFind returns the successors of moving slices whose primary was not
// found within reachableInterval.
func (k *Keeper) successorsToFind() []record.SessionID {
	k.mu.Lock()
	defer k.mu.Unlock()
	var missing []record.SessionID
	for key, handover := range k.handovers {
		if !handover.Moving || k.isActivated(key, handover) || slices.Contains(missing, handover.Successor) {
			continue
		}
		seen, ok := k.reachable[handover.Successor]
		if !ok || k.deps.Clock()-seen >= reachableInterval {
			missing = append(missing, handover.Successor)
		}
	}
	return missing
}

// recordReachable records that the successor has a primary. The next renewal is
// sent at once because it may now drop a slice.
func (k *Keeper) recordReachable(successor record.SessionID) {
	k.mu.Lock()
	k.reachable[successor] = k.deps.Clock()
	k.mu.Unlock()
	k.wakeRenewal()
}

// activateDropped activates moving slices that the server has dropped at their successors.
func (k *Keeper) activateDropped(ctx context.Context) {
	dropped := k.pending(func(h Handover) bool {
		return h.Moving && k.dropped[h.Key.Slice] >= h.Epoch
	})
	for successor, grants := range dropped {
		k.adoptAt(ctx, successor, grants)
	}
}

// reportMoved appends a record of the moves whose slices are activated. moveLoop
// tries again until the log has it.
func (k *Keeper) reportMoved(ctx context.Context) {
	moves := k.activatedMoves()
	if len(moves) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	decision, err := k.deps.Writer.Append(ctx, record.Record{Kind: record.KindMoved, Moved: &record.Moved{Moves: moves}})
	if err != nil || !decision.Accepted {
		return
	}
	for _, move := range moves {
		k.deps.Events.Record(timeline.Event{
			Kind:    timeline.KindMoveDone,
			Offset:  decision.Offset,
			Session: move.To,
			Service: move.Service,
			Slice:   timeline.SliceNumber(move.Slice),
			Epoch:   move.Epoch,
		})
	}
}

// activatedMoves returns the moves whose slices are activated at their present successors.
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
