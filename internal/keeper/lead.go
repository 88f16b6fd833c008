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
		case self && k.takeYield():
			k.Yield(ctx)
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
	if k.marked || k.deps.Clock() < k.asideUntil {
		rank += len(k.lessors)
	}
	return time.Duration(max(rank, 0)) * k.values.RenewEvery
}

// takeYield reports, once for each mark, that this host shall give the lead back.
func (k *Keeper) takeYield() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	yield := k.mustYield && len(k.others()) > 0
	k.mustYield = false
	return yield
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

// askLead asks for the lead unless this lessor has resigned.
func (k *Keeper) askLead(ctx context.Context) {
	k.mu.Lock()
	resigned := k.resigned
	k.mu.Unlock()
	if !resigned {
		k.requestLead(ctx)
	}
}

// requestLead asks all other lessors for their consent at once.
func (k *Keeper) requestLead(ctx context.Context) {
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

// Resign gives the lead back and asks for it no more. A lessor without others
// goes on: nobody could take its place.
func (k *Keeper) Resign(ctx context.Context) {
	k.mu.Lock()
	k.resigned = len(k.others()) > 0
	resigned := k.resigned
	k.mu.Unlock()
	if resigned {
		k.Yield(ctx)
	}
}

const (
	// yieldWait bounds the wait for the requests being served before the lead is given back.
	yieldWait = time.Second
	// yieldPoll is the time between two looks at them.
	yieldPoll = 5 * time.Millisecond
)

// Yield gives the lead back, so that another lessor may lead at once. It takes
// no new request first and waits for those being served, so that none of them
// loses its claim half way.
func (k *Keeper) Yield(ctx context.Context) {
	k.setYielding(true)
	defer k.setYielding(false)
	k.waitServed(ctx)
	k.giveBack(ctx)
}

// giveBack ends the lead at once and tells the other lessors.
func (k *Keeper) giveBack(ctx context.Context) {
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

func (k *Keeper) setYielding(yielding bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.yielding = yielding
}

// waitServed waits until no request is being served, renewing the lead meanwhile.
func (k *Keeper) waitServed(ctx context.Context) {
	for waited := time.Duration(0); waited < yieldWait && k.isServing(); waited += yieldPoll {
		if k.leadAge(k.deps.Clock()) >= k.values.RenewEvery {
			k.requestLead(ctx)
		}
		timer := time.NewTimer(yieldPoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (k *Keeper) isServing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.serving > 0
}
