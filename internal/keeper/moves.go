package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

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
