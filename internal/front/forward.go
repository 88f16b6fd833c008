package front

import (
	"context"
	"encoding/base64"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/payload"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

const (
	// HeaderForward marks a request that one host forwards to another, and carries what the first
	// host knows about it; see encodeForward.
	HeaderForward = "Poplarcroft-Hop"
	// headerForwarder names the host that forwards a request, if the request may last so long that the silence of its server
	// is judged. Builds up to 85684b2 send it only with requests that are not idempotent, and builds up to e2d5c51 never.
	headerForwarder = "Poplarcroft-Forwarder"
	// headerResult marks a reply to a forwarded request that is not a server's answer, and
	// carries the kind of the result, its reason and when to retry.
	headerResult = "Poplarcroft-End"
	// headerRuns carries in how many attempts the request may have been executed, if that is more than one. Older
	// builds pass it on to the caller.
	headerRuns = "Poplarcroft-Runs"
)

// Reasons with which a host refuses forwarded requests: it is shutting down, it is not the primary of the server that
// owns the key now, or it cannot parse the header, which another build may have written. The forwarding host compares
// these texts and reasonCutOff, so hosts of all versions must agree on them. A host that does not know one of them
// returns the refusal to the caller.
const (
	reasonLeaving    = "host is leaving"
	reasonNotPrimary = "host is not the primary of the server"
	reasonMalformed  = "malformed hop"
)

// forward sends a request to another host, such as the primary of its server. It returns false if the
// result is not final, so that this host may send the request again: the other host did not execute the
// request, or its answer was lost and the request is idempotent. The kind is Unknown in the latter case.
func (in *Ingress) forward(ctx context.Context, r *Request, to assign.Host) (Result, bool) {
	if !r.unsent.begin() {
		return notRun(reasonLeaving, leavingRetryAfter), true
	}
	result, final := in.forwardOnce(ctx, r, to)
	r.unsent.end(result.Kind == Done || result.Kind == Unknown)
	return result, final
}

// forwardOnce is forward for a request that may be sent.
func (in *Ingress) forwardOnce(ctx context.Context, r *Request, to assign.Host) (Result, bool) {
	left := r.Deadline - in.clock()
	header := r.Header.Clone()
	header.Set(in.headers.DeadlineMS, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	header.Set(HeaderForward, encodeForward(r, in.clock()))
	if left > minSilence {
		header.Set(headerForwarder, in.config.Self)
	}
	sent := in.config.Hosts.Target(to.Addr).Send(ctx, transport.Request{
		Method:     r.Method,
		Path:       r.Path,
		Host:       r.Host,
		Header:     header,
		Body:       r.Body,
		Idempotent: r.Route.Idempotent,
	})
	if sent.Sent == transport.NotSent {
		in.forwardFailed(ctx, r, to, sent.Sent.String(), errorText(sent.Err))
		return Result{}, false
	}
	runs := r.runs
	answer, err := in.receiveForwarded(ctx, r, sent)
	if err != nil && r.runs == runs {
		r.runs++
	}
	if r.delivery.hasBegun() && err != nil {
		// The other host was reached. What ended the answer is in its log if the caller did not.
		in.log.Event("hop", "id", r.ID, "lead", to.Name, "outcome", "broke off", "detail", err.Error(), "by_caller", r.delivery.byCaller())
		return r.delivery.brokenResult(), true
	}
	if err != nil {
		in.forwardFailed(ctx, r, to, "lost", err.Error())
		return unknown(reasonAnswerLost), !r.Route.Idempotent
	}
	result := decodeForwardResult(answer)
	if result.Kind == NotRun && result.Reason == reasonNotPrimary {
		in.log.Routine("hop", "id", r.ID, "lead", to.Name, "outcome", "refused", "detail", result.Reason)
		return result, false
	}
	if result.Kind == NotRun && (result.Reason == reasonLeaving || result.Reason == reasonCutOff || result.Reason == reasonMalformed) {
		in.forwardFailed(ctx, r, to, "refused", result.Reason)
		return Result{}, false
	}
	return result, true
}

// receiveForwarded reads the other host's reply to its end, and passes a large answer on meanwhile. A reply that is
// neither the answer to this request nor a result of the other host is an error: another process may have the address.
func (in *Ingress) receiveForwarded(ctx context.Context, r *Request, sent transport.Result) (*Answer, error) {
	if sent.Sent != transport.Answered {
		return nil, sent.Err
	}
	answer, rest, err := in.receive(r, sent.Response)
	if err != nil {
		return nil, err
	}
	if err := in.checkForwarded(r, answer); err != nil {
		if rest != nil {
			rest.body.Close()
		}
		return nil, err
	}
	r.addRuns(answer)
	switch {
	case rest == nil:
		return answer, nil
	case answer.Header.Get(headerResult) != "", answer.Status >= http.StatusMultipleChoices:
		return in.hold(r, answer, rest)
	}
	return in.passOn(ctx, r, answer, rest)
}

// errNotForwarded reports a reply that does not belong to the forwarded request.
var errNotForwarded = errors.New("the reply is not that of a host to this request")

// checkForwarded checks that a reply of another host belongs to the request, and that a success is the server's.
func (in *Ingress) checkForwarded(r *Request, answer *Answer) error {
	if answer.Header.Get(in.headers.RequestID) != r.ID {
		return errors.Wrapf(errNotForwarded, "no request ID, status %d", answer.Status)
	}
	if answer.Header.Get(headerResult) == "" && answer.Status < http.StatusMultipleChoices && !in.hasDigest(answer) {
		return errors.Wrapf(errNotForwarded, "no digest, status %d", answer.Status)
	}
	return nil
}

// tellRuns tells the forwarding host in how many attempts the request may have run, unless the answer has begun.
func (r *Request) tellRuns(runs int) {
	if !r.Forwarded || r.delivery == nil {
		return
	}
	r.delivery.writer.Header().Del(headerRuns)
	if runs > 1 {
		r.delivery.writer.Header().Set(headerRuns, strconv.Itoa(runs))
	}
}

// addRuns counts the runs that another host's reply tells of, and removes their header.
func (r *Request) addRuns(answer *Answer) {
	runs, err := strconv.ParseUint(answer.Header.Get(headerRuns), 10, 8)
	answer.Header.Del(headerRuns)
	switch {
	case err == nil:
		r.runs += int(runs)
	case decodeForwardResult(answer).Kind != NotRun:
		r.runs++
	}
}

// forwardFailed avoids the host for a while and logs why, unless the failure is due to the
// request's own context having ended.
func (in *Ingress) forwardFailed(ctx context.Context, r *Request, to assign.Host, outcome, detail string) {
	if ctx.Err() != nil {
		return
	}
	in.primaries.markUnreachable(to)
	in.log.Event("hop", "id", r.ID, "lead", to.Name, "outcome", outcome, "detail", detail)
}

// The fields of HeaderForward, in order. Their names are not sent, which saves
// traffic between zones.
const (
	forwardRoute = iota
	forwardService
	forwardFingerprint
	forwardGoal
	forwardAttempts
	forwardPriority
	forwardFlags
	forwardFields
)

// The flags in the field forwardFlags.
const (
	flagIdempotent = "1"
	flagKeyless    = "n"
	flagLarge      = "l"
	// flagAccountChecked says that the forwarding host has authenticated the request. An older build ignores it.
	flagAccountChecked = "a"
)

// forwardSeparator separates the fields. Escaped fields don't contain it.
const forwardSeparator = "&"

// encodeForward returns the value of HeaderForward. It carries what the other host may not know
// because its configuration can be another version: the chosen service, whether the request may be
// retried and how often, and the time left until the latency goal, in milliseconds. The time is
// relative because the hosts' monotonic clocks can't be compared.
func encodeForward(r *Request, now time.Duration) string {
	fields := make([]string, forwardFields)
	fields[forwardRoute] = url.QueryEscape(r.Route.Name)
	fields[forwardService] = url.QueryEscape(r.Service.Name)
	fields[forwardFingerprint] = base64.RawURLEncoding.EncodeToString(r.Fingerprint[:])
	fields[forwardGoal] = strconv.FormatInt((r.Arrived + r.Route.Goal - now).Milliseconds(), 10)
	fields[forwardAttempts] = strconv.Itoa(r.Route.Attempts)
	fields[forwardPriority] = strconv.Itoa(r.Priority)
	if r.Route.Idempotent {
		fields[forwardFlags] += flagIdempotent
	}
	if !r.Service.Keyed {
		fields[forwardFlags] += flagKeyless
	}
	if r.Route.Large {
		fields[forwardFlags] += flagLarge
	}
	if r.AccountChecked {
		fields[forwardFlags] += flagAccountChecked
	}
	return strings.Join(fields, forwardSeparator)
}

// decodeForward parses the value of HeaderForward into a request that arrived now.
func decodeForward(text string, now time.Duration) (*Request, error) {
	fields := strings.Split(text, forwardSeparator)
	if len(fields) != forwardFields {
		return nil, errors.Newf("forward header has %d fields, want %d", len(fields), forwardFields)
	}
	r := &Request{Route: &routetable.Route{Idempotent: strings.Contains(fields[forwardFlags], flagIdempotent)}, Forwarded: true, Arrived: now}
	r.Route.Large = strings.Contains(fields[forwardFlags], flagLarge)
	r.Service.Keyed = !strings.Contains(fields[forwardFlags], flagKeyless)
	r.AccountChecked = strings.Contains(fields[forwardFlags], flagAccountChecked)
	var err error
	if r.Route.Name, err = url.QueryUnescape(fields[forwardRoute]); err != nil {
		return nil, errors.Wrap(err, "forward header: route")
	}
	if r.Service.Name, err = url.QueryUnescape(fields[forwardService]); err != nil {
		return nil, errors.Wrap(err, "forward header: service")
	}
	if r.Fingerprint, err = decodeFingerprint(fields[forwardFingerprint]); err != nil {
		return nil, err
	}
	goal, err := strconv.ParseInt(fields[forwardGoal], 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "forward header: goal")
	}
	r.Route.Goal = time.Duration(goal) * time.Millisecond
	if r.Route.Attempts, err = strconv.Atoi(fields[forwardAttempts]); err != nil {
		return nil, errors.Wrap(err, "forward header: attempts")
	}
	if r.Priority, err = strconv.Atoi(fields[forwardPriority]); err != nil {
		return nil, errors.Wrap(err, "forward header: priority")
	}
	return r, nil
}

func decodeFingerprint(text string) (poison.Fingerprint, error) {
	var decoded poison.Fingerprint
	bytes, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return decoded, errors.Wrap(err, "forward header: fingerprint")
	}
	if len(bytes) != len(decoded) {
		return decoded, errors.Newf("forward header: fingerprint has a wrong length of %d bytes", len(bytes))
	}
	copy(decoded[:], bytes)
	return decoded, nil
}

