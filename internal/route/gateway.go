package route

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/limit"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Gateway sends requests to the backend servers whose sessions this host leads.
// It is safe for concurrent use.
type Gateway struct {
	pool  *transport.Pool
	guard *poison.Guard
	sent  sliceCounts

	mu    sync.RWMutex
	lanes map[record.SessionID]*laneEntry
}

type laneEntry struct {
	keeper *keeper.Keeper
	lane   *Lane
}

// NewGateway returns a gateway that sends over the pool's connections and keeps
// the guard informed.
func NewGateway(pool *transport.Pool, guard *poison.Guard) *Gateway {
	return &Gateway{pool: pool, guard: guard, lanes: make(map[record.SessionID]*laneEntry)}
}

// Add makes a session known to the gateway.
func (g *Gateway) Add(k *keeper.Keeper, lane *Lane) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lanes[k.ID()] = &laneEntry{keeper: k, lane: lane}
}

// Remove forgets a session.
func (g *Gateway) Remove(id record.SessionID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.lanes, id)
}

func (g *Gateway) entry(id record.SessionID) *laneEntry {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.lanes[id]
}

// Serve runs one try of a request at the server of the request's session.
func (g *Gateway) Serve(ctx context.Context, r *Request) Result {
	entry := g.entry(r.Session)
	if entry == nil {
		return notRun(outcome.ReasonNotLead, "this host is no lessor of the session")
	}
	if admission := entry.keeper.Enter(r.Slice); !admission.Allowed {
		return notAdmitted(admission)
	}
	defer entry.keeper.Exit()
	if !r.Idempotent() {
		verdict := entry.keeper.Lookup(ctx, r.claimID(), r.digest())
		if verdict.Kind != idempotency.KindNew {
			return repeated(verdict)
		}
	}
	pass, refused, ok := g.guard.Begin(ctx, entry.lane.server, r.fingerprint())
	if !ok {
		return Result{Refusal: refused}
	}
	result := g.acquireAndSend(ctx, entry, r, pass)
	pass.End(ending(ctx, result))
	return result
}

// acquireAndSend waits for a slot of the server and sends the request.
func (g *Gateway) acquireAndSend(ctx context.Context, entry *laneEntry, r *Request, pass *poison.Pass) Result {
	permit, refusal, ok := entry.lane.gate.AcquireFor(ctx, limit.Request{
		Flow:     r.Key,
		Deadline: r.Deadline,
		Alone:    pass.Alone,
	})
	if !ok {
		return Result{Refusal: refusal}
	}
	result := g.claimAndSend(ctx, entry, r, permit, pass)
	if result.Refusal.Reason == outcome.ReasonOverloaded {
		permit.ReleaseShed()
	} else {
		permit.Release(result.Answer != nil)
	}
	return result
}

// ending tells the guard how a request ended.
func ending(ctx context.Context, result Result) poison.Ending {
	switch {
	case result.Answer != nil:
		return poison.Finished
	case result.Refusal.Outcome != outcome.Unknown:
		return poison.Refused
	case ctx.Err() != nil, result.Refusal.Reason == outcome.ReasonDeadline:
		return poison.TimedOut
	}
	return poison.Broken
}

// notAdmitted tells where the request may go instead.
func notAdmitted(admission keeper.Admission) Result {
	switch {
	case admission.Successor != 0:
		result := notRun(outcome.ReasonNotOwner, "the slice has moved")
		result.Successor = admission.Successor
		return result
	case admission.Lead != "":
		result := notRun(outcome.ReasonNotLead, "another host leads the session")
		result.Lead = admission.Lead
		return result
	}
	return notRun(outcome.ReasonNoOwner, "the server does not hold the slice at the moment")
}

// claimAndSend remembers a non-idempotent request at a quorum of the session's
// lessors before it sends it.
func (g *Gateway) claimAndSend(ctx context.Context, entry *laneEntry, r *Request, permit *limit.Permit, pass *poison.Pass) Result {
	if r.Idempotent() {
		return g.sendToServer(ctx, entry, r, permit, pass)
	}
	id := r.claimID()
	verdict, claimed := entry.keeper.Claim(ctx, id, r.digest())
	if verdict.Kind != idempotency.KindNew {
		return repeated(verdict)
	}
	if !claimed {
		entry.keeper.FinishClaim(id, verdict.Attempt, idempotency.Result{State: idempotency.StateReleased})
		return notRun(outcome.ReasonNotLead, "the request's ID could not be copied to another host")
	}
	result := g.sendToServer(ctx, entry, r, permit, pass)
	entry.keeper.FinishClaim(id, verdict.Attempt, claimResult(result))
	return result
}

