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

// answerGrace is how much longer than the stated timeout a try waits, so that
// a host's own answer at the deadline arrives and is recorded.
const answerGrace = 200 * time.Millisecond

// client sends single tries.
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

// try sends the request once and returns its record, without the intended
// start. It runs to its end or timeout also when ctx is cancelled.
func (c *client) try(ctx context.Context, request Request, try int) Record {
	target := c.config.Targets[(request.Index+try)%len(c.config.Targets)]
	record := Record{ID: request.ID, Try: try, Key: request.Key, Method: request.Method, Host: target}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.Timeout+answerGrace)
	defer cancel()
	record.Start = time.Now()
	message, err := c.newRequest(ctx, target, request)
	if err != nil {
		record.End = record.Start
		record.refuse(outcome.NotRun, outcome.ReasonBadRequest, err)
		return record
	}
	answer, err := c.http.Do(message)
	if err == nil {
		defer answer.Body.Close()
		_, err = io.Copy(io.Discard, answer.Body)
	}
	record.End = time.Now()
	if err != nil {
		record.fail(err)
		return record
	}
	record.Status = answer.StatusCode
	c.classify(&record, answer.Header)
	return record
}

func (c *client) newRequest(ctx context.Context, target string, request Request) (*http.Request, error) {
	path := "/v1/" + url.PathEscape(c.config.Service) + "/" + url.PathEscape(request.Key)
	if c.config.Direct {
		path = "/"
	}
	var body io.Reader
	if request.Method == http.MethodPost {
		body = bytes.NewReader(c.body)
	}
	message, err := http.NewRequestWithContext(ctx, request.Method, "http://"+target+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "load: new request")
	}
	timeoutMS := strconv.FormatInt(c.config.Timeout.Milliseconds(), 10)
	message.Header.Set(backend.HeaderTimeoutMS, timeoutMS)
	if request.Method == http.MethodPost {
		message.Header.Set(backend.HeaderIdempotencyKey, request.ID)
		// The library sends a request that carries this header again by itself
		// when a reused connection breaks. A body that cannot be read twice
		// prevents that: every try has its own record.
		message.GetBody = nil
	}
	if c.config.Direct {
		message.Header.Set(backend.HeaderService, c.config.Service)
		message.Header.Set(backend.HeaderKey, request.Key)
		message.Header.Set(backend.HeaderRequestID, request.ID)
	}
	return message, nil
}

// classify sets the outcome of a whole answer.
func (c *client) classify(record *Record, header http.Header) {
	echo := header.Get(backend.HeaderIdempotencyKey)
	if echo != "" && echo != record.ID {
		record.refuse(outcome.Unknown, ReasonCrossed, nil)
		return
	}
	record.Reason = outcome.Reason(header.Get(backend.HeaderReason))
	switch given := outcome.Outcome(header.Get(backend.HeaderOutcome)); given {
	case outcome.Done, outcome.NotRun, outcome.Unknown:
		record.Outcome = given
	default:
		if c.config.Direct && record.Status < http.StatusInternalServerError {
			record.Outcome = outcome.Done
			return
		}
		record.refuse(outcome.Unknown, ReasonNoOutcome, nil)
	}
}

// fail sets the outcome of a try that got no whole answer.
func (r *Record) fail(err error) {
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		r.refuse(outcome.NotRun, ReasonConnect, err)
	case errors.Is(err, context.DeadlineExceeded):
		r.refuse(outcome.Unknown, outcome.ReasonDeadline, err)
	default:
		r.refuse(outcome.Unknown, outcome.ReasonAnswerLost, err)
	}
}

func (r *Record) refuse(result outcome.Outcome, reason outcome.Reason, err error) {
	r.Outcome = result
	r.Reason = reason
	if err != nil {
		r.Detail = err.Error()
	}
}
