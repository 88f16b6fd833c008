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

// Gateway sends requests to the backend servers of the sessions for which this host
// is the primary. It is safe for concurrent use.
type Gateway struct {
	pool  *transport.Pool
	guard *poison.Guard
	sent  sliceCounts

	mu       sync.RWMutex
	sessions map[record.SessionID]*registeredSession
}

// registeredSession is one session that this host is a lessor of.
type registeredSession struct {
	keeper  *keeper.Keeper
	limiter *ServerLimiter
}

// NewGateway returns a gateway that sends over the pool's connections and reports the
// start and end of every attempt to the guard.
func NewGateway(pool *transport.Pool, guard *poison.Guard) *Gateway {
	return &Gateway{pool: pool, guard: guard, sessions: make(map[record.SessionID]*registeredSession)}
}

// Add registers the keeper's session with the gateway.
func (g *Gateway) Add(k *keeper.Keeper, limiter *ServerLimiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions[k.ID()] = &registeredSession{keeper: k, limiter: limiter}
}

// Remove unregisters a session. Requests for it are then refused with not-lead.
func (g *Gateway) Remove(id record.SessionID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sessions, id)
}

// session returns a registered session, or nil.
func (g *Gateway) session(id record.SessionID) *registeredSession {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.sessions[id]
}

// Serve makes one attempt of a request at the server of the request's session. It
// checks in order: whether this host may serve the slice, whether the request ID was
// used before, and whether the request is suspected of crashing servers.
func (g *Gateway) Serve(ctx context.Context, r *Request) Result {
	session := g.session(r.Session)
	if session == nil {
		return notRun(outcome.ReasonNotLead, "this host is no lessor of the session")
	}
	if admission := session.keeper.BeginServing(r.Slice); !admission.Allowed {
		return notAdmitted(admission)
	}
	defer session.keeper.EndServing()
	if !r.Idempotent() {
		decision := session.keeper.Lookup(ctx, r.claimID(), r.digest())
		if decision.Kind != idempotency.KindNew {
			return duplicateResult(decision)
		}
	}
	attempt, refusal, ok := g.guard.Begin(ctx, session.limiter.server, r.fingerprint())
	if !ok {
		return Result{Refusal: refusal}
	}
	result := g.acquireAndSend(ctx, session, r, attempt)
	attempt.End(attemptEnding(ctx, result))
	return result
}

// acquireAndSend waits for a free slot of the server, sends the request and releases
// the slot.
func (g *Gateway) acquireAndSend(ctx context.Context, session *registeredSession, r *Request, attempt *poison.Attempt) Result {
	permit, refusal, ok := session.limiter.slots.AcquireFor(ctx, limit.Request{
		Flow:     r.Key,
		Deadline: r.Deadline,
		Alone:    attempt.Alone,
	})
	if !ok {
		return Result{Refusal: refusal}
	}
	result := g.claimAndSend(ctx, session, r, permit, attempt)
	if result.Refusal.Reason == outcome.ReasonOverloaded {
		permit.ReleaseShed()
	} else {
		permit.Release(result.Answer != nil)
	}
	return result
}

// attemptEnding classifies how an attempt ended, for the guard.
func attemptEnding(ctx context.Context, result Result) poison.Result {
	switch {
	case result.Answer != nil:
		return poison.Finished
	case result.Refusal.Outcome != outcome.Unknown:
		return poison.Rejected
	case ctx.Err() != nil, result.Refusal.Reason == outcome.ReasonDeadline:
		return poison.TimedOut
	}
	return poison.Broken
}

// notAdmitted is the result for a request that the keeper did not admit. It names the
// successor or the primary to try instead, if known.
func notAdmitted(admission keeper.Admission) Result {
	switch {
	case admission.Successor != 0:
		result := notRun(outcome.ReasonNotOwner, "the slice has moved")
		result.Successor = admission.Successor
		return result
	case admission.Primary != "":
		result := notRun(outcome.ReasonNotLead, "another host leads the session")
		result.Primary = admission.Primary
		return result
	}
	return notRun(outcome.ReasonNoOwner, "the server does not hold the slice at the moment")
}