// ServeForwarded handles a request that another host forwards to this one: the primary of the
// request's server, or a host that reaches servers when the other one does not. It forwards nothing
// itself. It replies with the server's answer, or with headerResult.
func (in *Ingress) ServeForwarded(w http.ResponseWriter, hr *http.Request) {
	in.forwarded.Add(1)
	defer in.endForwarded(w)
	now := in.clock()
	w.Header().Set(in.headers.RequestID, hr.Header.Get(in.headers.RequestID))
	// The forwarding host adds the date; sending it here would only add traffic between zones.
	w.Header()["Date"] = nil
	d := in.newDelivery(w, hr)
	holds := payload.NewHolding(in.memory)
	defer holds.Release()
	end := payload.LimitTime(w, hr, callerTimeout(hr.Header, in.headers.DeadlineMS, 0))
	r, refusal, err := in.readForwarded(hr, now, holds)
	end(err)
	if errors.Is(err, payload.ErrNoMemory) {
		writeForwardResult(w, notRun(reasonMemory, defaultRetryAfter))
		return
	}
	if refusal != "" {
		// The forwarding host takes this for a server's answer and passes it on to the caller.
		in.refuseUnauthorized(w, hr, r.Route.Name, refusal)
		return
	}
	if err != nil {
		in.log.Event("hop", "id", hr.Header.Get(in.headers.RequestID), "outcome", "rejected", "err", err.Error())
		writeForwardResult(w, notRun(reasonMalformed, defaultRetryAfter))
		return
	}
	if in.isLeaving() {
		writeForwardResult(w, notRun(reasonLeaving, 0))
		return
	}
	r.holds = holds
	r.delivery = d
	r.delivery.stall = in.stallOf(r, hostStall)
	ctx, cancel := in.contextOf(hr, r)
	defer cancel()
	result := notRun(reasonCallerWasGone, 0)
	if !d.callerHasLeft() {
		result = r.refusedUnsent(in.handleForwarded(ctx, r))
	}
	r.tellRuns(r.runs)
	in.finish(r, result, func() int {
		writeForwardResult(w, result)
		return 0
	})
}

