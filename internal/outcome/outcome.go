// Package outcome defines the possible results of a caller's request and the reasons for a
// refusal.
//
// The request path (packages route, retry, limit, poison) passes these values on, and
// callers receive them in response headers. A refusal with NotRun guarantees that no backend
// server executed any part of the request, so the caller may send it again. Reporting NotRun
// for a request that may have been executed could make a caller execute it twice.
package outcome

import "time"

// Outcome is what is known about the execution of a request.
type Outcome string

const (
	// Done means that a backend server executed the request and its complete answer arrived.
	Done Outcome = "done"
	// NotRun means that no backend server has executed or will execute the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have been executed: its answer was lost or is unusable.
	Unknown Outcome = "unknown"
)

// Reason says why a request was refused or why its outcome is unknown. The values are part
// of the interface to callers and must not change.
type Reason string

// Reasons for refusals and unknown outcomes.
const (
	ReasonNone Reason = ""
	// ReasonBadRequest: the request is malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonUnknownService: the settings contain no such service.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonNoOwner: no server owns the key at the moment.
	ReasonNoOwner Reason = "no-owner"
	// ReasonNotOwner: the server that was tried does not own the key.
	ReasonNotOwner Reason = "not-owner"
	// ReasonNotLead: the host is not the server's primary; callers know the primary as the "lead".
	ReasonNotLead Reason = "not-lead"
	// ReasonOverloaded: the server or its admission queue is full.
	ReasonOverloaded Reason = "overloaded"
	// ReasonWarming: the only servers available are cold and accept no more for now.
	ReasonWarming Reason = "warming"
	// ReasonDeadline: the deadline passed, or would pass before an answer.
	ReasonDeadline Reason = "deadline"
	// ReasonUnreachable: no connection to a server could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonAnswerLost: the request was sent, and no usable answer arrived.
	ReasonAnswerLost Reason = "answer-lost"
	// ReasonDuplicate: a request with the same ID was seen before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonPoison: the request has crashed servers before.
	ReasonPoison Reason = "poison"
	// ReasonLeaving: the host is shutting down.
	ReasonLeaving Reason = "leaving"
	// ReasonRetryBudget: the retry budget of the service is used up.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonTooManySuspects: the request may crash servers and can't be tried now, because other
	// such requests are being tried or an earlier crash of its own is not confirmed yet.
	ReasonTooManySuspects Reason = "too-many-suspects"
)

// Refusal is the final result of a request if no backend server's answer is passed on. A
// RetryAfter of zero means that a retry does not help.
type Refusal struct {
	Outcome    Outcome       `json:"outcome"`
	Reason     Reason        `json:"reason"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"-"`
}
