package load

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Reasons that the load generator gives itself, in addition to those of the hosts.
const (
	// ReasonConnectFailed means that no connection to the target could be opened.
	ReasonConnectFailed outcome.Reason = "connect-failed"
	// ReasonNoOutcome means that a host's answer had no outcome header.
	ReasonNoOutcome outcome.Reason = "no-outcome"
	// ReasonCrossedAnswer means that the answer belongs to another request: its
	// Idempotency-Key is not the one that was sent.
	ReasonCrossedAnswer outcome.Reason = "crossed-answer"
)

// Record is the result of one attempt of a request. It is written as one line of JSON.
type Record struct {
	// ID is the ID of the request. All its attempts share it.
	ID string `json:"id"`
	// Attempt counts the attempts of the request from 0; its JSON name is "try".
	Attempt int    `json:"try"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	// Host is the address of the target, which is a backend server in a direct run.
	Host string `json:"host"`
	// Intended is the time at which the schedule starts the request.
	Intended time.Time `json:"intended"`
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	// Status is the HTTP status, or zero if no complete answer arrived.
	Status  int             `json:"status,omitempty"`
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason,omitempty"`
	// Detail is the text of the error, if there was one.
	Detail string `json:"detail,omitempty"`
	// Last is set if no further attempt follows.
	Last bool `json:"last"`
}
