package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
)

// answerGrace is added to the timeout of an attempt, so that the answer that a
// host gives at the deadline still arrives and is recorded.
const answerGrace = 200 * time.Millisecond

// client sends single attempts.
type client struct {
	config Config
	http   *http.Client
	body   []byte
}

func newClient(config Config) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: config.Concurrency,
		IdleConnTimeout:     config.Timeout,
		DisableCompression:  true,
	}
	return &client{
		config: config,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		body: bytes.Repeat([]byte("x"), config.BodyBytes),
	}
}

func (c *client) close() {
	c.http.CloseIdleConnections()
}

// attempt sends the request once and returns its record without Intended and
// Last. It runs to its end or timeout even if ctx is cancelled, because the
// outcome would otherwise be unknown.
func (c *client) attempt(ctx context.Context, request Request, attempt int) Record {
	target := c.config.Targets[(request.Index+attempt)%len(c.config.Targets)]
	record := Record{ID: request.ID, Attempt: attempt, Key: request.Key, Method: request.Method, Host: target}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.Timeout+answerGrace)
	defer cancel()
	record.Start = time.Now()
	httpRequest, err := c.newRequest(ctx, target, request)
	if err != nil {
		record.End = record.Start
		record.setOutcome(outcome.NotRun, outcome.ReasonBadRequest, err)
		return record
	}
	response, err := c.http.Do(httpRequest)
	if err == nil {
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
	}
	record.End = time.Now()
	if err != nil {
		record.setError(err)
		return record
	}
	record.Status = response.StatusCode
	c.classify(&record, response.Header)
	return record
}

// newRequest returns the HTTP request for a host or, in a direct run, for a backend
// server with the headers that a host would set.
func (c *client) newRequest(ctx context.Context, target string, request Request) (*http.Request, error) {
	path := "/v1/" + url.PathEscape(c.config.Service) + "/" + url.PathEscape(request.Key)
	if c.config.Direct {
		path = "/"
	}
	var body io.Reader
	if request.Method == http.MethodPost {
		body = bytes.NewReader(c.body)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+target+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "load: create request")
	}
	timeoutMS := strconv.FormatInt(c.config.Timeout.Milliseconds(), 10)
	httpRequest.Header.Set(backend.HeaderTimeoutMS, timeoutMS)
	if request.Method == http.MethodPost {
		httpRequest.Header.Set(backend.HeaderIdempotencyKey, request.ID)
		// net/http retries a request with this header by itself if a reused
		// connection breaks. It cannot do so without GetBody. Such a retry would
		// be an attempt without a record.
		httpRequest.GetBody = nil
	}
	if c.config.Direct {
		httpRequest.Header.Set(backend.HeaderService, c.config.Service)
		httpRequest.Header.Set(backend.HeaderKey, request.Key)
		httpRequest.Header.Set(backend.HeaderRequestID, request.ID)
	}
	return httpRequest, nil
}

// classify sets the outcome of a complete answer from its headers. In a direct
// run an answer without an outcome counts as done if its status is below 500.
func (c *client) classify(record *Record, header http.Header) {
	echoedKey := header.Get(backend.HeaderIdempotencyKey)
	if echoedKey != "" && echoedKey != record.ID {
		record.setOutcome(outcome.Unknown, ReasonCrossedAnswer, nil)
		return
	}
	record.Reason = outcome.Reason(header.Get(backend.HeaderReason))
	switch reported := outcome.Outcome(header.Get(backend.HeaderOutcome)); reported {
	case outcome.Done, outcome.NotRun, outcome.Unknown:
		record.Outcome = reported
	default:
		if c.config.Direct && record.Status < http.StatusInternalServerError {
			record.Outcome = outcome.Done
			return
		}
		record.setOutcome(outcome.Unknown, ReasonNoOutcome, nil)
	}
}

// setError sets the outcome of an attempt that got no complete answer. It is
// not run if no connection was opened, and unknown in all other cases.
func (r *Record) setError(err error) {
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr) && opErr.Op == "dial":
		r.setOutcome(outcome.NotRun, ReasonConnectFailed, err)
	case errors.Is(err, context.DeadlineExceeded):
		r.setOutcome(outcome.Unknown, outcome.ReasonDeadline, err)
	default:
		r.setOutcome(outcome.Unknown, outcome.ReasonAnswerLost, err)
	}
}

// setOutcome sets the outcome with its reason and, if err is not nil, its detail.
func (r *Record) setOutcome(result outcome.Outcome, reason outcome.Reason, err error) {
	r.Outcome = result
	r.Reason = reason
	if err != nil {
		r.Detail = err.Error()
	}
}