// handleForwarded handles a forwarded request if this host has the memory and the link for its answer.
func (in *Ingress) handleForwarded(ctx context.Context, r *Request) Result {
	if refusal, ok := in.admit(ctx, r); !ok {
		return refusal
	}
	return in.sendForwarded(ctx, r)
}

// endForwarded counts a request of another host as ended. While the host is leaving, the process may stop once none is
// in progress, so the answer is written before.
func (in *Ingress) endForwarded(w http.ResponseWriter) {
	if in.isLeaving() {
		// An error means that the other host has gone.
		_ = http.NewResponseController(w).Flush()
	}
	in.forwarded.Add(-1)
}

// sendForwarded sends a request that another host has forwarded. It always sends to the server that owns the key on
// arrival, since the other host may have newer information about which hosts reach servers. If the key moves
// meanwhile, it sends to the new owner only as that server's primary or stand-in.
func (in *Ingress) sendForwarded(ctx context.Context, r *Request) Result {
	if !r.Service.Keyed {
		return in.sendKeyless(ctx, r)
	}
	owner, _ := in.config.Current.Plan().Lookup(r.Service.Name, r.Key)
	return in.sendKeyed(ctx, r, func(plan assign.Plan, server assign.Server) bool {
		return owner.Phase == assign.Held && server.SameIncarnation(owner.Server) || in.primaries.mayStandIn(plan, server)
	})
}

