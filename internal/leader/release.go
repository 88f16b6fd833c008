package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/loop"
)

const (
	// releaseTimeout bounds a release call. A server answers it when its requests for the keys have ended.
	releaseTimeout = 4 * time.Second
	// releaseMaxPlanAge is the longest time since the plan was last verified to be the newest
	// for which this host still sends releases.
	releaseMaxPlanAge = 5 * time.Second
	// releaseRetryInterval is the time between two attempts of a release, or of stopping a renewer.
	releaseRetryInterval = 200 * time.Millisecond
)

// releaseID identifies the release of one range under one fencing token.
type releaseID struct {
	service string
	first   keyrange.Key
	fence   assign.Fence
}

// startReleases starts the release of each range that the plan has in phase Releasing, and cancels
// releases that the plan no longer asks for.
func (l *Leader) startReleases(plan assign.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := make(map[releaseID]bool)
	for service, assignments := range plan.Services {
		for _, a := range assignments {
			if a.Phase != assign.Releasing {
				continue
			}
			id := releaseID{service, a.First, a.Fence}
			wanted[id] = true
			if _, running := l.releases[id]; !running {
				ctx, cancel := context.WithCancel(context.Background())
				l.releases[id] = cancel
				go l.releaseRange(ctx, id, a, plan)
			}
		}
	}
	for id, cancel := range l.releases {
		if !wanted[id] {
			cancel()
			delete(l.releases, id)
			if l.proofs[id.service][id.first].Fence == id.fence {
				delete(l.proofs[id.service], id.first)
			}
		}
	}
}

func (l *Leader) stopReleases() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, cancel := range l.releases {
		cancel()
		delete(l.releases, id)
	}
}

// releaseRange runs until there is a proof that the server no longer holds the range. It retries
// the release at the server and, in parallel, stops the renewers and waits for the last grant to
// expire, in case the server never answers.
func (l *Leader) releaseRange(ctx context.Context, id releaseID, a assign.Assignment, plan assign.Plan) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if l.awaitExpiry(ctx, id, a, plan) {
			l.recordProof(id, a, assign.Proof{Fence: a.Fence}, "lapsed")
			cancel()
		}
	}()
	for ctx.Err() == nil {
		handover, err := l.requestRelease(ctx, id, a)
		switch {
		case err == nil:
			l.recordProof(id, a, assign.Proof{Fence: a.Fence, Handover: handover}, "released")
			return
		case errors.Is(err, grants.ErrRefused) && l.addrTaken(id.service, a.Server):
			// Servers that own keys refuse no release, so the one at the address is that of the other service.
			l.recordProof(id, a, assign.Proof{Fence: a.Fence}, "address taken")
			return
		}
		if ctx.Err() == nil {
			l.Log.Event("release", "service", id.service, "keys", a.Range.String(), "server", a.Server.ID,
				"fence", uint64(a.Fence), "outcome", "failed", "err", err.Error())
		}
		loop.Sleep(ctx, releaseRetryInterval)
	}
}

// errPlanNotVerified reports that the plan was last verified too long ago; another host may be leader by now.
var errPlanNotVerified = errors.New("leader: no release sent, since the plan was not verified recently")

// errReleaseNotPlanned reports that the newest plan that this host knows does not have the release any more.
var errReleaseNotPlanned = errors.New("leader: no release sent, since the plan has changed")

