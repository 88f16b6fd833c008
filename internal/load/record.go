package load

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Reasons that the load tool itself gives where no answer does.
const (
	// ReasonConnect means that no connection was made.
	ReasonConnect outcome.Reason = "connect-failed"
	// ReasonNoOutcome means that a host's answer carried no outcome.
	ReasonNoOutcome outcome.Reason = "no-outcome"
	// ReasonCrossed means that the answer belongs to another request.
	ReasonCrossed outcome.Reason = "crossed-answer"
)

// Record is what became of one try of a request. Tries of one request share its ID.
type Record struct {
	ID     string `json:"id"`
	Try    int    `json:"try"`
	Key    string `json:"key"`
	Method string `json:"method"`
	Host   string `json:"host"`
	// Intended is when the request was planned to start.
	Intended time.Time       `json:"intended"`
	Start    time.Time       `json:"start"`
	End      time.Time       `json:"end"`
	Status   int             `json:"status,omitempty"`
	Outcome  outcome.Outcome `json:"outcome"`
	Reason   outcome.Reason  `json:"reason,omitempty"`
	Detail   string          `json:"detail,omitempty"`
	// Last says that the request is not sent again.
	Last bool `json:"last"`
}
