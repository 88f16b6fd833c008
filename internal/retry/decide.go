package retry

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

const (
	// maxSends is the largest number of times that one request is sent to backend servers.
	maxSends = 3
	// minRemaining is the shortest time left in which another try can help.
	minRemaining = 10 * time.Millisecond
	// firstWait is the wait before the first new try to find the owner.
	firstWait = 20 * time.Millisecond
	// maxWait is the longest such wait.
	maxWait = 200 * time.Millisecond
	// retryBudgetAfter is the time after which a caller may come back where the budget was spent.
	retryBudgetAfter = time.Second
)

// Request describes the request, the same for all its tries.
type Request struct {
	// Idempotent says that running it twice does no harm.
	Idempotent bool
	// Keyed says that only the owner of its key can run it.
	Keyed bool
}

// Failure describes a try that ended without an answer to pass on.
type Failure struct {
	// Refusal is what is known of the try. Its outcome is not run or unknown.
	Refusal outcome.Refusal
	// Sends is the number of tries so far that may have reached a backend server.
	Sends int
	// Searches is the number of tries so far that ended before a backend server.
	Searches int
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Elsewhere says that a server that was not tried yet could run the request.
	Elsewhere bool
}

// Action is what to do after a failed try.
type Action int

// Actions.
const (
	// GiveUp answers the caller with the decision's refusal.
	GiveUp Action = iota + 1
	// Search looks the owner up again after the wait and tries there. It sends
	// nothing to a server that has been sent to, and costs no budget.
	Search
	// Again tries the same server, or the owner, once more.
	Again
	// Elsewhere tries another server.
	Elsewhere
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"none", "give-up", "search", "again", "elsewhere"}[a]
}

// Decision is what to do after a failed try.
type Decision struct {
	Action Action
	// Wait is the time to wait before the next try.
	Wait time.Duration
	// Refusal is the caller's answer with GiveUp.
	Refusal outcome.Refusal
}

// Decide returns what to do after a failed try. Take asks the service's budget;
// it is called only where a retry would be right. Jitter is a random number in [0,1).
func Decide(request Request, failure Failure, take func() bool, jitter float64) Decision {
	if failure.Refusal.Outcome != outcome.NotRun && !request.Idempotent {
		return giveUp(failure.Refusal)
	}
	if final(failure.Refusal.Reason) {
		return giveUp(failure.Refusal)
	}
	if failure.Refusal.Outcome == outcome.NotRun && searching(request, failure.Refusal.Reason) {
		return search(failure, jitter)
	}
	action, ok := target(request, failure)
	if !ok || failure.Sends >= maxSends || failure.Remaining < minRemaining {
		return giveUp(failure.Refusal)
	}
	if !take() {
		return giveUp(spent(failure.Refusal))
	}
	return Decision{Action: action}
}

// target returns where the next try goes, and false where there is no use in one.
func target(request Request, failure Failure) (Action, bool) {
	switch {
	case failure.Elsewhere && !request.Keyed:
		return Elsewhere, true
	case shed(failure.Refusal.Reason):
		// The only server that could run the request has no room for it.
		return GiveUp, false
	default:
		return Again, true
	}
}

// search waits for the owner to be known, within the deadline.
func search(failure Failure, jitter float64) Decision {
	const maxDoublings = 8
	wait := firstWait << min(failure.Searches, maxDoublings)
	wait = min(wait, maxWait)
	wait = wait/2 + time.Duration(jitter*float64(wait/2))
	if failure.Remaining < wait+minRemaining {
		return giveUp(failure.Refusal)
	}
	return Decision{Action: Search, Wait: wait}
}

// searching reports whether a try ended because the owner or its lead was not found.
func searching(request Request, reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonNoOwner, outcome.ReasonNotOwner, outcome.ReasonNotLead, outcome.ReasonLeaving:
		return true
	case outcome.ReasonUnreachable:
		// The owner's lead tells this of a lost owner until a successor is active.
		return request.Keyed
	default:
		return false
	}
}

// shed reports whether a server had no room for the request.
func shed(reason outcome.Reason) bool {
	return reason == outcome.ReasonOverloaded || reason == outcome.ReasonWarming
}

// final reports whether no other try can end differently.
func final(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonBadRequest, outcome.ReasonUnknownService, outcome.ReasonDeadline,
		outcome.ReasonDuplicate, outcome.ReasonPoison, outcome.ReasonRetryBudget,
		outcome.ReasonTooManySuspects:
		return true
	default:
		return false
	}
}

// spent returns the refusal where only the budget forbids another try. What is
// known of the request stays as it is.
func spent(refusal outcome.Refusal) outcome.Refusal {
	refusal.Reason = outcome.ReasonRetryBudget
	refusal.RetryAfter = max(refusal.RetryAfter, retryBudgetAfter)
	return refusal
}

func giveUp(refusal outcome.Refusal) Decision {
	return Decision{Action: GiveUp, Refusal: refusal}
}

// HedgeAfter returns how long after its first try a request is sent to a second
// server too, and false where it is not. The budget is asked when the time has come.
func HedgeAfter(request Request, after, remaining time.Duration) (time.Duration, bool) {
	if !request.Idempotent || request.Keyed || after <= 0 {
		return 0, false
	}
	return after, after+minRemaining <= remaining
}
