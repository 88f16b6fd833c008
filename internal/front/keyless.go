package front

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// comeBack is when a caller may try again where nothing better is known.
const comeBack = 300 * time.Millisecond

// serveAny sends a request to any server of its service, and to another one where
// that is allowed and may help.
func (d *Door) serveAny(ctx context.Context, r *Request) Result {
	var excluded []fleet.ID
	mayHaveRun := false
	// arrived says that a try has reached a server, so that another one is a repeat.
	arrived := false
	runs := 0
	var failure *Answer
	last := notRun(reasonNoServer, comeBack)
	for {
		if ctx.Err() != nil {
			return end(d.overdue(mayHaveRun), failure, mayHaveRun)
		}
		if arrived && !d.budgets.take(r.Service.Name, d.clock()) {
			return end(last, failure, mayHaveRun)
		}
		now := d.clock()
		server, ok := d.fleet.Choose(r.Service.Name, excluded, now)
		if !ok {
			return end(last, failure, mayHaveRun)
		}
		excluded = append(excluded, server.Entry().ID)
		if !server.Begin(d.allowance(r), now) {
			last = notRun(reasonCold, comeBack)
			continue
		}
		a := d.send(ctx, r, server)
		arrived = arrived || a.outcome != tryNotSent
		switch a.outcome {
		case tryAnswered:
			return Result{Kind: Done, Answer: a.answer}
		case tryFailed:
			runs++
			mayHaveRun = true
			failure = a.answer
		case tryLost:
			runs++
			mayHaveRun = true
			last = unknown(reasonAnswerLost)
		case tryShed:
			last = notRun(reasonFull, comeBack)
		case tryNotSent:
			last = notRun(reasonUnreachable, comeBack)
		case tryNotHeld:
			last = notRun(reasonNotHeld, comeBack)
		}
		ran := a.outcome == tryLost || a.outcome == tryFailed
		if ran && (!r.Route.Idempotent || runs >= r.Route.Attempts || !d.timeLeft(r)) {
			return end(last, failure, mayHaveRun)
		}
	}
}

// timeLeft reports whether another run could be answered in time.
func (d *Door) timeLeft(r *Request) bool {
	return d.clock()+d.usual.of(r.Route.Name) < r.Deadline
}

// end is the end of a request without a success: a failure that a server has answered
// goes before this host's own.
func end(own Result, failure *Answer, mayHaveRun bool) Result {
	if failure != nil {
		return Result{Kind: Done, Answer: failure}
	}
	return withRun(own, mayHaveRun)
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
