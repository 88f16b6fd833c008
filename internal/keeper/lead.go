package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// leadDuty asks for the lead and keeps it. A lessor that knows of no lead waits
// for a time that grows with its rank, so that the lessors do not block each other.
func (k *Keeper) leadDuty(ctx context.Context) {
	vacantSince := k.deps.Clock()
	duty.Every(ctx, k.values.RenewEvery/2, func(ctx context.Context) {
		now := k.deps.Clock()
		holder, self := k.Lead()
		k.noteLead(self)
		switch {
		case self:
			vacantSince = now
			if k.leadAge(now) >= k.values.RenewEvery {
				k.askLead(ctx)
			}
		case holder != "":
			vacantSince = now
		case now-vacantSince >= k.patience():
			k.askLead(ctx)
		}
	})
}

// leadAge is the time since the consents that the lead rests on were asked for.
func (k *Keeper) leadAge(now time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.values.LeadTTL - (k.lessor.LeadUntil() - now)
}

// patience is how long this lessor leaves a vacant lead to lessors of lower rank.
func (k *Keeper) patience() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	rank := slices.IndexFunc(k.lessors, func(l record.Lessor) bool { return l.Host == k.deps.Host })
	if k.deps.Clock() < k.asideUntil {
		rank += len(k.lessors)
	}
	return time.Duration(max(rank, 0)) * k.values.RenewEvery
}

// noteLead reports a change of this lessor's lead.
func (k *Keeper) noteLead(lead bool) {
	k.mu.Lock()
	changed := k.wasLead != lead
	k.wasLead = lead
	if changed && lead {
		k.silence = silence{limit: k.values.ServerSilence}
		k.silence.answered(k.deps.Clock())
		k.term.Add(1)
		k.leadSince = k.deps.Clock()
		k.clockKnown = false
	}
	k.mu.Unlock()
	switch {
	case changed && lead:
		k.observer.LeadGained(k.values)
		k.kickRenewal()
		k.record(timeline.KindLeadGained, "")
	case changed:
		k.record(timeline.KindLeadLost, "")
	}
}

// askLead asks all other lessors for their consent at once.
func (k *Keeper) askLead(ctx context.Context) {
	k.mu.Lock()
	asked := k.deps.Clock()
	request, ok := k.lessor.AskLead(asked)
	others := k.consenters()
	k.mu.Unlock()
	if !ok {
		return
	}
	var calls sync.WaitGroup
	for _, other := range others {
		calls.Go(func() { k.askOne(ctx, other, asked, request) })
	}
	calls.Wait()
	_, self := k.Lead()
	k.noteLead(self)
}

func (k *Keeper) askOne(ctx context.Context, other record.Lessor, asked time.Duration, request lease.LeadRequest) {
	args := peer.LeadArgs{Incarnation: other.Incarnation, Request: request}
	var reply peer.LeadReply
	err := k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Lead", args, &reply)
	if err != nil || !reply.Known {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lessor.OnLeadReply(k.deps.Clock(), asked, reply.Reply)
}

// Yield gives the lead back, so that another lessor may lead at once. The
// caller must have stopped sending.
func (k *Keeper) Yield(ctx context.Context) {
	k.mu.Lock()
	request, ok := k.lessor.YieldLead(k.deps.Clock())
	others := k.consenters()
	k.mu.Unlock()
	if !ok {
		return
	}
	var calls sync.WaitGroup
	for _, other := range others {
		calls.Go(func() {
			args := peer.LeadArgs{Incarnation: other.Incarnation, Request: request}
			var reply peer.LeadReply
			k.deps.Peers.CallTimeout(ctx, k.values.RenewEvery, other.PeerAddr, "Peer.Lead", args, &reply)
		})
	}
	calls.Wait()
}
