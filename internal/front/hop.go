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
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

const (
	// HeaderHop marks a request that one host passes on to another, and carries what the
	// first one knows of it.
	HeaderHop = "Poplarcroft-Hop"
	// headerEnd marks the end of a request without a server's answer.
	headerEnd = "Poplarcroft-End"
)

// reasonLeaving is that of a host that stops.
const reasonLeaving = "host is leaving"

// forward passes a request on to the lead of its server. It returns false where the lead
// did not take it, so that the request can be sent otherwise.
func (d *Door) forward(ctx context.Context, r *Request, lead assign.Host) (Result, bool) {
	left := r.Deadline - d.clock()
	header := r.Header.Clone()
	header.Set(d.headers.DeadlineMS, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	header.Set(HeaderHop, encodeHop(r, d.clock()))
	sent := d.config.Hosts.Target(lead.Addr).Send(ctx, transport.Request{
		Method:     r.Method,
		Path:       r.Path,
		Host:       r.Host,
		Header:     header,
		Body:       r.Body,
		Idempotent: r.Route.Idempotent,
	})
	if sent.Sent == transport.NotSent {
		d.hopFailed(ctx, r, lead, sent.Sent.String(), errorText(sent.Err))
		return Result{}, false
	}
	answer, err := wholeAnswer(sent)
	if err != nil {
		d.hopFailed(ctx, r, lead, "lost", err.Error())
		return unknown(reasonAnswerLost), !r.Route.Idempotent
	}
	result := decodeEnd(answer)
	if result.Reason == reasonLeaving {
		d.hopFailed(ctx, r, lead, "refused", reasonLeaving)
		return Result{}, false
	}
	return result, true
}

func (d *Door) hopFailed(ctx context.Context, r *Request, lead assign.Host, outcome, detail string) {
	if ctx.Err() != nil {
		return
	}
	d.leads.failed(lead)
	d.log.Event("hop", "id", r.ID, "lead", lead.Name, "outcome", outcome, "detail", detail)
}

// The fields of a hop, in order. Their names are not sent, because a hop costs bytes between zones.
const (
	hopRoute = iota
	hopService
	hopPrint
	hopGoal
	hopAttempts
	hopPriority
	hopIdempotent
	hopFields
)

// hopSeparator separates the fields; it does not occur in an escaped one.
const hopSeparator = "&"

// encodeHop tells the lead what its own configuration may not: the service that was
// chosen, what may be repeated, and the time that is left until the goal, in milliseconds.
func encodeHop(r *Request, now time.Duration) string {
	fields := make([]string, hopFields)
	fields[hopRoute] = url.QueryEscape(r.Route.Name)
	fields[hopService] = url.QueryEscape(r.Service.Name)
	fields[hopPrint] = base64.RawURLEncoding.EncodeToString(r.Print[:])
	fields[hopGoal] = strconv.FormatInt((r.Arrived + r.Route.Goal - now).Milliseconds(), 10)
	fields[hopAttempts] = strconv.Itoa(r.Route.Attempts)
	fields[hopPriority] = strconv.Itoa(r.Route.Priority)
	if r.Route.Idempotent {
		fields[hopIdempotent] = "1"
	}
	return strings.Join(fields, hopSeparator)
}

// decodeHop is the reverse of encodeHop.
func decodeHop(text string, now time.Duration) (*Request, error) {
	fields := strings.Split(text, hopSeparator)
	if len(fields) != hopFields {
		return nil, errors.Newf("hop: %d fields instead of %d", len(fields), hopFields)
	}
	r := &Request{Route: &routetable.Route{Idempotent: fields[hopIdempotent] != ""}, Arrived: now}
	r.Service.Keyed = true
	var err error
	if r.Route.Name, err = url.QueryUnescape(fields[hopRoute]); err != nil {
		return nil, errors.Wrap(err, "hop: route")
	}
	if r.Service.Name, err = url.QueryUnescape(fields[hopService]); err != nil {
		return nil, errors.Wrap(err, "hop: service")
	}
	if r.Print, err = decodePrint(fields[hopPrint]); err != nil {
		return nil, err
	}
	goal, err := strconv.ParseInt(fields[hopGoal], 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "hop: goal")
	}
	r.Route.Goal = time.Duration(goal) * time.Millisecond
	if r.Route.Attempts, err = strconv.Atoi(fields[hopAttempts]); err != nil {
		return nil, errors.Wrap(err, "hop: attempts")
	}
	if r.Route.Priority, err = strconv.Atoi(fields[hopPriority]); err != nil {
		return nil, errors.Wrap(err, "hop: priority")
	}
	return r, nil
}

