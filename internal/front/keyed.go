package front

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

const (
	// settleTime is how long after a change of holder the new one gets its grant.
	settleTime = 15 * time.Millisecond
	// holderPause is the time between two tries at a holder that does not hold the key yet.
	holderPause = 40 * time.Millisecond
	// maxHops bounds the leads that are asked in turn.
	maxHops = 2
	// maxNotHeld bounds these tries.
	maxNotHeld = 6
	// fullPause is the time after which a holder that was full is tried again.
	fullPause = 50 * time.Millisecond
	// patienceShare is the share of its goal that a request waits for a holder.
	patienceShare = 0.6
)

// keyedTry is the course of one request for a key.
type keyedTry struct {
	course
	door    *Door
	r       *Request
	notHeld int
}

// serveKeyed passes a request on to the lead of the server that holds its key. Where
// this host is the lead, or the lead cannot be asked, it sends the request itself.
func (d *Door) serveKeyed(ctx context.Context, r *Request) Result {
	mayHaveRun := false
	for range maxHops {
		plan := d.config.Current.Plan()
		a, found := plan.Lookup(r.Service.Name, r.Key)
		if !found || a.Phase != assign.Held {
			break
		}
		lead, ok := d.leads.of(plan, a.Server)
		if !ok || lead.Name == d.config.Self {
			break
		}
		result, final := d.forward(ctx, r, lead)
		if final {
			return withRun(result, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || result.Kind == Unknown
	}
	return withRun(d.sendKeyed(ctx, r), mayHaveRun)
}

// sendKeyed sends a request to the server that holds its key. While the key is on
// its way to another server the request waits.
func (d *Door) sendKeyed(ctx context.Context, r *Request) Result {
	d.budgets.request(r.Service.Name, d.clock())
	d.keys.add(r.Service.Name, r.Key, d.clock())
	t := &keyedTry{door: d, r: r}
	for ctx.Err() == nil {
		result, again := t.round(ctx)
		if !again {
			if result.Kind == Done {
				return result
			}
			return t.end(result)
		}
	}
	return t.end(d.overdue(t.mayHaveRun))
}

// waitUntil is the reading of the clock until which the request waits for a holder.
func (t *keyedTry) waitUntil() time.Duration {
	patience := time.Duration(patienceShare * float64(t.r.Route.Goal))
	return min(t.r.Arrived+patience, t.r.Deadline)
}

// round looks up the holder and tries it once. It returns true where another round may help.
func (t *keyedTry) round(ctx context.Context) (Result, bool) {
	plan, changed := t.door.config.Current.Watch()
	a, found := plan.Lookup(t.r.Service.Name, t.r.Key)
	if !found || a.Phase != assign.Held {
		return t.wait(ctx, changed, t.waitUntil(), reasonNoHolder)
	}
	server, ok := t.door.fleet.Server(fleet.ID(a.Server.ID))
	if !ok || !t.door.fleet.Open(server) {
		return t.wait(ctx, changed, t.waitUntil(), reasonNoHolder)
	}
	return t.try(ctx, server, changed)
}

// try waits for a place at the server and sends the request.
func (t *keyedTry) try(ctx context.Context, server *fleet.Server, changed <-chan struct{}) (Result, bool) {
	gate := t.door.gates.of(server.Entry())
	retryAfter, ok := gate.Acquire(ctx, dispatch.Item{
		Priority: t.r.Route.Priority,
		Goal:     t.r.Arrived + t.r.Route.Goal,
		Deadline: t.r.Deadline,
		Work:     t.expectedWork(server),
	})
	if !ok {
		return notRun(reasonFull, retryAfter), false
	}
	a, refusal, sent := t.send(ctx, server)
	gate.Release(a.took)
	if !sent {
		return refusal, refusal.Kind == 0
	}
	return t.after(ctx, a, changed)
}

// expectedWork is how long the server is thought to work on the request.
func (t *keyedTry) expectedWork(server *fleet.Server) time.Duration {
	usual := t.door.usual.of(t.r.Route.Name)
	return time.Duration(float64(usual) * server.Slowness(t.door.clock()))
}

// send makes one try at a server where a place has been given. It returns false where it did
// not, with the refusal, or an empty result where the key has left the server.
func (t *keyedTry) send(ctx context.Context, server *fleet.Server) (attempt, Result, bool) {
	began := t.door.clock()
	// The key may have left the server meanwhile.
	now, found := t.door.config.Current.Plan().Lookup(t.r.Service.Name, t.r.Key)
	if !found || now.Phase != assign.Held || now.Server.ID != string(server.Entry().ID) {
		return attempt{}, Result{}, false
	}
	if t.arrived && !t.door.budgets.take(t.r.Service.Name, began) {
		return attempt{}, notRun(reasonBudget, comeBack), false
	}
	if !server.Begin(t.door.allowance(t.r), began) {
		return attempt{}, notRun(reasonCold, comeBack), false
	}
	a := t.door.send(ctx, t.r, server)
	t.note(a)
	return a, Result{}, true
}

// after decides what follows from a try.
func (t *keyedTry) after(ctx context.Context, a attempt, changed <-chan struct{}) (Result, bool) {
	switch a.outcome {
	case tryAnswered:
		return Result{Kind: Done, Answer: a.answer}, false
	case tryNotHeld:
		t.notHeld++
		if t.notHeld > maxNotHeld {
			return notRun(reasonNotHeld, comeBack), false
		}
		return t.wait(ctx, changed, t.door.clock()+holderPause, reasonNotHeld)
	case tryShed:
		return t.pause(ctx, fullPause, reasonFull)
	case tryNotSent:
		return t.pause(ctx, fullPause, reasonUnreachable)
	}
	again := t.r.Route.Idempotent && t.runs < t.r.Route.Attempts && t.door.timeLeft(t.r)
	return t.end(unknown(reasonAnswerLost)), again
}

// pause lets time pass before another try, unless the goal has nearly passed.
func (t *keyedTry) pause(ctx context.Context, d time.Duration, reason string) (Result, bool) {
	if t.door.clock()+d > t.waitUntil() {
		return notRun(reason, comeBack), false
	}
	return t.wait(ctx, nil, t.door.clock()+d, reason)
}

// wait waits for a new plan until the given reading of the clock. A request that has
// waited to the end of its patience is refused.
func (t *keyedTry) wait(ctx context.Context, changed <-chan struct{}, until time.Duration, reason string) (Result, bool) {
	refusal := notRun(reason, comeBack)
	now := t.door.clock()
	if now >= t.waitUntil() {
		return refusal, false
	}
	timer := time.NewTimer(max(until-now, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return refusal, false
	case <-timer.C:
	case <-changed:
		timer.Reset(settleTime)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	return refusal, true
}
