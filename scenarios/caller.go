package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/check"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// maxAnswerBytes limits the size of a response body.
const maxAnswerBytes = 1 << 20

// callerClient opens a new connection for each call. On a reused connection that
// has gone stale, net/http would retry the request by itself, and the record would
// lack that attempt.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// callSpec describes a call. id is its idempotency key; empty sends none.
type callSpec struct {
	id      string
	service string
	key     string
	method  string
	body    string
	header  http.Header
	timeout time.Duration
}

// callResult is the recorded call with the backend server's answer, if any.
type callResult struct {
	check.Call
	answer standin.Answer
	// unsent says that the call was not sent because connecting to the host failed.
	unsent bool
	// detail is the text of a rejection.
	detail string
	// retryAfter is the response's Retry-After header.
	retryAfter string
}

// callHost makes one call through the host at addr.
func callHost(spec callSpec, host, addr string) callResult {
	result := callResult{Call: check.Call{
		ID: spec.id, Service: spec.service, Key: spec.key, Method: spec.method, Host: host,
	}}
	start := time.Now()
	result.StartNS = start.UnixNano()
	err := result.exchange(spec, addr)
	result.EndNS = result.StartNS + time.Since(start).Nanoseconds()
	if err != nil {
		result.Error = err.Error()
		var opErr *net.OpError
		result.unsent = errors.As(err, &opErr) && opErr.Op == "dial"
	}
	return result
}

// exchange sends the call and reads its response.
func (r *callResult) exchange(spec callSpec, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), spec.timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/%s/%s", addr, spec.service, spec.key)
	req, err := http.NewRequestWithContext(ctx, spec.method, url, strings.NewReader(spec.body))
	if err != nil {
		return err
	}
	for name, values := range spec.header {
		req.Header[name] = values
	}
	if spec.id != "" {
		req.Header.Set(backend.HeaderIdempotencyKey, spec.id)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	r.Status = resp.StatusCode
	r.Outcome = outcome.Outcome(resp.Header.Get(backend.HeaderOutcome))
	r.retryAfter = resp.Header.Get("Retry-After")
	r.checkResponse(spec, body)
	return nil
}

// checkResponse decodes a response's body and sets r.Fault if the body does not
// match the call or its outcome.
func (r *callResult) checkResponse(spec callSpec, body []byte) {
	switch r.Outcome {
	case outcome.Done:
		r.checkAnswer(spec, body)
	case outcome.NotRun, outcome.Unknown:
		var refusal outcome.Refusal
		if err := json.Unmarshal(body, &refusal); err != nil || refusal.Outcome != r.Outcome {
			r.Fault = fmt.Sprintf("rejection with invalid body %q", body)
		}
		r.Reason, r.detail = refusal.Reason, refusal.Detail
	default:
		r.Fault = fmt.Sprintf("response with invalid outcome %q", r.Outcome)
	}
}

// checkAnswer checks that a backend server's answer is complete and belongs to the
// call.
func (r *callResult) checkAnswer(spec callSpec, body []byte) {
	if r.Status/100 != 2 {
		return
	}
	if err := json.Unmarshal(body, &r.answer); err != nil {
		r.Fault = fmt.Sprintf("answer %q is incomplete", body)
		return
	}
	if r.answer.Key != spec.key || r.answer.Method != spec.method {
		r.Fault = fmt.Sprintf("answer belongs to %s %s", r.answer.Method, r.answer.Key)
	}
	if !check.Safe(spec.method) && r.answer.Value != spec.body {
		r.Fault = fmt.Sprintf("answer belongs to a write of %q", r.answer.Value)
	}
}
