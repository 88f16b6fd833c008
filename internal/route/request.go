// Package route carries callers' requests to backend servers.
//
// The entry accepts a caller's request, finds the session that owns its key and passes
// the request to the session's lead, on this or another host. The gateway runs
// at the lead: it admits the request, remembers its ID and sends it to the server. For services
// that are not divided by key, the entry sends to a backend server directly.
package route

import (
	"bytes"
	"io"
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

const (
	// maxBodyBytes bounds a request's body. It is held in memory until the answer.
	maxBodyBytes = 8 << 20
	// maxAnswerBytes bounds an answer's body.
	maxAnswerBytes = 64 << 20
)

// Request is a caller's request in a form that can be sent more than once.
type Request struct {
	// ID is the same for all tries of the request, on all hosts.
	ID      string
	Service string
	Key     string
	// Slice and Session are set for services divided by key.
	Slice   int
	Session record.SessionID
	Method  string
	// Path is the path sent to the server, with the query.
	Path     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
}

// Idempotent reports whether the request may run more than once.
func (r *Request) Idempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// fingerprint identifies the request over its caller's repeats.
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

// claimID is the name under which the request is remembered.
func (r *Request) claimID() idempotency.ID {
	return idempotency.ID{Service: r.Service, Key: r.Key, Request: r.ID}
}

// digest tells apart requests that carry the same ID.
func (r *Request) digest() idempotency.Digest {
	return idempotency.DigestOf(r.Method, r.Path, r.Body)
}

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is what became of one try. Answer is set where the outcome is done.
type Result struct {
	Answer  *Answer
	Refusal outcome.Refusal
	// Lead names the host to try, in a refusal with reason not-lead.
	Lead string
	// Successor is the session to try, in a refusal with reason not-owner.
	Successor record.SessionID
	// mayRun says that a try may still run although this result is a refusal as not run.
	mayRun bool
}

// notRun returns a refusal of a request that did not run and that may be tried again.
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

// poisoned is the final refusal of a request that has crashed backend servers.
// A non-idempotent request that its caller names has been tried before and may have run then.
func (r *Request) poisoned() outcome.Refusal {
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

// defaultRetryAfter is when a caller may come back where nothing better is known.
const defaultRetryAfter = time.Second

// readRequest reads a caller's request for the service and key, whose path below them is rest.
func readRequest(r *http.Request, service, key, rest string, timeout time.Duration) (*Request, outcome.Refusal, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return nil, badRequest("the body could not be read"), false
	}
	if len(body) > maxBodyBytes {
		return nil, badRequest("the body exceeds " + strconv.Itoa(maxBodyBytes) + " bytes"), false
	}
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
	}, outcome.Refusal{}, true
}

func badRequest(detail string) outcome.Refusal {
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ReasonBadRequest, Detail: detail}
}

// requestTimeout is the time that the caller left, at most the service's own limit.
func requestTimeout(header http.Header, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(header.Get(backend.HeaderTimeoutMS), 10, 64)
	if err != nil || ms <= 0 || ms >= limit.Milliseconds() {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}

// endToEnd returns the headers that are passed on.
func endToEnd(header http.Header) http.Header {
	out := transport.EndToEnd(header)
	for name := range out {
		if strings.HasPrefix(name, "Poplarcroft-") {
			out.Del(name)
		}
	}
	return out
}

// httpRequest builds the request that is sent to a server or another host.
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