func decodePrint(text string) (poison.Fingerprint, error) {
	var print poison.Fingerprint
	bytes, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return print, errors.Wrap(err, "hop: fingerprint")
	}
	if len(bytes) != len(print) {
		return print, errors.Newf("hop: fingerprint of %d bytes", len(bytes))
	}
	copy(print[:], bytes)
	return print, nil
}

// ServeHop takes a request that another host passes on.
func (d *Door) ServeHop(w http.ResponseWriter, hr *http.Request) {
	now := d.clock()
	w.Header().Set(d.headers.RequestID, hr.Header.Get(d.headers.RequestID))
	// The entry host dates the answer; here the header would only cost bytes between zones.
	w.Header()["Date"] = nil
	r, err := d.readHop(hr, now)
	if err != nil {
		d.log.Event("hop", "id", hr.Header.Get(d.headers.RequestID), "outcome", "rejected", "err", err.Error())
		writeEnd(w, notRun("malformed hop", 0))
		return
	}
	if d.isLeaving() {
		writeEnd(w, notRun(reasonLeaving, 0))
		return
	}
	ctx, cancel := d.contextOf(hr, r)
	defer cancel()
	result := d.sendKeyed(ctx, r)
	d.note(r, result, 0)
	if result.Kind == Done {
		writeAnswer(w, result.Answer)
		return
	}
	writeEnd(w, result)
}

// readHop takes the request apart.
func (d *Door) readHop(hr *http.Request, now time.Duration) (*Request, error) {
	r, err := decodeHop(hr.Header.Get(HeaderHop), now)
	if err != nil {
		return nil, err
	}
	if table := d.config.Table(); table != nil {
		if service, ok := table.Services[r.Service.Name]; ok {
			r.Service = service
		}
	}
	r.ID = hr.Header.Get(d.headers.RequestID)
	r.Method, r.Path, r.Host = hr.Method, hr.RequestURI, hr.Host
	if r.Key, err = parseKey(hr.Header.Get(d.headers.Key)); err != nil {
		return nil, err
	}
	if r.Body, err = readBody(hr, 0); err != nil {
		return nil, err
	}
	r.Header = transport.EndToEnd(hr.Header)
	r.Header.Del(HeaderHop)
	r.Deadline = now + patience(hr.Header, d.headers.DeadlineMS, 0)
	return r, nil
}

// writeEnd tells the other host of an end without an answer.
func writeEnd(w http.ResponseWriter, result Result) {
	w.Header().Set(headerEnd, url.Values{
		"kind": {result.Kind.String()}, "reason": {result.Reason}, "retry_after": {result.RetryAfter.String()},
	}.Encode())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
}

// decodeEnd is the result that the lead's answer tells.
func decodeEnd(answer *Answer) Result {
	text := answer.Header.Get(headerEnd)
	if text == "" {
		return Result{Kind: Done, Answer: answer}
	}
	values, err := url.ParseQuery(text)
	if err != nil || values.Get("kind") != NotRun.String() {
		return unknown(values.Get("reason"))
	}
	after, err := time.ParseDuration(values.Get("retry_after"))
	if err != nil {
		after = comeBack
	}
	return notRun(values.Get("reason"), after)
}
