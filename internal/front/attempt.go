package front

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// deadlineMargin is subtracted from the remaining time that a server is given, so that its
// answer still reaches the caller in time.
const deadlineMargin = 10 * time.Millisecond

// attemptOutcome is the outcome of one attempt at a server.
type attemptOutcome int

const (
	// attemptAnswered: the server answered, and the caller gets this answer.
	attemptAnswered attemptOutcome = iota + 1
	// attemptNotOwner: the server answered that it does not own the key or that the request was
	// meant for another server. It did not execute the request. Log lines call this "not held".
	attemptNotOwner
	// attemptShed: the server answered that it did not execute the request, because it is full or the
	// deadline has passed.
	attemptShed
	// attemptNotSent: no byte of the request was written.
	attemptNotSent
	// attemptLost: the request may have been executed, and there is no usable answer.
	attemptLost
	// attemptFailed: the server answered with a failure of its own (status 500 or above).
	attemptFailed
	// attemptBlocked: the guard did not allow it, because the request may crash the server. Another
	// server would fare no better.
	attemptBlocked
)

// String returns the name of the outcome in logs.
func (o attemptOutcome) String() string {
	return [...]string{"", "answered", "not held", "shed", "not sent", "lost", "failed", "blocked"}[o]
}

// attempt is the result of sending a request to one server.
type attempt struct {
	outcome attemptOutcome
	// answer is the server's answer, or nil if there is no usable one.
	answer *Answer
	// detail explains the outcome in the log.
	detail string
	// took is how long the server worked, or zero if that is unknown.
	took time.Duration
	// refusal is the result of the request if the attempt was blocked.
	refusal Result
	// waitsForTrial says that the attempt was blocked because another copy of the request is running alone.
	waitsForTrial bool
	// silent says that the connection was given up because it was silent while others of the server delivered.
	silent bool
	// suspect says that the request had crashed servers when it was sent.
	suspect bool
	// callerFailed says that the answer broke off because the caller did not take it.
	callerFailed bool
}

// mayHaveRun reports whether the server may have executed the request.
func (a attempt) mayHaveRun() bool {
	return a.outcome == attemptAnswered || a.outcome == attemptFailed || a.outcome == attemptLost
}

// sendIfAllowed makes one attempt at a server if the server takes it and, for a retry, the service's
// retry budget allows it. Otherwise it returns false and the result of the request. A retry that no
// server gets costs nothing of the budget.
func (in *Ingress) sendIfAllowed(ctx context.Context, r *Request, server *fleet.Server, retry bool) (attempt, Result, bool) {
	if !r.unsent.begin() {
		return attempt{}, notRun(reasonLeaving, leavingRetryAfter), false
	}
	mayHaveRun := false
	defer func() { r.unsent.end(mayHaveRun) }()
	now := in.clock()
	if retry && !in.budgets.take(r.Service.Name, now) {
		return attempt{}, notRun(reasonBudget, defaultRetryAfter), false
	}
	share := in.shareOf(r, server)
	if refusal := server.Begin(in.allowance(r, server, now), share, now); refusal != fleet.NotRefused {
		in.giveBack(r, retry)
		return attempt{}, in.refusedBy(refusal, server, share), false
	}
	// A large answer begins before its attempt has ended.
	r.tellRuns(r.runs + 1)
	a := in.send(ctx, r, server)
	if a.outcome == attemptBlocked {
		in.giveBack(r, retry)
	}
	mayHaveRun = a.mayHaveRun()
	if mayHaveRun {
		r.runs++
	}
	return a, Result{}, true
}

// giveBack returns the token of a retry that was not sent.
func (in *Ingress) giveBack(r *Request, retry bool) {
	if retry {
		in.budgets.giveBack(r.Service.Name, in.clock())
	}
}