// requestRelease releases the range at its server. The fencing token of the release is higher than
// that of all grants of the range so far, so the server refuses those from then on. A late
// release could take away keys that have been granted to the server again since, so a host sends
// it only if it has recently verified that its plan is the newest. It may have read a plan of another leader since it
// started the release.
func (l *Leader) requestRelease(ctx context.Context, id releaseID, a assign.Assignment) (handover string, err error) {
	planned, found := l.Current.Plan().Lookup(id.service, a.First)
	if !found || planned.Phase != assign.Releasing || planned.Fence != a.Fence {
		return "", errReleaseNotPlanned
	}
	if l.Clock()-l.Current.VerifiedAt() > releaseMaxPlanAge {
		return "", errPlanNotVerified
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	return l.Granter.Release(ctx, a.Server, a.Range, a.Fence)
}

// recordProof stores the proof for a releasing range and wakes the control loop.
func (l *Leader) recordProof(id releaseID, a assign.Assignment, proof assign.Proof, outcome string) {
	l.Log.Event("release", "service", id.service, "keys", a.Range.String(), "server", a.Server.ID,
		"fence", uint64(a.Fence), "outcome", outcome, "handover", proof.Handover != "")
	l.mu.Lock()
	if l.proofs[id.service] == nil {
		l.proofs[id.service] = make(map[keyrange.Key]assign.Proof)
	}
	l.proofs[id.service][id.first] = proof
	l.mu.Unlock()
	l.Wake()
}

// awaitExpiry returns true once every host that may have renewed the grant has stopped and the
// last grant must have expired. It returns false if the context ends before.
func (l *Leader) awaitExpiry(ctx context.Context, id releaseID, a assign.Assignment, plan assign.Plan) bool {
	stopped, renewers := l.stopRenewers(ctx, a, plan)
	if ctx.Err() != nil {
		return false
	}
	expired := stopped + l.Timing.MaxGrantLifetime()
	l.Log.Event("release", "service", id.service, "keys", a.Range.String(), "server", a.Server.ID,
		"fence", uint64(a.Fence), "outcome", "renewals stopped", "lapses_in_ms", (expired - l.Clock()).Milliseconds(),
		"acknowledged", renewers.acknowledged(), "others", renewers.others())
	return l.sleepUntil(ctx, expired)
}

// sleepUntil waits until the clock reads at. It returns false if the context ends before.
func (l *Leader) sleepUntil(ctx context.Context, at time.Duration) bool {
	loop.Sleep(ctx, at-l.Clock())
	return ctx.Err() == nil
}

// stopRenewers waits until all hosts that may have renewed the grant have stopped, and returns
// the reading of the clock and the proofs.
func (l *Leader) stopRenewers(ctx context.Context, a assign.Assignment, plan assign.Plan) (time.Duration, *stoppedRenewers) {
	deadline := l.Clock() + l.Timing.RenewalsStopWithin()
	stopped := &stoppedRenewers{}
	var wg sync.WaitGroup
	for _, host := range plan.PossibleRenewers(a.Server.Zone) {
		wg.Go(func() {
			proof := l.stopRenewer(ctx, host, plan, deadline)
			stopped.add(host, proof)
			l.incarnationCounters.stopped(proof)
		})
	}
	wg.Wait()
	return l.Clock(), stopped
}

// stopRenewer returns once it is proved that the incarnation renews nothing by an older plan, or the context has ended.
func (l *Leader) stopRenewer(ctx context.Context, host assign.Host, plan assign.Plan, deadline time.Duration) StopProof {
	for ctx.Err() == nil {
		if l.hasEnded(host) {
			return AddressTaken
		}
		if l.Clock() >= deadline {
			return Expired
		}
		callCtx, cancel := context.WithTimeout(ctx, l.Timing.CallTimeout+200*time.Millisecond)
		acknowledged := l.acks.await(callCtx, host, plan.Version, func() (assign.Fence, error) { return l.askToAdopt(callCtx, host, plan) })
		cancel()
		if l.hasEnded(host) {
			return AddressTaken
		}
		if acknowledged {
			return Acknowledged
		}
		loop.Sleep(ctx, releaseRetryInterval)
	}
	return NotProved
}

// askToAdopt asks a host to act by the newest plan, or by the given one if that is newer, and returns its version.
func (l *Leader) askToAdopt(ctx context.Context, host assign.Host, plan assign.Plan) (assign.Fence, error) {
	if newest := l.Current.ActedBy(); newest.Version > plan.Version {
		plan = newest
	}
	incarnation, err := l.Peers.Adopt(ctx, host, plan)
	if err == nil && incarnation != "" && incarnation != host.Incarnation {
		l.noteAddressTaken(host, incarnation)
	}
	return plan.Version, err
}

// noteAddressTaken records that another incarnation has answered a call to a listed one.
func (l *Leader) noteAddressTaken(host assign.Host, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnations.addressTaken(idOf(host), by, l.Clock()) {
		l.logEnded(host)
	}
}

// logEnded logs and counts that an incarnation is known to have ended. The caller holds the lock.
func (l *Leader) logEnded(host assign.Host) {
	l.incarnationCounters.ended()
	l.Log.Event("incarnation", "name", host.Name, "incarnation", host.Incarnation, "addr", host.Addr, "outcome", "ended",
		"proof", string(AddressTaken), "by", l.incarnations.ended[idOf(host)].by)
}

// hasEnded reports whether an incarnation is known to have ended.
func (l *Leader) hasEnded(host assign.Host) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnations.hasEnded(host)
}
