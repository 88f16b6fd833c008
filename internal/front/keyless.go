package front

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// comeBack is when a caller may try again where nothing better is known.
const comeBack = 300 * time.Millisecond

// anyTry is the course of one request to any server of its service.
type anyTry struct {
	course
	excluded []fleet.ID
	last     Result
}

// serveAny sends a request to any server of its service, and to another one where
// that is allowed and may help.
func (d *Door) serveAny(ctx context.Context, r *Request) Result {
	t := &anyTry{last: notRun(reasonNoServer, comeBack)}
	for ctx.Err() == nil {
		if t.arrived && !d.budgets.take(r.Service.Name, d.clock()) {
			return t.end(t.last)
		}
		now := d.clock()
		server, ok := d.fleet.Choose(r.Service.Name, t.excluded, now)
		if !ok {
			return t.end(t.last)
		}
		t.excluded = append(t.excluded, server.Entry().ID)
		if !server.Begin(d.allowance(r), now) {
			t.last = notRun(reasonCold, comeBack)
			continue
		}
		ran := t.take(d.send(ctx, r, server))
		if t.last.Kind == Done {
			return t.last
		}
		if ran && (!r.Route.Idempotent || t.runs >= r.Route.Attempts || !d.timeLeft(r)) {
			return t.end(t.last)
		}
	}
	return t.end(d.overdue(t.mayHaveRun))
}

// take takes a try into account and reports whether the request may have run in it.
func (t *anyTry) take(a attempt) bool {
	t.note(a)
	switch a.outcome {
	case tryAnswered:
		t.last = Result{Kind: Done, Answer: a.answer}
	case tryShed:
		t.last = notRun(reasonFull, comeBack)
	case tryNotSent:
		t.last = notRun(reasonUnreachable, comeBack)
	case tryNotHeld:
		t.last = notRun(reasonNotHeld, comeBack)
	case tryFailed, tryLost:
		t.last = unknown(reasonAnswerLost)
		return true
	}
	return false
}

// timeLeft reports whether another run could be answered in time.
func (d *Door) timeLeft(r *Request) bool {
	return d.clock()+d.usual.of(r.Route.Name) < r.Deadline
}

// overdue is the result of a request whose time is over.
func (d *Door) overdue(mayHaveRun bool) Result {
	if mayHaveRun {
		return unknown(reasonDeadline)
	}
	return notRun(reasonDeadline, comeBack)
}

// withRun turns a refusal into an unknown end where an earlier try may have run.
func withRun(result Result, mayHaveRun bool) Result {
	if mayHaveRun && result.Kind == NotRun {
		return unknown(result.Reason)
	}
	return result
}