// send makes one attempt at a server and updates the server's health estimate and the guard's
// evidence with it. The caller has called server.Begin; send calls server.End.
func (in *Ingress) send(ctx context.Context, r *Request, server *fleet.Server) attempt {
	started := in.clock()
	left := r.Deadline - started - deadlineMargin
	if left <= 0 {
		server.End(fleet.Cancelled, 0, started)
		return attempt{outcome: attemptNotSent, detail: reasonDeadline}
	}
	if !r.watch.beginSending() {
		server.End(fleet.Cancelled, 0, started)
		return attempt{outcome: attemptNotSent, detail: reasonCallerGone}
	}
	defer r.watch.endSending()
	entry := server.Entry()
	// A request that waits in the server's queue takes longer although the server isn't slow, so
	// its latency is not used.
	notQueued := server.Occupancy(started) <= 1
	guarded, blocked, ok := in.begin(r, entry)
	if !ok {
		server.End(fleet.Cancelled, 0, started)
		write := in.log.Event
		if blocked.waitsForTrial {
			write = in.log.Routine
		}
		write("try", "id", r.ID, "route", r.Route.Name, "server", entry.ID, "outcome", attemptBlocked.String(),
			"fingerprint", r.Fingerprint.String(), "reason", blocked.refusal.Reason, "waits", blocked.waitsForTrial)
		return blocked
	}
	header := r.Header.Clone()
	header.Set(in.headers.DeadlineMS, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	header.Set(in.headers.ExpectInstance, string(entry.ID))
	result := server.Target.Send(ctx, transport.Request{
		Method:     r.Method,
		Path:       r.Path,
		Host:       r.Host,
		Header:     header,
		Body:       r.Body,
		Idempotent: r.Route.Idempotent,
		Silence:    in.silenceOf(r, server),
	})
	if result.Sent == transport.Answered {
		in.answeredAt.Store(int64(in.clock()))
		// A server cannot speak for this host.
		result.Response.Header.Del(headerResult)
		result.Response.Header.Del(headerRuns)
		in.readFacts(r, server, result.Response.StatusCode, result.Response.Header, started)
	}
	a := in.interpret(ctx, r, result)
	a.silent = errors.Is(result.Err, transport.ErrSilent)
	if a.silent {
		r.silentAttempts++
	}
	a.suspect = guarded.Crashes > 0
	ending := a.guardEnding(ctx)
	guarded.End(ending)
	if ending == poison.Broken {
		go in.probes.probe(server)
	}
	if ending == poison.Broken || ending == poison.TimedOut && !a.silent && time.Duration(in.answeredAt.Load()) < started {
		in.config.Reach.Suspect()
	}
	now := in.clock()
	if a.outcome == attemptAnswered || a.outcome == attemptFailed {
		a.took = now - started
	}
	if a.answer != nil {
		in.recordLoad(server, a.answer.Header.Get(in.headers.Load), now)
	}
	ratio := 0.0
	if notQueued {
		// The time that a caller takes to read says nothing about the server.
		ratio = in.baseline.relative(r.Route.Name, a, now-started-r.delivery.blockedFor())
	}
	server.End(a.fleetEnding(ctx), ratio, now)
	if a.outcome != attemptAnswered || guarded.Crashes > 0 {
		in.log.Event("try", "id", r.ID, "route", r.Route.Name, "server", entry.ID, "addr", entry.Addr,
			"outcome", a.outcome.String(), "detail", a.detail, "ms", (now - started).Milliseconds(),
			"waited_ms", (started - r.Arrived).Milliseconds(), "caller", r.Caller, "path", r.Path,
			"fingerprint", r.Fingerprint.String(), "crashes_known", guarded.Crashes, "trial", guarded.Alone)
	}
	return a
}

// begin asks the guard whether the request may be sent to the server, and registers the attempt
// with it. It returns false, and a blocked attempt, if the request may crash the server.
func (in *Ingress) begin(r *Request, entry fleet.Entry) (*poison.Attempt, attempt, bool) {
	maySendSuspect := in.isSuspect(r) && in.maySendSuspect(r, entry)
	guarded, decision := in.config.Guard.TryBegin(GuardServer(entry), r.Fingerprint, maySendSuspect)
	if decision.Allowed {
		guarded.SentShared()
		return guarded, attempt{}, true
	}
	blocked := attempt{outcome: attemptBlocked, waitsForTrial: decision.Wait}
	switch {
	case decision.Refusal.Reason == outcome.ReasonPoison:
		blocked.refusal = unknown(reasonPoison)
	case !maySendSuspect && in.isSuspect(r):
		blocked.refusal = notRun(reasonTrialElsewhere, decision.Refusal.RetryAfter)
	default:
		blocked.refusal = notRun(reasonSuspect, cmp.Or(decision.Refusal.RetryAfter, suspectRetryAfter))
	}
	return nil, blocked, false
}

// GuardServer returns the identity under which the guard knows this incarnation of a server.
func GuardServer(entry fleet.Entry) poison.Server {
	return poison.Server{Addr: entry.Addr, Incarnation: string(entry.ID) + "/" + strconv.FormatInt(entry.Born, 10)}
}

// guardEnding returns how the attempt ended as far as the guard is concerned: only a broken
// connection or a timeout makes the request suspect, and only a success clears it. A server may
// answer with any other status before it executes the request.
func (a attempt) guardEnding(ctx context.Context) poison.Result {
	switch {
	case a.outcome == attemptAnswered && a.answer.Status < http.StatusMultipleChoices:
		return poison.Finished
	case a.outcome == attemptAnswered, a.outcome == attemptFailed:
		return poison.Failed
	case a.outcome != attemptLost:
		return poison.Rejected
	case ctx.Err() != nil, a.silent, a.callerFailed:
		return poison.TimedOut
	}
	return poison.Broken
}

// interpret reads the answer to its end and derives the outcome of the attempt. A large answer is passed on to the caller
// meanwhile.
func (in *Ingress) interpret(ctx context.Context, r *Request, result transport.Result) attempt {
	if result.Sent == transport.NotSent {
		return attempt{outcome: attemptNotSent, detail: errorText(result.Err)}
	}
	if result.Sent != transport.Answered {
		return attempt{outcome: attemptLost, detail: errorText(result.Err)}
	}
	answer, rest, err := in.receive(r, result.Response)
	if err == nil && rest != nil {
		if a := in.classify(r, answer); a.outcome == attemptAnswered && answer.Status < http.StatusMultipleChoices {
			return in.interpretLarge(ctx, r, a, rest)
		}
		answer, err = in.hold(r, answer, rest)
	}
	if err != nil {
		return attempt{outcome: attemptLost, detail: errorText(err)}
	}
	return in.classify(r, answer)
}

// interpretLarge passes on an answer that is known to be the server's, and derives the outcome of the attempt.
func (in *Ingress) interpretLarge(ctx context.Context, r *Request, a attempt, rest *openAnswer) attempt {
	answer, err := in.passOn(ctx, r, a.answer, rest)
	if err != nil {
		return attempt{outcome: attemptLost, detail: "broke off while it was passed on: " + err.Error(), callerFailed: r.delivery.byCaller()}
	}
	return attempt{outcome: a.outcome, answer: answer, detail: a.detail}
}

// completeAnswer reads an answer to its end. One that is too large is no answer.
func (in *Ingress) completeAnswer(r *Request, response *http.Response) (*Answer, error) {
	body, err := in.answers.read(response.Body, response.ContentLength, r.holds)
	response.Body.Close()
	if err != nil {
		return nil, err
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// classify derives the outcome from a complete answer. An answer without the request's ID may be
// another request's answer or come from an intermediary, so it proves nothing about the execution.
func (in *Ingress) classify(r *Request, answer *Answer) attempt {
	status := strconv.Itoa(answer.Status)
	idMatches := answer.Header.Get(in.headers.RequestID) == r.ID
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return attempt{outcome: attemptNotOwner, answer: answer, detail: status}
	case answer.Header.Get(in.headers.NotExecuted) != "" && idMatches:
		return attempt{outcome: attemptShed, answer: answer, detail: status}
	case !idMatches:
		return attempt{outcome: attemptLost, detail: "answer lacks the request's ID, status " + status}
	case answer.Status < 300 && !in.hasDigest(answer):
		return attempt{outcome: attemptLost, detail: "answer lacks the server's digest or has an encoded body, status " + status}
	case answer.Status >= 500:
		return attempt{outcome: attemptFailed, answer: answer, detail: status}
	}
	return attempt{outcome: attemptAnswered, answer: answer, detail: status}
}

// hasDigest reports whether a successful answer carries the server's digest and a body without
// content encoding. Any other was not written by the server, or was changed on the way.
func (in *Ingress) hasDigest(answer *Answer) bool {
	return answer.Header.Get(in.headers.Digest) != "" && answer.Header.Get("Content-Encoding") == ""
}

// fleetEnding returns what the attempt says about the health of the server.
func (a attempt) fleetEnding(ctx context.Context) fleet.Ending {
	switch a.outcome {
	case attemptAnswered:
		return fleet.Answered
	case attemptShed:
		return fleet.Shed
	case attemptNotOwner:
		return fleet.Cancelled
	}
	if ctx.Err() != nil || a.callerFailed {
		return fleet.Cancelled
	}
	if a.outcome == attemptNotSent {
		return fleet.Unreachable
	}
	return fleet.Failed
}

// recordLoad parses the load that a server reports, "running,waiting,...", in numbers of requests.
// The other fields, such as how long work takes on the server's machine, are not used because
// they are outdated when they arrive. A malformed report is ignored.
func (in *Ingress) recordLoad(server *fleet.Server, text string, now time.Duration) {
	fields := strings.Split(text, ",")
	if len(fields) < 2 {
		return
	}
	running, err := strconv.ParseUint(strings.TrimSpace(fields[0]), 10, 16)
	if err != nil {
		return
	}
	waiting, err := strconv.ParseUint(strings.TrimSpace(fields[1]), 10, 16)
	if err != nil {
		return
	}
	server.Report(fleet.LoadReport{Running: int(running), Waiting: int(waiting)}, now)
}

// errorText returns the error's message, or "" if there is none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
