package keeper

import (
	"context"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// syncLoop applies changes of the session from the log until, according to the log,
// the session is closed or this host is not a lessor any more.
func (k *Keeper) syncLoop(ctx context.Context) {
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

// sync takes the session's newest version from the host's view of the log. It
// returns true if the session is closed or this host is not a lessor any more.
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
		k.mustStepDown = k.mustStepDown || marked && !k.marked
		k.marked = marked
	})
	over = over || k.lessor.Phase() == lease.PhaseRetired
	k.mu.Unlock()
	if lost && !over {
		k.startClose("declared lost", lease.ProofEnded)
	}
	return over
}

// adoptVersion makes the lessor act for the session's newest version, unless it has
// joined a closing of the version before. The caller holds mu.
func (k *Keeper) adoptVersion(session *ownership.Session, table *ownership.Table) {
	if !k.lessor.AdvanceTo(k.deps.Clock(), session.Version, lessorSet(session)) {
		return
	}
	if session.Former != nil || !slices.Equal(k.lessors, session.Lessors) {
		k.former = session.Former
	}
	k.lessors = session.Lessors
	k.sealing = session.Former != nil
	k.lessorsSince = session.LessorsSince
	if k.handovers == nil || k.handoversVersion != session.Version {
		k.handovers = handoversOf(session.ID, table)
		k.handoversVersion = session.Version
		k.forgetAdopted()
	}
}

// forgetAdopted removes the adopted slices that the log has meanwhile assigned to the session.
func (k *Keeper) forgetAdopted() {
	for slice := range k.adopted {
		key := ownership.SliceKey{Service: k.service, Slice: slice}
		if _, owned := k.handovers[key]; owned {
			delete(k.adopted, slice)
		}
	}
}

// handoversOf returns the slices that the session owns, with their successors.
func handoversOf(id record.SessionID, table *ownership.Table) map[ownership.SliceKey]Handover {
	handovers := make(map[ownership.SliceKey]Handover)
	for _, key := range table.OwnedSlices(id) {
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
