package retry

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

const (
	// maxSends is the maximum number of attempts per request that may have reached a backend server.
	maxSends = 3
	// minRemaining is the time before the deadline below which another attempt is useless.
	minRemaining = 10 * time.Millisecond
	// initialBackoff is the backoff, before jitter, of the first owner lookup after a failed attempt.
	initialBackoff = 20 * time.Millisecond
	// maxBackoff is the maximum backoff before an owner lookup.
	maxBackoff = 200 * time.Millisecond
	// budgetRetryAfter is the minimum retry-after time of a refusal due to an exhausted budget.
	budgetRetryAfter = time.Second
)

// Request holds the properties of a request that are the same for all attempts.
type Request struct {
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// Keyed means that only the owner of the request's key can run it.
	Keyed bool
}

// Failure describes an attempt that ended without an answer for the caller.
type Failure struct {
	// Refusal holds the reason for the failure. Its outcome is NotRun or Unknown.
	Refusal outcome.Refusal
	// Sends is the number of attempts so far that may have reached a backend server.
	Sends int
	// OwnerLookups is the number of attempts so far that ended before they reached a
	// backend server.
	OwnerLookups int
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// OtherServer means that a server that has not been tried yet could run the request.
	OtherServer bool
}

// Action is what to do after a failed attempt.
type Action int

// Actions.
const (
	// GiveUp answers the caller with the decision's refusal.
	GiveUp Action = iota + 1
	// FindOwner waits for the backoff, looks the owner up again and makes an
	// attempt there. It takes no token from the retry budget, because the failed
	// attempt reached no backend server.
	FindOwner
	// RetrySame makes another attempt on the same server or, for a keyed request, its owner.
	RetrySame
	// RetryOther makes an attempt on another server.
	RetryOther
)

// String returns the name of the action. It calls FindOwner "search", RetrySame "again"
// and RetryOther "elsewhere".
func (a Action) String() string {
	return [...]string{"none", "give-up", "search", "again", "elsewhere"}[a]
}

// Decision is an action together with its parameters.
type Decision struct {
	Action Action
	// Backoff is the time to wait before the next attempt.
	Backoff time.Duration
	// Refusal is the caller's answer; it is set with GiveUp.
	Refusal outcome.Refusal
}

// Decide returns what to do after a failed attempt. It calls takeToken to take a token
// from the service's retry budget, and only if all other conditions for a retry are met.
// Jitter is a random number in [0,1).
func Decide(request Request, failure Failure, takeToken func() bool, jitter float64) Decision {
	if failure.Refusal.Outcome != outcome.NotRun && !request.Idempotent {
		return giveUp(failure.Refusal)
	}
	if isFinal(failure.Refusal.Reason) {
		return giveUp(failure.Refusal)
	}
	if failure.Refusal.Outcome == outcome.NotRun && ownerNotFound(request, failure.Refusal.Reason) {
		return findOwner(failure, jitter)
	}
	action, ok := nextTarget(request, failure)
	if !ok || failure.Sends >= maxSends || failure.Remaining < minRemaining {
		return giveUp(failure.Refusal)
	}
	if !takeToken() {
		return giveUp(budgetExhausted(failure.Refusal))
	}
	return Decision{Action: action}
}

// nextTarget returns where the next attempt goes, or false if another attempt is useless.
func nextTarget(request Request, failure Failure) (Action, bool) {
	switch {
	case failure.OtherServer && !request.Keyed:
		return RetryOther, true
	case isOverload(failure.Refusal.Reason):
		// The only server that could run the request is overloaded.
		return GiveUp, false
	default:
		return RetrySame, true
	}
}

// findOwner returns the decision to look the owner up again after an exponential backoff
// with jitter, or to give up if the deadline would pass.
func findOwner(failure Failure, jitter float64) Decision {
	const maxDoublings = 8
	backoff := initialBackoff << min(failure.OwnerLookups, maxDoublings)
	backoff = min(backoff, maxBackoff)
	backoff = backoff/2 + time.Duration(jitter*float64(backoff/2))
	if failure.Remaining < backoff+minRemaining {
		return giveUp(failure.Refusal)
	}
	return Decision{Action: FindOwner, Backoff: backoff}
}

// ownerNotFound reports whether an attempt failed because the key's owner, or the primary
// host of the owner's session, was not found.
func ownerNotFound(request Request, reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonNoOwner, outcome.ReasonNotOwner, outcome.ReasonNotLead, outcome.ReasonLeaving:
		return true
	case outcome.ReasonUnreachable:
		// The primary gives this reason if the owner has crashed, until a successor is active.
		return request.Keyed
	default:
		return false
	}
}

// isOverload reports whether a server had no free slot for the request.
func isOverload(reason outcome.Reason) bool {
	return reason == outcome.ReasonOverloaded || reason == outcome.ReasonWarming
}

// isFinal reports whether every further attempt would fail for the same reason.
func isFinal(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonBadRequest, outcome.ReasonUnknownService, outcome.ReasonDeadline,
		outcome.ReasonDuplicate, outcome.ReasonPoison, outcome.ReasonRetryBudget,
		outcome.ReasonTooManySuspects:
		return true
	default:
		return false
	}
}

// budgetExhausted returns the refusal for a request that is not retried only because the
// budget is exhausted. The outcome stays what the last attempt made it.
func budgetExhausted(refusal outcome.Refusal) outcome.Refusal {
	refusal.Reason = outcome.ReasonRetryBudget
	refusal.RetryAfter = max(refusal.RetryAfter, budgetRetryAfter)
	return refusal
}

func giveUp(refusal outcome.Refusal) Decision {
	return Decision{Action: GiveUp, Refusal: refusal}
}

// HedgeAfter returns how long after its first attempt a request is also sent to a second
// server, or false if it must not be. After is the service's setting; zero disables
// hedging. The caller takes a token from the budget when the time has passed.
func HedgeAfter(request Request, after, remaining time.Duration) (time.Duration, bool) {
	if !request.Idempotent || request.Keyed || after <= 0 {
		return 0, false
	}
	return after, after+minRemaining <= remaining
}
