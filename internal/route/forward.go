package route

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// forwarder forwards requests to the primary on another host.
type forwarder struct {
	host string
	pool *transport.Pool
	// queryPrimary asks a lessor which host is the session's primary.
	queryPrimary func(ctx context.Context, lessor record.Lessor, id record.SessionID) (primary string, ok bool)
}

const (
	// primaryCheckDelay is how long a forwarded request waits for an answer before the
	// other lessors are asked whether its host is still the primary.
	primaryCheckDelay = 300 * time.Millisecond
	// primaryCheckInterval is the interval between two such queries.
	primaryCheckInterval = 100 * time.Millisecond
)

// otherLessors returns all lessors except one.
func otherLessors(lessors []record.Lessor, one record.Lessor) []record.Lessor {
	return slices.DeleteFunc(slices.Clone(lessors), func(l record.Lessor) bool { return l == one })
}

// cancelWhenNotPrimary cancels the context once the session's other lessors no longer
// report the host as the primary. The host may be paused or partitioned while another
// host has taken over; without the check the request would wait for it until its
// deadline. It returns when the context ends.
func (f *forwarder) cancelWhenNotPrimary(ctx context.Context, cancel context.CancelFunc, host string, others []record.Lessor, id record.SessionID) {
	wait := primaryCheckDelay
	for len(others) > 0 {
		loop.Sleep(ctx, wait)
		wait = primaryCheckInterval
		if ctx.Err() != nil {
			return
		}
		if f.isNoLongerPrimary(ctx, host, others, id) {
			cancel()
			return
		}
	}
}

// isNoLongerPrimary reports whether at least one of the other lessors answered and none
// of them names the host as the primary.
func (f *forwarder) isNoLongerPrimary(ctx context.Context, host string, others []record.Lessor, id record.SessionID) bool {
	answered := false
	for _, lessor := range others {
		primary, ok := f.queryPrimary(ctx, lessor, id)
		if ok && primary == host {
			return false
		}
		answered = answered || ok
	}
	return answered
}

// forward sends the request to the lessor's host. If no answer comes, the request may
// have run. A retry keeps the request ID, so that the session's next primary can tell
// whether it ran.
func (f *forwarder) forward(ctx context.Context, lessor record.Lessor, others []record.Lessor, r *Request) Result {
	req, err := r.httpRequest("http://" + lessor.PeerAddr + peer.PathForward)
	if err != nil {
		return Result{Refusal: badRequest(err.Error())}
	}
	req.Header.Set(backend.HeaderSlice, strconv.Itoa(r.Slice))
	req.Header.Set(backend.HeaderSession, strconv.FormatUint(uint64(r.Session), 10))
	req.Header.Set(peer.HeaderForwardedBy, f.host)
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.cancelWhenNotPrimary(watched, cancel, lessor.Host, others, r.Session)
	response := send(watched, f.pool, req)
	if response.err != nil && ctx.Err() != nil && response.maybeSent {
		return unknown(outcome.ReasonDeadline, "the deadline passed before an answer came")
	}
	if response.err != nil {
		result := notRun(outcome.ReasonNotLead, "the host "+lessor.Host+" cannot be reached")
		result.mayHaveRun = response.maybeSent
		return result
	}
	if response.answer.Header.Get(peer.HeaderRefusal) == "" {
		return Result{Answer: response.answer}
	}
	return forwardedRefusal(response.answer)
}

// forwardedRefusal reads another host's refusal from the headers of its answer,
// because the answer to a HEAD request has no body. A body adds the detail.
func forwardedRefusal(answer *Answer) Result {
	var result Result
	if len(answer.Body) > 0 && json.Unmarshal(answer.Body, &result.Refusal) != nil {
		return malformedRefusal()
	}
	result.Refusal.Outcome = outcome.Outcome(answer.Header.Get(backend.HeaderOutcome))
	result.Refusal.Reason = outcome.Reason(answer.Header.Get(backend.HeaderReason))
	if result.Refusal.Outcome == "" {
		return malformedRefusal()
	}
	retryAfter, _ := strconv.Atoi(answer.Header.Get("Retry-After"))
	result.Refusal.RetryAfter = time.Duration(retryAfter) * time.Second
	result.Primary = answer.Header.Get(peer.HeaderLead)
	successor, _ := strconv.ParseUint(answer.Header.Get(peer.HeaderSuccessor), 10, 64)
	result.Successor = record.SessionID(successor)
	return result
}

// malformedRefusal is the result when a host's refusal cannot be read: the request
// may have run.
func malformedRefusal() Result {
	return unknown(outcome.ReasonAnswerLost, "another host's refusal is malformed")
}

// ForwardHandler returns the HTTP handler for requests that other hosts forward to
// this one as the primary.
func (in *Ingress) ForwardHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, release, refusal, ok := in.bodies.read(w, req, requestTimeout(req.Header, maxForwardTimeout))
		if !ok {
			writeForwarded(w, Result{Refusal: refusal})
			return
		}
		defer release()
		r, refusal, ok := readForwarded(req, body)
		if !ok {
			writeForwarded(w, Result{Refusal: refusal})
			return
		}
		ctx, cancel := context.WithDeadline(req.Context(), r.Deadline)
		defer cancel()
		writeForwarded(w, in.gateway.Serve(ctx, r))
	})
}

// readForwarded returns a forwarded request with the given body. It returns a refusal and false if the
// request is malformed.
func readForwarded(req *http.Request, body []byte) (*Request, outcome.Refusal, bool) {
	header := req.Header
	path := strings.TrimPrefix(req.URL.EscapedPath(), peer.PathForward)
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	slice, sliceErr := strconv.Atoi(header.Get(backend.HeaderSlice))
	session, sessionErr := strconv.ParseUint(header.Get(backend.HeaderSession), 10, 64)
	if len(parts) < 2 || sliceErr != nil || sessionErr != nil || header.Get(backend.HeaderRequestID) == "" {
		return nil, badRequest("malformed forwarded request"), false
	}
	key, err := url.PathUnescape(parts[1])
	if err != nil {
		return nil, badRequest("malformed key"), false
	}
	rest := strings.TrimPrefix(path, "/"+parts[0]+"/"+parts[1])
	r := newRequest(req, body, parts[0], parts[1], rest, maxForwardTimeout)
	r.ID = header.Get(backend.HeaderRequestID)
	r.Key = key
	r.Slice = slice
	r.Session = record.SessionID(session)
	return r, outcome.Refusal{}, true
}

// maxForwardTimeout is the longest timeout accepted from a forwarding host.
const maxForwardTimeout = 5 * time.Minute

// writeForwarded writes the result to the forwarding host. A refusal carries the
// primary or the successor to try instead in headers.
func writeForwarded(w http.ResponseWriter, result Result) {
	if result.Answer != nil {
		writeAnswer(w, result.Answer)
		return
	}
	w.Header().Set(peer.HeaderRefusal, "1")
	if result.Primary != "" {
		w.Header().Set(peer.HeaderLead, result.Primary)
	}
	if result.Successor != 0 {
		w.Header().Set(peer.HeaderSuccessor, strconv.FormatUint(uint64(result.Successor), 10))
	}
	WriteRefusal(w, result.Refusal)
}
