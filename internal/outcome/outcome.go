// Package outcome names what became of a caller's request.
//
// Outcomes are values carried through the data path. A refusal that says NotRun
// is a promise: no backend server executed any part of the request.
package outcome

import "time"

// Outcome is what is known about the execution of a request.
type Outcome string

const (
	// Done means that a backend server executed the request and its whole answer is known.
	Done Outcome = "done"
	// NotRun means that no backend server executed the request and none will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
)

// Reason names why a request was refused or why its outcome is unknown. The
// values are part of the callers' interface and do not change.
type Reason string

// Reasons of refusals.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "bad-request"
	ReasonUnknownService  Reason = "unknown-service"
	ReasonNoOwner         Reason = "no-owner"
	ReasonNotOwner        Reason = "not-owner"
	ReasonNotLead         Reason = "not-lead"
	ReasonOverloaded      Reason = "overloaded"
	ReasonWarming         Reason = "warming"
	ReasonDeadline        Reason = "deadline"
	ReasonUnreachable     Reason = "unreachable"
	ReasonAnswerLost      Reason = "answer-lost"
	ReasonDuplicate       Reason = "duplicate"
	ReasonPoison          Reason = "poison"
	ReasonLeaving         Reason = "leaving"
	ReasonRetryBudget     Reason = "retry-budget"
	ReasonTooManySuspects Reason = "too-many-suspects"
)

// Refusal is a request's final answer where no backend server's answer is passed
// on. RetryAfter is zero where a later try cannot help.
type Refusal struct {
	Outcome    Outcome       `json:"outcome"`
	Reason     Reason        `json:"reason"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"-"`
}
