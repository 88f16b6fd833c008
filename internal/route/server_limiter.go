package route

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/limit"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// ServerLimiter limits the concurrent requests to the backend server of one session.
// As a keeper.Observer it is notified by the session's keeper of the server's state, and
// reports it to the guard.
type ServerLimiter struct {
	slots  *limit.Limiter
	guard  *poison.Guard
	server poison.Server
}

// NewServerLimiter returns the limiter of a session with the given server, under the
// current settings. The server's cold start counts from started. The limiter reports to
// the guard when the server answers and when it crashes.
func NewServerLimiter(values settings.Values, server poison.Server, started time.Time, guard *poison.Guard) *ServerLimiter {
	return &ServerLimiter{
		slots:  limit.NewLimiter(limit.ConfigFrom(values), started),
		guard:  guard,
		server: server,
	}
}

// ServerAnswered implements keeper.Observer.
func (l *ServerLimiter) ServerAnswered(queriedAt time.Time, reply backend.GrantReply) {
	l.slots.ObserveInFlight(queriedAt, reply.InFlight)
	l.guard.ServerAlive(queriedAt, poison.Server{Addr: l.server.Addr, Incarnation: reply.Incarnation})
}

// BecamePrimary implements keeper.Observer: this host has become the session's primary.
// Requests that the former primary sent may still be running. Until one request timeout
// has passed or the server reports fewer requests, they count as using all its slots.
func (l *ServerLimiter) BecamePrimary(values settings.Values) {
	l.slots.Inherit(values.Slots, time.Now().Add(values.RequestTimeout))
}

// SessionEnded implements keeper.Observer. If the server has not crashed, requests in
// flight may finish; otherwise they are abandoned and the crash is reported to the guard.
func (l *ServerLimiter) SessionEnded(crashed bool) {
	refusal := notRun(outcome.ReasonNotOwner, "the server's session has ended").Refusal
	if !crashed {
		l.slots.Drain(refusal)
		return
	}
	l.slots.Close(refusal)
	l.guard.ServerCrashed(l.server, poison.Discovery)
}