// claimAndSend sends the request. The ID of a non-idempotent request is first
// recorded at a quorum of the session's lessors, so that a later attempt with the same
// ID does not run it twice, even after a failover.
func (g *Gateway) claimAndSend(ctx context.Context, session *registeredSession, r *Request, permit *limit.Permit, attempt *poison.Attempt) Result {
	if r.Idempotent() {
		return g.sendToServer(ctx, session, r, permit, attempt)
	}
	id := r.claimID()
	decision, claimed := session.keeper.Claim(ctx, id, r.digest())
	if decision.Kind != idempotency.KindNew {
		return duplicateResult(decision)
	}
	if !claimed {
		session.keeper.FinishClaim(id, decision.Attempt, idempotency.Result{State: idempotency.StateReleased})
		return notRun(outcome.ReasonNotLead, "the request's ID could not be copied to another host")
	}
	result := g.sendToServer(ctx, session, r, permit, attempt)
	session.keeper.FinishClaim(id, decision.Attempt, claimResult(result))
	return result
}

// duplicateResult is the result for a request whose ID was used before: the stored answer
// if there is one, else a refusal.
func duplicateResult(decision idempotency.Decision) Result {
	switch decision.Kind {
	case idempotency.KindDone:
		if !decision.Answer.Omitted {
			return Result{Answer: storedAnswer(decision.Answer)}
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
		result.Refusal.RetryAfter = decision.RetryAfter
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

// claimResult is what the request-ID store keeps of a result. Of the answer's
// headers it keeps only Content-Type.
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

// sendToServer sends the request under the slice's current epoch. It asks the keeper
// again because ownership may have changed while the request waited for a slot.
func (g *Gateway) sendToServer(ctx context.Context, session *registeredSession, r *Request, permit *limit.Permit, attempt *poison.Attempt) Result {
	admission := session.keeper.BeginSend(r.Slice)
	if !admission.Allowed {
		return notAdmitted(admission)
	}
	defer session.keeper.EndSend(r.Slice)
	req, err := r.httpRequest("http://" + admission.Addr)
	if err != nil {
		return Result{Refusal: badRequest(err.Error())}
	}
	req.Header.Set(backend.HeaderSlice, strconv.Itoa(r.Slice))
	req.Header.Set(backend.HeaderEpoch, strconv.FormatUint(uint64(admission.Epoch), 10))
	req.Header.Set(backend.HeaderSession, strconv.FormatUint(uint64(admission.Session), 10))
	ctx, cancel := contextUntilSessionEnd(ctx, permit, r.Deadline)
	defer cancel()
	attempt.Sent()
	g.sent.add(ownership.SliceKey{Service: r.Service, Slice: r.Slice})
	response := send(ctx, g.pool, req)
	if response.err != nil {
		session.keeper.ReportNoAnswer()
	} else {
		session.keeper.CheckIncarnation(response.answer.Header.Get(backend.HeaderIncarnation))
	}
	return serverResult(response, time.Now().After(r.Deadline))
}

// contextUntilSessionEnd returns a context that ends at the deadline, or when the
// server's incarnation or session ends.
func contextUntilSessionEnd(ctx context.Context, permit *limit.Permit, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	go func() {
		select {
		case <-permit.ServerLost():
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// serverResult turns an exchange with a backend server into a result. late reports
// that the deadline has passed.
func serverResult(response exchange, late bool) Result {
	switch {
	case response.err != nil && late && response.maybeSent:
		return unknown(outcome.ReasonDeadline, "the deadline passed before the backend server answered")
	case response.err != nil && !response.maybeSent:
		return notRun(outcome.ReasonUnreachable, "the backend server cannot be reached")
	case response.err != nil:
		return unknown(outcome.ReasonAnswerLost, "the backend server's answer did not arrive")
	case outcome.Outcome(response.answer.Header.Get(backend.HeaderOutcome)) != outcome.NotRun:
		return Result{Answer: response.answer}
	case response.answer.Status == http.StatusMisdirectedRequest:
		return notRun(outcome.ReasonNotOwner, "the backend server does not hold the slice")
	}
	return notRun(outcome.ReasonOverloaded, "the backend server sheds load")
}
