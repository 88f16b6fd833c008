package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// primaryLoop requests consents to become primary and to stay primary. A lessor
// that knows of no primary first waits for its election delay, so that lessors do
// not block each other by consenting to different ones.
func (k *Keeper) primaryLoop(ctx context.Context) {
	noPrimarySince := k.deps.Clock()
	loop.Every(ctx, k.values.RenewEvery/2, func(ctx context.Context) {
		now := k.deps.Clock()
		holder, self := k.Primary()
		k.recordPrimary(self)
		switch {
		case self && k.takeStepDown():
			k.StepDown(ctx)
		case self:
			noPrimarySince = now
			if k.consentAge(now) >= k.values.RenewEvery {
				k.requestPrimary(ctx)
			}
		case holder != "":
			noPrimarySince = now
		case now-noPrimarySince >= k.electionDelay():
			k.requestPrimary(ctx)
		}
	})
}

// consentAge returns the time since the consents that make this host primary were requested.
func (k *Keeper) consentAge(now time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.values.LeadTTL - (k.lessor.PrimaryUntil() - now)
}

// electionDelay returns how long, without a primary, this lessor waits for lessors
// of lower rank to become primary. The rank is the position among the session's
// lessors; a marked lessor, or one that has stepped down because it did not reach
// the server, ranks after all others.
func (k *Keeper) electionDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	rank := slices.IndexFunc(k.lessors, func(l record.Lessor) bool { return l.Host == k.deps.Host })
	if k.marked || k.deps.Clock() < k.backoffUntil {
		rank += len(k.lessors)
	}
	return time.Duration(max(rank, 0)) * k.values.RenewEvery
}

// takeStepDown reports whether this host must step down because of a new mark. It
// returns true once for each mark, and not if there is no other lessor.
func (k *Keeper) takeStepDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	stepDown := k.mustStepDown && len(k.others()) > 0
	k.mustStepDown = false
	return stepDown
}

// recordPrimary records whether this host is primary. On a change it resets the
// state of the term, informs the observer and records the event.
func (k *Keeper) recordPrimary(primary bool) {
	k.mu.Lock()
	changed := k.wasPrimary != primary
	k.wasPrimary = primary
	if changed && primary {
		k.detector = detector{limit: k.values.ServerSilence}
		k.detector.recordAnswer(k.deps.Clock())
		k.term.Add(1)
		k.primarySince = k.deps.Clock()
		k.clockKnown = false
	}
	k.mu.Unlock()
	switch {
	case changed && primary:
		k.observer.BecamePrimary(k.values)
		k.wakeRenewal()
		k.record(timeline.KindLeadGained, "")
	case changed:
		k.record(timeline.KindLeadLost, "")
	}
}

// requestPrimary requests consents unless this lessor has resigned.
func (k *Keeper) requestPrimary(ctx context.Context) {
	k.mu.Lock()
	resigned := k.resigned
	k.mu.Unlock()
	if !resigned {
		k.requestConsents(ctx)
	}
}

// requestConsents requests the consent of all other lessors concurrently.
func (k *Keeper) requestConsents(ctx context.Context) {
	k.mu.Lock()
	asked := k.deps.Clock()
	request, ok := k.lessor.RequestPrimary(asked)
	others := k.consenters()
	k.mu.Unlock()
	if !ok {
		return
	}
	var calls sync.WaitGroup
	for _, other := range others {
		calls.Go(func() { k.requestConsentOf(ctx, other, asked, request) })
	}
	calls.Wait()
	_, self := k.Primary()
	k.recordPrimary(self)
}

// requestConsentOf requests the consent of one lessor and counts it if granted. asked
// is the time before the request on this host's clock.
func (k *Keeper) requestConsentOf(ctx context.Context, other record.Lessor, asked time.Duration, request lease.LeadRequest) {
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

// Resign makes this host step down and not become primary again. A session's only
// lessor does not resign, because no other host could become primary.
func (k *Keeper) Resign(ctx context.Context) {
	k.mu.Lock()
	k.resigned = len(k.others()) > 0
	resigned := k.resigned
	k.mu.Unlock()
	if resigned {
		k.StepDown(ctx)
	}
}

const (
	// stepDownTimeout bounds the wait for the requests being served before stepping down.
	stepDownTimeout = time.Second
	// stepDownPoll is the interval at which that wait checks for them.
	stepDownPoll = 5 * time.Millisecond
)

// StepDown makes this host stop being primary, so that another lessor can become
// primary at once. Before that it accepts no new request and waits for those
// being served, so that none of them loses its claim while it runs.
func (k *Keeper) StepDown(ctx context.Context) {
	k.setSteppingDown(true)
	defer k.setSteppingDown(false)
	k.waitForServed(ctx)
	k.stepDownNow(ctx)
}

// stepDownNow stops being primary at once and informs the other lessors.
func (k *Keeper) stepDownNow(ctx context.Context) {
	k.mu.Lock()
	request, ok := k.lessor.StepDown(k.deps.Clock())
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

func (k *Keeper) setSteppingDown(steppingDown bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.steppingDown = steppingDown
}

// waitForServed waits, at most for stepDownTimeout, until no request is being
// served. It stays primary meanwhile.
func (k *Keeper) waitForServed(ctx context.Context) {
	for waited := time.Duration(0); waited < stepDownTimeout && k.isServing(); waited += stepDownPoll {
		if k.consentAge(k.deps.Clock()) >= k.values.RenewEvery {
			k.requestConsents(ctx)
		}
		timer := time.NewTimer(stepDownPoll)
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
