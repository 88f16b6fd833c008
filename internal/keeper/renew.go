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

// renewDuty renews the server's lease while this lessor leads.
func (k *Keeper) renewDuty(ctx context.Context) {
	for ctx.Err() == nil {
		if _, lead := k.Lead(); lead {
			k.renew(ctx)
		}
		k.pause(ctx, k.values.RenewEvery)
	}
}

// renew sends one grant to the server. The first one only asks for the server's clock.
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
		k.onServerSilent(ctx)
		return
	}
	k.onServerAnswer(asked, reply)
}

// nextGrant builds the next grant: the lease's end, slices that the server
// lacks and slices that it shall let go of.
func (k *Keeper) nextGrant() (backend.GrantRequest, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock()
	if !k.lessor.IsLead(now) {
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
		if k.holds[slice] < epoch && k.gaveUp[slice] < epoch {
			grant.Add = append(grant.Add, backend.SliceGrant{Slice: slice, Epoch: uint64(epoch)})
		}
	}
	return grant, true
}

// addToGrant adds one of the session's slices to the grant as the table says. A slice is
// dropped only when a quorum of the lessors acts under the version that moves it.
func (k *Keeper) addToGrant(grant *backend.GrantRequest, key ownership.SliceKey, handover Handover) {
	change := backend.SliceGrant{Slice: key.Slice, Epoch: uint64(handover.Epoch)}
	switch {
	case k.gaveUp[key.Slice] >= handover.Epoch:
	case handover.Moving:
		if k.mayLetGo(handover) && k.idle(key.Slice) {
			grant.Drop = append(grant.Drop, change)
		}
	case k.holds[key.Slice] < handover.Epoch:
		grant.Add = append(grant.Add, change)
	}
}

func (k *Keeper) onServerAnswer(asked time.Time, reply backend.GrantReply) {
	if reply.Incarnation != k.incarnation {
		k.record(timeline.KindServerRestarted, "")
		k.startClose("server restarted", lease.ProofNewIncarnation)
		return
	}
	if reply.Over(uint64(k.id), k.incarnation) {
		k.startClose("server has ended the session", lease.ProofEnded)
		return
	}
	k.mu.Lock()
	now := k.deps.Clock()
	k.lessor.OnServerClock(now, reply.ClockMS)
	first := !k.clockKnown
	k.clockKnown = true
	k.silence.answered(now)
	k.inDoubt = false
	k.silenceNoted = false
	k.noteHolds(reply)
	k.mu.Unlock()
	if first {
		// The first answer only told the clock; the lease itself is due at once.
		k.kickRenewal()
	}
	k.observer.ServerAnswered(asked, reply)
}

// noteHolds takes over what the server says that it holds and gave up in this session.
func (k *Keeper) noteHolds(reply backend.GrantReply) {
	if !reply.Applied || reply.Session != uint64(k.id) {
		return
	}
	clear(k.holds)
	for _, held := range reply.Holds {
		k.holds[held.Slice] = record.Epoch(held.Epoch)
	}
	for _, dropped := range reply.GaveUp {
		k.gaveUp[dropped.Slice] = max(k.gaveUp[dropped.Slice], record.Epoch(dropped.Epoch))
	}
}

// onServerSilent notes an unanswered grant. A server that does not check epochs
// may go on serving after its lease: only a new incarnation or an operator's word ends its session.
func (k *Keeper) onServerSilent(ctx context.Context) {
	k.mu.Lock()
	gone := k.silence.failed(k.deps.Clock())
	k.inDoubt = true
	k.mu.Unlock()
	if !gone {
		return
	}
	k.noteSilence()
	if k.reachedByOthers(ctx) {
		k.stepAside(ctx)
		return
	}
	if k.values.ChecksEpochs {
		k.startClose("server silent", lease.ProofNone)
	}
}

// noteSilence records that the server counts as silent, once until it answers.
func (k *Keeper) noteSilence() {
	k.mu.Lock()
	noted := k.silenceNoted
	k.silenceNoted = true
	k.mu.Unlock()
	if !noted {
		k.record(timeline.KindServerSilent, "")
	}
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
