package route

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/limit"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// Lane is what the gateway keeps for one session: the admission to its server.
// It implements keeper.Observer.
type Lane struct {
	gate   *limit.Gate
	guard  *poison.Guard
	server poison.Server
}

// NewLane returns the lane of a session with the given server, under the
// settings in force. The server's cold start counts from started. The guard is
// told of the server's death.
func NewLane(values settings.Values, server poison.Server, started time.Time, guard *poison.Guard) *Lane {
	return &Lane{
		gate:   limit.NewGate(limit.ConfigFrom(values), started),
		guard:  guard,
		server: server,
	}
}

// ServerAnswered implements keeper.Observer.
func (l *Lane) ServerAnswered(asked time.Time, reply backend.GrantReply) {
	l.gate.ObserveInFlight(asked, reply.InFlight)
	l.guard.ServerAlive(asked, poison.Server{Addr: l.server.Addr, Incarnation: reply.Incarnation})
}

// LeadGained implements keeper.Observer. Requests that the former lead sent may
// still be in execution.
func (l *Lane) LeadGained(values settings.Values) {
	l.gate.Inherit(values.Slots, time.Now().Add(values.RequestTimeout))
}

// SessionEnded implements keeper.Observer. Requests on a server that has not
// failed finish.
func (l *Lane) SessionEnded(died bool) {
	refusal := notRun(outcome.ReasonNotOwner, "the server's session has ended").Refusal
	if !died {
		l.gate.Drain(refusal)
		return
	}
	l.gate.Close(refusal)
	l.guard.ServerDied(l.server)
}
