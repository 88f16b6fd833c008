package front

import (
	"net/http"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/concurrency"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// learns reports whether the times of the request say something about the server: it tells its number of slots, and
// the route has a goal by which kinds of requests are compared.
func learns(r *Request, entry fleet.Entry) bool {
	return entry.Slots > 0 && r.Route.Goal > 0
}

func learnedServer(entry fleet.Entry) concurrency.Server {
	return concurrency.Server{ID: string(entry.ID), Born: entry.Born}
}

// beginLearning records that a request that the server's gate has admitted is sent. It returns nil if nothing is learned
// from it.
func (in *Ingress) beginLearning(r *Request, entry fleet.Entry) *concurrency.Request {
	if !learns(r, entry) {
		return nil
	}
	kind := concurrency.Kind{Service: r.Service.Name, Route: r.Route.Name, Goal: r.Route.Goal}
	return in.Learner.Begin(learnedServer(entry), entry.Slots, kind, in.clock())
}

// endLearning records the end of the attempt. An answer that is an error may come without work.
func (in *Ingress) endLearning(learned *concurrency.Request, a attempt) {
	if learned == nil {
		return
	}
	executed := a.outcome == attemptAnswered && a.answer.Status < http.StatusBadRequest
	in.Learner.End(learned, executed, in.clock())
}

// followWidth sets the width of a server's gate to what has been learned.
func (in *Ingress) followWidth(gate *dispatch.Gate, entry fleet.Entry) {
	if entry.Slots <= 0 {
		return
	}
	_, queued := gate.Len()
	gate.SetWidth(in.Learner.Width(learnedServer(entry), entry.Slots, queued > 0, in.clock()))
}

// logWidth logs a change of the width of a server's gate.
func (in *Ingress) logWidth(change concurrency.Change) {
	in.log.Event("width", "service", change.Service, "server", change.Server.ID, "born", change.Server.Born,
		"width", change.Width, "full", change.Full, "slow", change.Slow)
}

// Speeds returns the speeds of the servers whose primary this host is.
func (in *Ingress) Speeds(now time.Duration) []concurrency.Speed {
	return in.Learner.Speeds(now)
}
