package keeper

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// renewLoop renews the server's lease while this host is primary.
func (k *Keeper) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if _, primary := k.Primary(); primary {
			k.renew(ctx)
		}
		k.waitForRenewal(ctx, k.values.RenewEvery)
	}
}

// renew sends one grant to the server. The first grant carries no lease; its
// answer has the server's clock, from which the lease is computed.
func (k *Keeper) renew(ctx context.Context) {
	grant, ok := k.nextGrant()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.values.ServerSilence/2)
	defer cancel()
	asked := time.Now()
	reply, err := k.deps.Servers.Grant(callCtx, k.addr, grant)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		k.onNoServerAnswer(ctx)
		return
	}
	k.onServerAnswer(asked, reply)
}

// nextGrant builds the next grant: the end of the lease, slices to add and slices
// to drop. It returns false if this host is not primary.
func (k *Keeper) nextGrant() (backend.GrantRequest, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock()
	if !k.lessor.IsPrimary(now) {
		return backend.GrantRequest{}, false
	}
	grant := backend.GrantRequest{Session: uint64(k.id), Incarnation: k.incarnation}
	until, known := k.lessor.NextLease(now)
	if !known {
		return grant, true
	}
	grant.ValidUntilMS = until
	for key, handover := range k.handovers {
		k.addToGrant(&grant, key, handover)
	}
	for slice, epoch := range k.adopted {
		if k.holds[slice] < epoch && k.dropped[slice] < epoch {
			grant.Add = append(grant.Add, backend.SliceGrant{Slice: slice, Epoch: uint64(epoch)})
		}
	}
	return grant, true
}

// addToGrant adds one of the session's slices to the grant, to be added or dropped
// as the log's state requires. A slice is dropped only under the conditions of
// mayDrop and while none of its requests is in flight.
func (k *Keeper) addToGrant(grant *backend.GrantRequest, key ownership.SliceKey, handover Handover) {
	change := backend.SliceGrant{Slice: key.Slice, Epoch: uint64(handover.Epoch)}
	switch {
	case k.dropped[key.Slice] >= handover.Epoch:
	case handover.Moving:
		if k.mayDrop(handover) && k.noneInFlight(key.Slice) {
			grant.Drop = append(grant.Drop, change)
		}
	case k.holds[key.Slice] < handover.Epoch:
		grant.Add = append(grant.Add, change)
	}
}

// onServerAnswer handles an answer to a grant that was sent at asked. It starts to
// close the session if the server has restarted or has ended the session.
func (k *Keeper) onServerAnswer(asked time.Time, reply backend.GrantReply) {
	if reply.Incarnation != k.incarnation {
		k.record(timeline.KindServerRestarted, "")
		k.startClose("server restarted", lease.ProofNewIncarnation)
		return
	}
	if reply.SessionEnded(uint64(k.id), k.incarnation) {
		k.startClose("server has ended the session", lease.ProofEnded)
		return
	}
	k.mu.Lock()
	now := k.deps.Clock()
	k.lessor.OnServerClock(now, reply.ClockMS)
	first := !k.clockKnown
	k.clockKnown = true
	k.detector.recordAnswer(now)
	k.unresponsive = false
	k.serverSilentRecorded = false
	k.recordHolds(reply)
	k.mu.Unlock()
	if first {
		// The first grant carried no lease, so the next one must follow at once.
		k.wakeRenewal()
	}
	k.observer.ServerAnswered(asked, reply)
}

// recordHolds records which slices the server holds and has dropped in this
// session, according to its answer.
func (k *Keeper) recordHolds(reply backend.GrantReply) {
	if !reply.Applied || reply.Session != uint64(k.id) {
		return
	}
	clear(k.holds)
	for _, held := range reply.Holds {
		k.holds[held.Slice] = record.Epoch(held.Epoch)
	}
	for _, dropped := range reply.GaveUp {
		k.dropped[dropped.Slice] = max(k.dropped[dropped.Slice], record.Epoch(dropped.Epoch))
	}
}

// onNoServerAnswer handles an unanswered grant. If the server counts as failed, this
// host steps down if another lessor reaches the server, and proposes to close the
// session otherwise. It does not close the session of a server that does not check
// epochs, because that may go on serving after its lease has ended: only a new
// incarnation or an operator record ends its session.
func (k *Keeper) onNoServerAnswer(ctx context.Context) {
	k.mu.Lock()
	serverFailed := k.detector.recordFailure(k.deps.Clock())
	k.unresponsive = true
	k.mu.Unlock()
	if !serverFailed {
		return
	}
	k.recordServerSilent()
	if k.reachedByOthers(ctx) {
		k.handOverPrimary(ctx)
		return
	}
	if k.values.ChecksEpochs {
		k.startClose("server silent", lease.ProofNone)
	}
}

// recordServerSilent records the event that the server counts as failed, once until
// the server answers again.
func (k *Keeper) recordServerSilent() {
	k.mu.Lock()
	alreadyRecorded := k.serverSilentRecorded
	k.serverSilentRecorded = true
	k.mu.Unlock()
	if !alreadyRecorded {
		k.record(timeline.KindServerSilent, "")
	}
}

// waitForRenewal waits for d, or until wakeRenewal is called.
func (k *Keeper) waitForRenewal(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.wake:
	}
}