// readForwarded parses a forwarded request. The settings of its service come from this host's own
// configuration if that contains the service. The refusal is the reason if it is a caller's request without a known key.
func (in *Ingress) readForwarded(hr *http.Request, now time.Duration, holds *payload.Holding) (r *Request, refusal string, err error) {
	r, err = decodeForward(hr.Header.Get(HeaderForward), now)
	if err != nil {
		return nil, "", err
	}
	table := in.config.KnownTable()
	who, refusal, err := in.identityOfForwarded(hr, r, table)
	if err != nil || refusal != "" {
		return r, refusal, err
	}
	keyed := r.Service.Keyed
	if table != nil {
		if service, ok := table.Services[r.Service.Name]; ok {
			r.Service = service
		}
	}
	r.Service.Keyed = keyed
	r.ID = hr.Header.Get(in.headers.RequestID)
	r.Method, r.Path, r.Host = hr.Method, hr.RequestURI, hr.Host
	if keyed {
		if r.Key, err = parseKey(hr.Header.Get(in.headers.Key)); err != nil {
			return nil, "", err
		}
	}
	if r.Body, err = payload.Read(hr, 0, holds); err != nil {
		return nil, "", err
	}
	r.Header = transport.EndToEnd(hr.Header)
	r.Forwarder = r.Header.Get(headerForwarder)
	r.Header.Del(HeaderForward)
	r.Header.Del(headerForwarder)
	in.identify(r, who)
	r.Deadline = now + callerTimeout(hr.Header, in.headers.DeadlineMS, 0)
	return r, "", nil
}

// writeForwardResult replies to the forwarding host with a result that has no server's answer.
func writeForwardResult(w http.ResponseWriter, result Result) {
	w.Header().Set(headerResult, url.Values{
		"kind": {result.Kind.String()}, "reason": {result.Reason}, "retry_after": {result.RetryAfter.String()},
	}.Encode())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
}

// decodeForwardResult returns the result in the primary's reply. A reply without headerResult is
// the server's answer. Any result but NotRun counts as unknown.
func decodeForwardResult(answer *Answer) Result {
	text := answer.Header.Get(headerResult)
	if text == "" {
		return Result{Kind: Done, Answer: answer}
	}
	values, err := url.ParseQuery(text)
	if err != nil || values.Get("kind") != NotRun.String() {
		return unknown(values.Get("reason"))
	}
	after, err := time.ParseDuration(values.Get("retry_after"))
	if err != nil {
		after = defaultRetryAfter
	}
	return notRun(values.Get("reason"), after)
}
