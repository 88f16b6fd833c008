package front

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

const (
	// grantDelay is how long after a change of the plan a request waits before its next attempt,
	// so that the new owner has its grant by then.
	grantDelay = 15 * time.Millisecond
	// notOwnerBackoff is the time between two attempts at an owner that has no grant for the key yet.
	notOwnerBackoff = 40 * time.Millisecond
	// maxForwards is the maximum number of times that a request is forwarded.
	maxForwards = 3
	// planLag is how long a request waits for the next plan after its primary has refused it with
	// reasonNotPrimary, because one of the two hosts has an older plan.
	planLag = 20 * time.Millisecond
	// maxNotOwner is the maximum number of retries after a server's answer that it does not own
	// the key.
	maxNotOwner = 6
	// retryBackoff is the time before the next attempt at an owner that was full or unreachable.
	retryBackoff = 50 * time.Millisecond
	// ownerWaitShare is the share of the latency goal that a request waits at most for an owner.
	ownerWaitShare = 0.6
)

// keyedRequest is the state of one request for a key.
type keyedRequest struct {
	attemptHistory
	ingress *Ingress
	r       *Request
	// maySend reports whether this host may send the request to the server. It is asked until the request
	// has reached a server.
	maySend func(assign.Plan, assign.Server) bool
	// recorded says that the request counts for the retry budget and the key's rate.
	recorded bool
	// notOwner counts the servers' answers that they do not own the key.
	notOwner int
	// order is the order of hosts by which maySend was last asked.
	order assign.HostOrder
}

// serveKeyed forwards a request to the primary of the server that owns its key. If this host is
// the primary, or no primary accepts the request, it sends the request to the server itself. While the key has
// no owner the request waits on this host, because its primary is not known yet.
func (in *Ingress) serveKeyed(ctx context.Context, r *Request) Result {
	mayHaveExecuted := false
	forwards := 0
	for {
		_, changed := in.config.Current.Watch()
		if to, ok := in.forwardTarget(r); ok && forwards < maxForwards {
			forwards++
			result, final := in.forward(ctx, r, to)
			if final {
				return unknownIfExecuted(result, mayHaveExecuted)
			}
			mayHaveExecuted = mayHaveExecuted || result.Kind == Unknown
			if result.Reason == reasonNotPrimary {
				waitFor(ctx, changed, planLag)
			}
			continue
		}
		maySend := in.primaries.isPrimary
		if forwards == maxForwards {
			maySend = anyHost
		}
		result := in.sendKeyed(ctx, r, maySend)
		if _, ok := in.forwardTarget(r); !ok || forwards == maxForwards || !needsOtherHost(result) {
			return unknownIfExecuted(result, mayHaveExecuted)
		}
	}
}

// anyHost allows every host to send a request to a server. It is used after no primary has accepted the request.
func anyHost(assign.Plan, assign.Server) bool { return true }

// needsOtherHost reports whether this host has refused a request that another host may send.
func needsOtherHost(result Result) bool {
	return result.Kind == NotRun && (result.Reason == reasonNotPrimary || result.Reason == reasonCutOff)
}

// forwardTarget returns the host through which a request for a key has to go, and false if this host
// should send it to the server itself.
func (in *Ingress) forwardTarget(r *Request) (assign.Host, bool) {
	plan := in.config.Current.Plan()
	assignment, found := plan.Lookup(r.Service.Name, r.Key)
	if !found || assignment.Phase != assign.Held {
		return assign.Host{}, false
	}
	primary, ok := in.primaries.get(plan, assignment.Server)
	return primary, ok && primary.Name != in.config.Self
}

// sendKeyed sends a request to the server that owns its key, and retries while that may help.
// While the key has no owner, as during a handover, the request waits. It is refused with reasonNotPrimary if
// maySend does not allow this host to send it.
func (in *Ingress) sendKeyed(ctx context.Context, r *Request, maySend func(assign.Plan, assign.Server) bool) Result {
	k := &keyedRequest{ingress: in, r: r, maySend: maySend}
	for ctx.Err() == nil {
		result, again := k.attemptOnce(ctx)
		if !again {
			if !needsOtherHost(result) {
				k.recordOnce()
			}
			if result.Kind == Done {
				return result
			}
			return k.finalResult(result)
		}
	}
	k.recordOnce()
	return k.finalResult(in.deadlineResult(k.mayHaveExecuted))
}

// recordOnce counts the request for the retry budget and the key's rate, on its first call. A request that
// another host sends counts there.
func (k *keyedRequest) recordOnce() {
	if k.recorded {
		return
	}
	k.recorded = true
	now := k.ingress.clock()
	k.ingress.budgets.recordRequest(k.r.Service.Name, now)
	k.ingress.keyRates.add(k.r.Service.Name, k.r.Key, now)
}

// ownerWaitEnd returns the time until which the request waits for an owner of its key.
func (k *keyedRequest) ownerWaitEnd() time.Duration {
	maxWait := time.Duration(ownerWaitShare * float64(k.r.Route.Goal))
	return min(k.r.Arrived+maxWait, k.r.Deadline)
}