// repeated is the result of a request whose ID has been seen before.
func repeated(verdict idempotency.Verdict) Result {
	switch verdict.Kind {
	case idempotency.KindDone:
		if !verdict.Answer.Omitted {
			return Result{Answer: storedAnswer(verdict.Answer)}
		}
		return Result{Refusal: outcome.Refusal{
			Outcome: outcome.Done, Reason: outcome.ReasonDuplicate,
			Detail: "the request ran; its answer was too large to be kept",
		}}
	case idempotency.KindMismatch:
		return Result{Refusal: outcome.Refusal{
			Outcome: outcome.NotRun, Reason: outcome.ReasonDuplicate,
			Detail: "the request ID was used for another request",
		}}
	case idempotency.KindFull:
		result := notRun(outcome.ReasonOverloaded, "the memory of request IDs is full")
		result.Refusal.RetryAfter = verdict.RetryAfter
		return result
	}
	return unknown(outcome.ReasonDuplicate, "an earlier try of the request may have run")
}

func storedAnswer(stored idempotency.Answer) *Answer {
	answer := &Answer{Status: stored.Status, Header: make(http.Header), Body: stored.Body}
	for _, header := range stored.Headers {
		answer.Header.Add(header.Name, header.Value)
	}
	return answer
}

func claimResult(result Result) idempotency.Result {
	if result.Answer == nil {
		if result.Refusal.Outcome == outcome.NotRun {
			return idempotency.Result{State: idempotency.StateReleased}
		}
		return idempotency.Result{State: idempotency.StateUnknown}
	}
	kept := idempotency.Answer{Status: result.Answer.Status, Body: result.Answer.Body}
	if contentType := result.Answer.Header.Get("Content-Type"); contentType != "" {
		kept.Headers = append(kept.Headers, idempotency.Header{Name: "Content-Type", Value: contentType})
	}
	return idempotency.Result{State: idempotency.StateDone, Answer: kept}
}

// sendToServer sends the request under the epoch that is in force now.
func (g *Gateway) sendToServer(ctx context.Context, entry *laneEntry, r *Request, permit *limit.Permit, pass *poison.Pass) Result {
	admission := entry.keeper.Begin(r.Slice)
	if !admission.Allowed {
		return notAdmitted(admission)
	}
	defer entry.keeper.End(r.Slice)
	req, err := r.httpRequest("http://" + admission.Addr)
	if err != nil {
		return Result{Refusal: badRequest(err.Error())}
	}
	req.Header.Set(backend.HeaderSlice, strconv.Itoa(r.Slice))
	req.Header.Set(backend.HeaderEpoch, strconv.FormatUint(uint64(admission.Epoch), 10))
	req.Header.Set(backend.HeaderSession, strconv.FormatUint(uint64(admission.Session), 10))
	ctx, cancel := untilLost(ctx, permit, r.Deadline)
	defer cancel()
	pass.Sent()
	g.sent.add(ownership.SliceKey{Service: r.Service, Slice: r.Slice})
	done := send(ctx, g.pool, req)
	if done.err != nil {
		entry.keeper.Suspect()
	} else {
		entry.keeper.Answered(done.answer.Header.Get(backend.HeaderIncarnation))
	}
	return serverResult(done, time.Now().After(r.Deadline))
}

// untilLost ends the context at the deadline, or when the server's session ends.
func untilLost(ctx context.Context, permit *limit.Permit, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	go func() {
		select {
		case <-permit.Lost():
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// serverResult turns an exchange with a backend server into a result.
func serverResult(done exchange, late bool) Result {
	switch {
	case done.err != nil && late && done.maybeSent:
		return unknown(outcome.ReasonDeadline, "the deadline passed before the backend server answered")
	case done.err != nil && !done.maybeSent:
		return notRun(outcome.ReasonUnreachable, "the backend server cannot be reached")
	case done.err != nil:
		return unknown(outcome.ReasonAnswerLost, "the backend server's answer did not arrive")
	case outcome.Outcome(done.answer.Header.Get(backend.HeaderOutcome)) != outcome.NotRun:
		return Result{Answer: done.answer}
	case done.answer.Status == http.StatusMisdirectedRequest:
		return notRun(outcome.ReasonNotOwner, "the backend server does not hold the slice")
	}
	return notRun(outcome.ReasonOverloaded, "the backend server sheds load")
}
