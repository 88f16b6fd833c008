// Package route routes callers' requests to backend servers. Package host creates its
// Ingress and Gateway and registers the sessions.
//
// Ingress accepts a caller's request, finds the session that owns the request's key and
// passes the request to the session's primary, on this or another host. Gateway runs on
// the primary: it admits the request, records its ID and sends it to the session's
// server. Requests of keyless services go from Ingress to a backend server directly.
// Headers and refusal reasons call the primary of a session its lead.
//
// A request ends with an answer or a refusal. The outcome of a refusal is not-run (the
// request certainly did not run), unknown (it may have run) or done (it ran, but its
// answer is not available). An attempt that may have run is never reported as not-run,
// and only idempotent requests are sent again after one. A request whose key has no
// owner or primary at the moment is retried for a short time; see Ingress.
package route

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// maxAnswerBytes is the largest answer body.
const maxAnswerBytes = 64 << 20

// Request is a caller's request, held in memory so that it can be sent more than once.
type Request struct {
	// ID is the same for all attempts of the request, on all hosts.
	ID      string
	Service string
	Key     string
	// Slice and Session are set for keyed services only.
	Slice   int
	Session record.SessionID
	Method  string
	// Path is the path sent to the server, including the query.
	Path     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
}

// Idempotent reports whether the request may run more than once without harm, by its
// method.
func (r *Request) Idempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// fingerprint identifies the request across retries by its caller.
func (r *Request) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf(poison.Request{
		Service:        r.Service,
		Key:            r.Key,
		IdempotencyKey: r.Header.Get(backend.HeaderIdempotencyKey),
		Method:         r.Method,
		Path:           r.Path,
		Body:           r.Body,
	})
}

// claimID is the key of the request in the request-ID store.
func (r *Request) claimID() idempotency.ID {
	return idempotency.ID{Service: r.Service, Key: r.Key, Request: r.ID}
}

// digest distinguishes different requests that carry the same ID.
func (r *Request) digest() idempotency.Digest {
	return idempotency.DigestOf(r.Method, r.Path, r.Body)
}

// Answer is a complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the result of one attempt: the answer or, if Answer is nil, a refusal.
type Result struct {
	Answer  *Answer
	Refusal outcome.Refusal
	// Primary names the host to try instead, in a refusal with reason not-lead. It is
	// empty if unknown.
	Primary string
	// Successor is the session to try instead, in a refusal with reason not-owner. It
	// is zero if unknown.
	Successor record.SessionID
	// mayHaveRun reports that the request may have run although the outcome is not-run:
	// it was sent to a lessor that did not answer.
	mayHaveRun bool
}

// notRun returns a refusal of a request that did not run. The caller may retry it.
func notRun(reason outcome.Reason, detail string) Result {
	return Result{Refusal: outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: defaultRetryAfter,
	}}
}

// unknown returns the result of a request that may have run.
func unknown(reason outcome.Reason, detail string) Result {
	return Result{Refusal: outcome.Refusal{
		Outcome:    outcome.Unknown,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: defaultRetryAfter,
	}}
}

// poisonRefusal is the final refusal of a request that has crashed backend servers. The
// outcome is unknown for a non-idempotent request that carries an idempotency key:
// earlier attempts with that key may have run.
func (r *Request) poisonRefusal() outcome.Refusal {
	refusal := outcome.Refusal{
		Outcome: outcome.NotRun,
		Reason:  outcome.ReasonPoison,
		Detail:  "backend servers failed whenever they ran this request",
	}
	if !r.Idempotent() && r.Header.Get(backend.HeaderIdempotencyKey) != "" {
		refusal.Outcome = outcome.Unknown
	}
	return refusal
}

// defaultRetryAfter is the retry-after time of a refusal without a better estimate.
const defaultRetryAfter = time.Second

// newRequest returns the request with the given body for the service and the escaped key. rest is the part of the path after them.
func newRequest(r *http.Request, body []byte, service, key, rest string, timeout time.Duration) *Request {
	id := r.Header.Get(backend.HeaderIdempotencyKey)
	if id == "" {
		id = uuid.NewString()
	}
	path := "/" + service + "/" + key + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &Request{
		ID:       id,
		Service:  service,
		Key:      key,
		Method:   r.Method,
		Path:     path,
		Header:   endToEnd(r.Header),
		Body:     body,
		Deadline: time.Now().Add(requestTimeout(r.Header, timeout)),
	}
}

func badRequest(detail string) outcome.Refusal {
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonBadRequest, Detail: detail}
}

// requestTimeout returns the timeout in the request's header, at most limit. It returns
// limit if the header is missing or malformed.
func requestTimeout(header http.Header, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(header.Get(backend.HeaderTimeoutMS), 10, 64)
	if err != nil || ms <= 0 || ms >= limit.Milliseconds() {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}

// endToEnd returns the headers that are passed on: end-to-end headers except those of
// this system's own protocol.
func endToEnd(header http.Header) http.Header {
	out := transport.EndToEnd(header)
	for name := range out {
		if strings.HasPrefix(name, "Poplarcroft-") {
			out.Del(name)
		}
	}
	return out
}

// httpRequest builds the HTTP request to a server or another host. base is the URL up to
// the path. The timeout in the header is the time left until the deadline, at least 1 ms.
func (r *Request) httpRequest(base string) (*http.Request, error) {
	req, err := http.NewRequest(r.Method, base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	req.Header.Set(backend.HeaderService, r.Service)
	req.Header.Set(backend.HeaderKey, r.Key)
	req.Header.Set(backend.HeaderRequestID, r.ID)
	left := max(time.Until(r.Deadline).Milliseconds(), 1)
	req.Header.Set(backend.HeaderTimeoutMS, strconv.FormatInt(left, 10))
	return req, nil
}