// attemptOnce looks up the owner of the key and makes one attempt at it. It returns true if
// another call may help.
func (k *keyedRequest) attemptOnce(ctx context.Context) (Result, bool) {
	plan, changed := k.ingress.config.Current.Watch()
	k.order = plan.Order
	assignment, found := plan.Lookup(k.r.Service.Name, k.r.Key)
	if !found || assignment.Phase != assign.Held {
		return k.awaitPlan(ctx, changed, k.ownerWaitEnd(), reasonNoOwner)
	}
	if k.ingress.cutOff() {
		return notRun(reasonCutOff, defaultRetryAfter), false
	}
	if !k.reachedServer && !k.maySend(plan, assignment.Server) {
		return notRun(reasonNotPrimary, defaultRetryAfter), false
	}
	k.recordOnce()
	server, ok := k.ingress.fleet.Server(fleet.ID(assignment.Server.ID))
	if !ok || !k.ingress.fleet.Usable(server) {
		return k.awaitPlan(ctx, changed, k.ownerWaitEnd(), reasonNoOwner)
	}
	if share := k.ingress.shareOf(k.r, server); !server.Open(share, k.ingress.clock()) {
		return k.ingress.refusedBy(fleet.RefusedLimit, server, share), false
	}
	return k.acquireAndSend(ctx, server, changed)
}

// acquireAndSend waits for a slot at the server's admission gate and sends the request. It
// returns true if another attempt may help.
func (k *keyedRequest) acquireAndSend(ctx context.Context, server *fleet.Server, changed <-chan struct{}) (Result, bool) {
	// Copies of a suspect that waited behind the gate would keep other requests from the server.
	if k.ingress.config.Guard.InTrial(k.r.Fingerprint) {
		k.ingress.config.Guard.AwaitTrial(ctx, k.r.Fingerprint)
		return Result{}, true
	}
	gate := k.ingress.gates.get(server.Entry())
	retryAfter, ok := gate.Acquire(ctx, dispatch.Item{
		Account:  k.r.Account,
		Priority: k.r.Priority,
		Goal:     k.r.Arrived + k.r.Route.Goal,
		Deadline: k.r.Deadline,
		Work:     k.expectedWork(server),
	})
	if !ok {
		return notRun(reasonFull, retryAfter), false
	}
	a, refusal, sent := k.send(ctx, server)
	gate.Release(a.took)
	if !sent {
		return refusal, refusal.Kind == 0
	}
	return k.afterAttempt(ctx, a, changed)
}

// expectedWork estimates how long the server works on the request: the route's baseline latency
// times the server's slowness.
func (k *keyedRequest) expectedWork(server *fleet.Server) time.Duration {
	baseline := k.ingress.baseline.get(k.r.Route.Name)
	return time.Duration(float64(baseline) * server.Slowness(k.ingress.clock()))
}

// send makes one attempt at a server whose gate has admitted the request. It returns false if
// nothing was sent: with a refusal, or with an empty result if the server no longer owns the key or
// the order of hosts has changed, so that the owner and its primary must be looked up again.
func (k *keyedRequest) send(ctx context.Context, server *fleet.Server) (attempt, Result, bool) {
	// The key may have moved to another server while the request waited at the gate, or the server, with a new order
	// of hosts, to another primary.
	plan := k.ingress.config.Current.Plan()
	current, found := plan.Lookup(k.r.Service.Name, k.r.Key)
	if !found || current.Phase != assign.Held || current.Server.ID != string(server.Entry().ID) || plan.Order != k.order {
		return attempt{}, Result{}, false
	}
	a, refusal, sent := k.ingress.sendIfAllowed(ctx, k.r, server, k.reachedServer)
	if sent {
		k.record(a)
	}
	return a, refusal, sent
}

// afterAttempt waits as long as the outcome of an attempt requires. It returns true if another
// attempt may help, and otherwise the result of the request.
func (k *keyedRequest) afterAttempt(ctx context.Context, a attempt, changed <-chan struct{}) (Result, bool) {
	again := !a.suspect
	switch a.outcome {
	case attemptAnswered:
		return Result{Kind: Done, Answer: a.answer}, false
	case attemptNotOwner:
		k.notOwner++
		if !again || k.notOwner > maxNotOwner {
			return notRun(reasonNotOwner, defaultRetryAfter), false
		}
		return k.awaitPlan(ctx, changed, k.ingress.clock()+notOwnerBackoff, reasonNotOwner)
	case attemptShed:
		if !again {
			return notRun(reasonFull, defaultRetryAfter), false
		}
		return k.backoff(ctx, retryBackoff, reasonFull)
	case attemptNotSent:
		return k.backoff(ctx, retryBackoff, reasonUnreachable)
	case attemptBlocked:
		return a.refusal, a.waitsForTrial
	}
	again = again && k.r.Route.Idempotent && k.executions < k.r.Route.Attempts && k.ingress.timeLeft(k.r)
	return k.finalResult(unknown(reasonAnswerLost)), again
}

// backoff waits for the delay before the next attempt. It refuses the request if the delay
// goes beyond ownerWaitEnd.
func (k *keyedRequest) backoff(ctx context.Context, delay time.Duration, reason string) (Result, bool) {
	if k.ingress.clock()+delay > k.ownerWaitEnd() {
		return notRun(reason, defaultRetryAfter), false
	}
	return k.awaitPlan(ctx, nil, k.ingress.clock()+delay, reason)
}

// awaitPlan waits until the given time or, if changed is not nil, for a new plan. A request
// that has reached ownerWaitEnd is refused with the reason.
func (k *keyedRequest) awaitPlan(ctx context.Context, changed <-chan struct{}, until time.Duration, reason string) (Result, bool) {
	refusal := notRun(reason, defaultRetryAfter)
	now := k.ingress.clock()
	if now >= k.ownerWaitEnd() {
		return refusal, false
	}
	if waitFor(ctx, changed, max(until-now, time.Millisecond)) {
		waitFor(ctx, nil, grantDelay)
	}
	return refusal, ctx.Err() == nil
}

// waitFor waits until the time is over, the channel is closed or the context ends. It returns true if the channel
// was closed.
func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
		return true
	}
	return false
}
