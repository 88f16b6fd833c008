package front

import (
	"context"
	"net/http"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// defaultRetryAfter is the time after which a refused caller may retry if there is no better
// estimate.
const defaultRetryAfter = 300 * time.Millisecond

// keylessRequest is the state of one request that any server of its service may execute.
type keylessRequest struct {
	attemptHistory
	// excluded are the servers that were chosen before.
	excluded []fleet.ID
	// last is the result of the last attempt.
	last Result
}

// serveKeyless sends a request to any server of its service, or through another host that may do so: this one
// reaches no server, or the request is a suspect.
func (in *Ingress) serveKeyless(ctx context.Context, r *Request) Result {
	result := in.sendKeyless(ctx, r)
	for range maxForwards {
		to, ok := in.keylessForwardTarget(r, result)
		if !ok {
			break
		}
		in.log.Routine("hop", "id", r.ID, "lead", to.Name, "outcome", "forwarded", "detail", result.Reason)
		forwarded, final := in.forward(ctx, r, to)
		if final || forwarded.Kind == Unknown {
			return forwarded
		}
	}
	return result
}

// keylessForwardTarget returns the host through which a request that ended here with the given result has to go. It
// returns false if there is none.
func (in *Ingress) keylessForwardTarget(r *Request, result Result) (assign.Host, bool) {
	if result.Kind != NotRun {
		return assign.Host{}, false
	}
	plan := in.config.Current.Plan()
	switch result.Reason {
	case reasonTrialElsewhere:
		to, ok := in.primaries.trialHost(plan, r.Fingerprint)
		return to, ok && to.Name != in.config.Self
	case reasonCutOff:
		return in.primaries.helper(plan)
	}
	return assign.Host{}, false
}

// sendKeyless sends a request to any server of its service. It retries on other servers while
// the deadline, the retry budget and the route's number of attempts allow. Requests that are not
// idempotent are only retried while no server may have executed them.
func (in *Ingress) sendKeyless(ctx context.Context, r *Request) Result {
	k := &keylessRequest{last: notRun(reasonNoServer, defaultRetryAfter)}
	if !in.cutOff() && !in.tryElsewhere(r) {
		in.budgets.recordRequest(r.Service.Name, in.clock())
	}
	for ctx.Err() == nil {
		if in.tryElsewhere(r) {
			return k.finalResult(notRun(reasonTrialElsewhere, suspectRetryAfter))
		}
		if in.cutOff() {
			return k.finalResult(notRun(reasonCutOff, defaultRetryAfter))
		}
		if !in.config.Guard.AwaitTrial(ctx, r.Fingerprint) {
			break
		}
		chosen, refused, ok := in.choose(ctx, r, k)
		if !ok {
			return k.finalResult(refused)
		}
		if ctx.Err() != nil {
			chosen.end(nil)
			break
		}
		server := chosen.server
		k.excluded = append(k.excluded, server.Entry().ID)
		a, refusal, sent := in.sendIfAllowed(ctx, r, server, k.reachedServer)
		if !sent {
			chosen.end(nil)
		} else {
			chosen.end(&a)
		}
		if !sent && refusal.Reason == reasonBudget {
			return k.finalResult(k.last)
		}
		if !sent {
			k.last = refusal
			continue
		}
		if a.outcome == attemptBlocked && a.waitsForTrial {
			k.excluded = k.excluded[:len(k.excluded)-1]
			continue
		}
		if a.outcome == attemptBlocked {
			return k.finalResult(a.refusal)
		}
		mayHaveExecuted := k.apply(a)
		if r.delivery.hasBegun() && k.last.Kind != Done {
			return r.delivery.brokenResult()
		}
		if a.outcome == attemptAnswered {
			return k.last
		}
		if a.suspect && k.reachedServer {
			return k.finalResult(k.last)
		}
		if mayHaveExecuted && (!r.Route.Idempotent || k.executions >= r.Route.Attempts || !in.timeLeft(r)) {
			return k.finalResult(k.last)
		}
	}
	return k.finalResult(in.deadlineResult(k.mayHaveExecuted))
}

// apply records an attempt and its result. It reports whether the request may have been executed
// in it without a usable answer.
func (k *keylessRequest) apply(a attempt) bool {
	k.record(a)
	switch a.outcome {
	case attemptAnswered:
		k.last = unknownIfExecuted(Result{Kind: Done, Answer: a.answer}, k.mayHaveExecuted)
	case attemptShed:
		k.last = notRun(reasonFull, defaultRetryAfter)
	case attemptNotSent:
		k.last = notRun(reasonUnreachable, defaultRetryAfter)
	case attemptNotOwner:
		k.last = notRun(reasonNotOwner, defaultRetryAfter)
	case attemptFailed, attemptLost:
		k.last = unknown(reasonAnswerLost)
		return true
	}
	return false
}

// timeLeft reports whether another attempt that takes the route's baseline latency would be
// answered before the deadline.
func (in *Ingress) timeLeft(r *Request) bool {
	return in.clock()+in.baseline.get(r.Route.Name) < r.Deadline
}

// deadlineResult returns the result of a request whose context has ended.
func (in *Ingress) deadlineResult(mayHaveExecuted bool) Result {
	if mayHaveExecuted {
		return unknown(reasonDeadline)
	}
	return notRun(reasonDeadline, defaultRetryAfter)
}

// unknownIfExecuted turns a refusal that guarantees no execution into an unknown result if an
// earlier attempt may have executed the request. A server can only speak for the attempt that it got.
func unknownIfExecuted(result Result, mayHaveExecuted bool) Result {
	switch {
	case !mayHaveExecuted:
		return result
	case result.Kind == NotRun:
		return unknown(result.Reason)
	case result.Kind == Done && claimsNotRun(result.Answer.Status):
		return unknown(reasonAnswerLost)
	}
	return result
}

// claimsNotRun reports whether the status tells a caller that its request has not run and will not.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
