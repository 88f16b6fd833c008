package front

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

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

// encodeHop tells the lead what its own configuration may not: the service that was
// chosen, what may be repeated, and the time that has passed.
func encodeHop(r *Request, now time.Duration) string {
	values := url.Values{
		"route":    {r.Route.Name},
		"service":  {r.Service.Name},
		"print":    {r.Print.String()},
		"goal":     {(r.Arrived + r.Route.Goal - now).String()},
		"attempts": {strconv.Itoa(r.Route.Attempts)},
		"priority": {strconv.Itoa(r.Route.Priority)},
	}
	if r.Route.Idempotent {
		values.Set("idempotent", "1")
	}
	return values.Encode()
}

// decodeHop is the reverse of encodeHop.
func decodeHop(text string, now time.Duration) (*Request, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return nil, err
	}
	goal, err := time.ParseDuration(values.Get("goal"))
	if err != nil {
		return nil, err
	}
	attempts, err := strconv.Atoi(values.Get("attempts"))
	if err != nil {
		return nil, err
	}
	priority, err := strconv.Atoi(values.Get("priority"))
	if err != nil {
		return nil, err
	}
	var print poison.Fingerprint
	if err := print.UnmarshalText([]byte(values.Get("print"))); err != nil {
		return nil, err
	}
	return &Request{
		Print: print,
		Route: &routetable.Route{
			Name: values.Get("route"), Idempotent: values.Get("idempotent") != "",
			Goal: goal, Attempts: attempts, Priority: priority,
		},
		Service: routetable.Service{Name: values.Get("service"), Keyed: true},
		Arrived: now,
	}, nil
}

// ServeHop takes a request that another host passes on.
func (d *Door) ServeHop(w http.ResponseWriter, hr *http.Request) {
	now := d.clock()
	w.Header().Set(d.headers.RequestID, hr.Header.Get(d.headers.RequestID))
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
