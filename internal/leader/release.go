package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
)

const (
	// releaseTimeout bounds a release, which is answered when the work on the keys has ended.
	releaseTimeout = 4 * time.Second
	// releaseConfirmed is the age of the confirmation of the plan up to which releases are asked for.
	releaseConfirmed = 5 * time.Second
	// releaseRetry is the time between two tries of a release.
	releaseRetry = 200 * time.Millisecond
)

// jobID names the release of one range.
type jobID struct {
	service string
	first   keyrange.Key
	fence   assign.Fence
}

// startJobs starts the release of each range that is to be released, and ends others.
func (l *Leader) startJobs(plan assign.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := make(map[jobID]bool)
	for service, assignments := range plan.Services {
		for _, a := range assignments {
			if a.Phase != assign.Releasing {
				continue
			}
			id := jobID{service, a.First, a.Fence}
			wanted[id] = true
			if _, running := l.jobs[id]; !running {
				ctx, cancel := context.WithCancel(context.Background())
				l.jobs[id] = cancel
				go l.releaseRange(ctx, id, a, plan)
			}
		}
	}
	for id, cancel := range l.jobs {
		if !wanted[id] {
			cancel()
			delete(l.jobs, id)
			if l.proofs[id.service][id.first].Fence == id.fence {
				delete(l.proofs[id.service], id.first)
			}
		}
	}
}

func (l *Leader) stopJobs() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, cancel := range l.jobs {
		cancel()
		delete(l.jobs, id)
	}
}

// releaseRange works until there is a proof that the range is free. The server is
// asked all the time; meanwhile the hosts that may renew are stopped, in case it does not answer.
func (l *Leader) releaseRange(ctx context.Context, id jobID, a assign.Assignment, plan assign.Plan) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if l.awaitLapse(ctx, id, a, plan) {
			l.prove(id, a, assign.Proof{Fence: a.Fence}, "lapsed")
			cancel()
		}
	}()
	for ctx.Err() == nil {
		handover, err := l.askRelease(ctx, a)
		if err == nil {
			l.prove(id, a, assign.Proof{Fence: a.Fence, Handover: handover}, "released")
			return
		}
		if ctx.Err() == nil {
			l.Log.Event("release", "service", id.service, "keys", a.Range.String(), "server", a.Server.ID,
				"fence", uint64(a.Fence), "outcome", "failed", "err", err.Error())
		}
		duty.Wait(ctx, releaseRetry)
	}
}

// errStale reports that this host may not lead any longer.
var errStale = errors.New("leader: the plan is not confirmed")

// askRelease takes the range back from its server. The fence is above that of all
// grants of the range so far, and the server refuses those from then on. A release
// that comes late could take keys that the server has got anew, so only a host that
// has confirmed the plan of late asks.
func (l *Leader) askRelease(ctx context.Context, a assign.Assignment) (handover string, err error) {
	if l.Clock()-l.Current.Verified() > releaseConfirmed {
		return "", errStale
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	return l.Granter.Release(ctx, a.Server, a.Range, a.Fence)
}

func (l *Leader) prove(id jobID, a assign.Assignment, proof assign.Proof, how string) {
	l.Log.Event("release", "service", id.service, "keys", a.Range.String(), "server", a.Server.ID,
		"fence", uint64(a.Fence), "outcome", how, "handover", proof.Handover != "")
	l.mu.Lock()
	if l.proofs[id.service] == nil {
		l.proofs[id.service] = make(map[keyrange.Key]assign.Proof)
	}
	l.proofs[id.service][id.first] = proof
	l.mu.Unlock()
	l.Wake()
}

// awaitLapse returns true once every host that may have renewed the range has
// stopped and the last grant has run out at its latest possible end. It returns
// false where the context ends before.
func (l *Leader) awaitLapse(ctx context.Context, id jobID, a assign.Assignment, plan assign.Plan) bool {
	stopped := l.stopRenewers(ctx, a, plan)
	if ctx.Err() != nil {
		return false
	}
	lapsed := stopped + l.Timing.Outlives()
	l.Log.Event("release", "service", id.service, "keys", a.Range.String(), "server", a.Server.ID,
		"fence", uint64(a.Fence), "outcome", "renewals stopped", "lapses_in_ms", (lapsed - l.Clock()).Milliseconds())
	return l.sleepUntil(ctx, lapsed)
}

// sleepUntil waits for a reading of the clock. It returns false where the context ends before.
func (l *Leader) sleepUntil(ctx context.Context, at time.Duration) bool {
	duty.Wait(ctx, at-l.Clock())
	return ctx.Err() == nil
}

// stopRenewers returns the reading of the clock at which all hosts that may have
// renewed the range have stopped: because they said so, or because they cannot have
// confirmed an older plan since.
func (l *Leader) stopRenewers(ctx context.Context, a assign.Assignment, plan assign.Plan) time.Duration {
	deadline := l.Clock() + l.Timing.SilentAfter()
	var wg sync.WaitGroup
	for _, host := range plan.Renewers(a.Server.Zone) {
		wg.Go(func() { l.stopRenewer(ctx, host, plan, deadline) })
	}
	wg.Wait()
	return l.Clock()
}

// stopRenewer returns when the host renews by no plan older than the given one.
func (l *Leader) stopRenewer(ctx context.Context, host assign.Host, plan assign.Plan, deadline time.Duration) {
	for ctx.Err() == nil && l.Clock() < deadline {
		if !l.stillNamed(host) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, l.Timing.CallTimeout+200*time.Millisecond)
		err := l.Peers.Adopt(callCtx, host, plan)
		cancel()
		if err == nil {
			return
		}
		duty.Wait(ctx, releaseRetry)
	}
}

// stillNamed reports whether the plan still names this life of the host. A host
// that has been replaced by a newer life, or that has been silent for long enough, is named no longer.
func (l *Leader) stillNamed(host assign.Host) bool {
	for _, known := range l.Current.Plan().Hosts {
		if known.Same(host) {
			return true
		}
	}
	return false
}
