package route

import (
	"sync/atomic"

	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// Counters count callers' requests by final outcome (Done, NotRun, Unknown), the
// retries of keyed requests, and the attempts forwarded to other hosts.
type Counters struct {
	Done      atomic.Int64
	NotRun    atomic.Int64
	Unknown   atomic.Int64
	Retries   atomic.Int64
	Forwarded atomic.Int64
}

// count counts the final result of one request.
func (c *Counters) count(result Result) {
	switch {
	case result.Answer != nil, result.Refusal.Outcome == outcome.Done:
		c.Done.Add(1)
	case result.Refusal.Outcome == outcome.NotRun:
		c.NotRun.Add(1)
	default:
		c.Unknown.Add(1)
	}
}
