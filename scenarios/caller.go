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

// maxAnswerBytes bounds the answer to a call.
const maxAnswerBytes = 1 << 20

// callerClient opens a connection for each call: a repeat on a connection that
// went stale would be the client's doing, not the caller's.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// callSpec is a call to make.
type callSpec struct {
	id      string
	service string
	key     string
	method  string
	body    string
	header  http.Header
	timeout time.Duration
}

// callResult is a call as it went, with the backend server's answer where there is one.
type callResult struct {
	check.Call
	answer standin.Answer
	// unsent says that no connection to the host could be opened.
	unsent bool
	// detail is what a refusal says in words.
	detail string
	// retryAfter is the Retry-After header of the answer.
	retryAfter string
}

// callHost makes one call through a host.
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

// exchange sends the call and reads its whole answer.
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
	r.judge(spec, body)
	return nil
}

// judge reads the body of an answer and notes what is wrong with it.
func (r *callResult) judge(spec callSpec, body []byte) {
	switch r.Outcome {
	case outcome.Done:
		r.judgeAnswer(spec, body)
	case outcome.NotRun, outcome.Unknown:
		var refusal outcome.Refusal
		if err := json.Unmarshal(body, &refusal); err != nil || refusal.Outcome != r.Outcome {
			r.Fault = fmt.Sprintf("refusal with the body %q", body)
		}
		r.Reason, r.detail = refusal.Reason, refusal.Detail
	default:
		r.Fault = fmt.Sprintf("answer with the outcome %q", r.Outcome)
	}
}

// judgeAnswer checks that an answer is whole and the caller's own.
func (r *callResult) judgeAnswer(spec callSpec, body []byte) {
	if r.Status/100 != 2 {
		return
	}
	if err := json.Unmarshal(body, &r.answer); err != nil {
		r.Fault = fmt.Sprintf("answer %q is not whole", body)
		return
	}
	if r.answer.Key != spec.key || r.answer.Method != spec.method {
		r.Fault = fmt.Sprintf("answer to %s %s", r.answer.Method, r.answer.Key)
	}
	if !check.Safe(spec.method) && r.answer.Value != spec.body {
		r.Fault = fmt.Sprintf("answer to the body %q", r.answer.Value)
	}
}
